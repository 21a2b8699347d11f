#include "gateway/PeerHub.h"

#include "wire/FrameCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <new>
#include <string>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::gateway;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

struct Fixture
{
  boost::asio::io_context context;
  std::shared_ptr<PeerHub> hub = std::make_shared<PeerHub>(
    this->context,
    core::DaemonId{ "hub", 1 },
    PeerHubHooks{
      .onGossip = [](const std::string&, const gossip::GossipMessage&) {},
      .onMessage = {},
      .onForwardCall = [](const wire::ForwardCall&,
                          const PeerHubHooks::ReplyFunction&) {} });
  /** Listens at the address of a peer and never reads. */
  tcp::acceptor peer{ this->context, { tcp::v4(), 0 } };
  std::vector<tcp::socket> accepted;

  Fixture()
  {
    BOOST_REQUIRE(
      !this->hub->Open({ boost::asio::ip::make_address("127.0.0.1"), 0 }));
    this->Accept();
  }

  ~Fixture() { this->hub->Close(); }

  std::string PeerAddress() const
  {
    return "127.0.0.1:" + std::to_string(this->peer.local_endpoint().port());
  }

  void Accept()
  {
    this->peer.async_accept(
      [this](boost::system::error_code aError, tcp::socket aSocket) {
        if (!aError) {
          this->accepted.push_back(std::move(aSocket));
          this->Accept();
        }
      });
  }

  /** Connects to the hub as a process of the peer. */
  tcp::socket SendHello(std::uint64_t aStart)
  {
    tcp::socket socket(this->context);
    socket.connect(this->hub->LocalEndpoint());
    const auto frame = wire::FrameCodec::Encode(
      wire::Hello{ { "peer", aStart }, this->PeerAddress() });
    boost::asio::write(socket, boost::asio::buffer(*frame));
    this->Run();
    return socket;
  }

  void SendToPeer()
  {
    this->hub->Send({ "peer", this->PeerAddress() },
                    wire::StoreNewsRequest{ "servers", 1 });
    this->Run();
  }

  void Run()
  {
    this->context.restart();
    this->context.run_for(50ms);
  }
};

} // namespace

// Guards against messages to a restarted daemon that are lost on the connection
// to its previous process, which lost power without a reset.
BOOST_FIXTURE_TEST_CASE(NewProcessOfAPeerGetsANewConnection, Fixture)
{
  const tcp::socket first = this->SendHello(1);
  this->SendToPeer();
  BOOST_TEST(this->accepted.size() == 1U);
  const tcp::socket again = this->SendHello(1);
  this->SendToPeer();
  BOOST_TEST(this->accepted.size() == 1U);
  const tcp::socket restarted = this->SendHello(2);
  this->SendToPeer();
  BOOST_TEST(this->accepted.size() == 2U);
}

// Guards against a daemon that is stopped while a connect to a peer is pending,
// and crashes when the connect ends: its link used the hub, which was gone.
BOOST_AUTO_TEST_CASE(PendingConnectMayEndAfterItsHub)
{
  // The storage of the hub stays valid, so that a late use of it shows.
  alignas(PeerHub) std::array<std::uint8_t, sizeof(PeerHub)> storage{};
  boost::asio::io_context context;
  tcp::acceptor peer(context, { tcp::v4(), 0 });
  std::shared_ptr<PeerHub> hub(
    new (storage.data()) PeerHub(
      context,
      core::DaemonId{ "hub", 1 },
      PeerHubHooks{
        .onGossip = [](const std::string&, const gossip::GossipMessage&) {},
        .onMessage = {},
        .onForwardCall = [](const wire::ForwardCall&,
                            const PeerHubHooks::ReplyFunction&) {} }),
    [&storage](PeerHub* aHub) {
      aHub->~PeerHub();
      storage.fill(0);
    });
  BOOST_REQUIRE(!hub->Open({ boost::asio::ip::make_address("127.0.0.1"), 0 }));
  hub->Send(
    { "peer", "127.0.0.1:" + std::to_string(peer.local_endpoint().port()) },
    wire::StoreNewsRequest{ "servers", 1 });
  hub->Close();
  hub.reset();
  context.run_for(50ms);
  BOOST_TEST(std::ranges::all_of(
    storage, [](std::uint8_t aByte) { return aByte == 0; }));
}
