#include "gateway/TcpListener.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <vector>

using namespace fireflytrail::gateway;
using boost::asio::ip::tcp;

// Guards against the reset of connections that the kernel has established when
// a daemon stops listening.
BOOST_AUTO_TEST_CASE(EstablishedConnectionsAreAcceptedBeforeTheListenerCloses)
{
  constexpr std::size_t kCallers = 5;
  boost::asio::io_context context;
  std::vector<tcp::socket> accepted;
  const auto listener =
    std::make_shared<TcpListener>(context, [&](tcp::socket aSocket) {
      accepted.push_back(std::move(aSocket));
    });
  BOOST_REQUIRE(
    !listener->Open({ boost::asio::ip::address_v4::loopback(), 0 }));
  boost::asio::io_context callerContext;
  std::vector<tcp::socket> callers;
  for (std::size_t index = 0; index < kCallers; ++index) {
    callers.emplace_back(callerContext).connect(listener->LocalEndpoint());
  }
  listener->Close();
  context.run();
  BOOST_TEST(accepted.size() == kCallers);
}

// Guards against a socket that is dropped because its accept completes in the
// same moment in which the listener closes.
BOOST_AUTO_TEST_CASE(SocketAcceptedWhileTheListenerClosesIsServed)
{
  boost::asio::io_context context;
  std::size_t accepted = 0;
  std::shared_ptr<TcpListener> listener;
  listener = std::make_shared<TcpListener>(context, [&](const tcp::socket&) {
    ++accepted;
    listener->Close();
  });
  BOOST_REQUIRE(
    !listener->Open({ boost::asio::ip::address_v4::loopback(), 0 }));
  boost::asio::io_context callerContext;
  tcp::socket first(callerContext);
  first.connect(listener->LocalEndpoint());
  tcp::socket second(callerContext);
  second.connect(listener->LocalEndpoint());
  context.run();
  BOOST_TEST(accepted == 2U);
}

// Guards against a connection that is established between the last accept and
// the close of the listener, which would reset it.
BOOST_AUTO_TEST_CASE(NoConnectionIsEstablishedWhileTheListenerCloses)
{
  boost::asio::io_context context;
  boost::asio::io_context callerContext;
  tcp::socket late(callerContext);
  bool isEstablished = false;
  std::size_t accepted = 0;
  std::shared_ptr<TcpListener> listener;
  listener = std::make_shared<TcpListener>(context, [&](const tcp::socket&) {
    if (++accepted > 1) {
      return;
    }
    late.async_connect(
      listener->LocalEndpoint(),
      [&](boost::system::error_code aError) { isEstablished = !aError; });
    callerContext.run_for(std::chrono::milliseconds(50));
  });
  BOOST_REQUIRE(
    !listener->Open({ boost::asio::ip::address_v4::loopback(), 0 }));
  tcp::socket early(callerContext);
  early.connect(listener->LocalEndpoint());
  listener->Close();
  BOOST_TEST(accepted == 1U);
  BOOST_TEST(!isEstablished);
}
