#include "gateway/PeerHub.h"

#include "gateway/HeldConnection.h"
#include "gateway/PeerConnection.h"
#include "gateway/PeerLink.h"
#include "gateway/SocketAddress.h"
#include "gateway/TcpListener.h"

#include <fmt/format.h>

#include <cassert>
#include <chrono>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace fireflytrail::gateway {

using boost::asio::ip::tcp;

namespace {

// A `Hello` is shorter.
constexpr std::size_t kMaxHelloFrame = std::size_t{ 2 } * 1024;
// Names of daemons, which are kept until the process ends.
constexpr std::size_t kMaxKnownNames = 8192;
// Received bytes that the kernel keeps of a connection that sent no `Hello`.
constexpr int kReceiveBufferBytes = 64 * 1024;

} // namespace

PeerHub::PeerHub(boost::asio::io_context& aContext,
                 core::DaemonId aSelf,
                 PeerHubHooks aHooks)
  : context(aContext)
  , self(std::move(aSelf))
  , hooks(std::move(aHooks))
{
  assert(this->hooks.onGossip && this->hooks.onForwardCall);
}

PeerHub::~PeerHub() = default;

boost::system::error_code
PeerHub::Open(const tcp::endpoint& aEndpoint)
{
  this->listener = std::make_shared<TcpListener>(
    this->context,
    [weak = this->weak_from_this()](tcp::socket aSocket) {
      if (const auto hub = weak.lock()) {
        hub->StartReading(std::move(aSocket));
      }
    },
    TcpListenerHooks{ .mayAccept = nullptr,
                      .onFailure = nullptr,
                      .simulatedError = nullptr,
                      .receiveBufferBytes = kReceiveBufferBytes });
  return this->listener->Open(aEndpoint);
}

tcp::endpoint
PeerHub::LocalEndpoint() const
{
  return this->listener->LocalEndpoint();
}

void
PeerHub::SendGossip(const gossip::Peer& aPeer,
                    const gossip::GossipMessage& aMessage)
{
  this->Send(
    aPeer,
    std::visit([](const auto& aValue) { return wire::WireMessage(aValue); },
               aMessage));
}

void
PeerHub::Send(const gossip::Peer& aPeer, wire::WireMessage aMessage)
{
  gossip::Peer peer = aPeer;
  if (const auto known = this->helloAddresses.find(peer.name);
      peer.address.empty() && known != this->helloAddresses.end()) {
    peer.address = known->second;
  }
  if (const auto link = this->FindOrCreateLink(peer)) {
    ++this->counts.sent[aMessage.index()];
    link->Send(std::move(aMessage));
  }
}

void
PeerHub::Forward(const gossip::Peer& aPeer,
                 wire::ForwardCall aCall,
                 ForwardFunction aOnEnd)
{
  const auto link = this->FindOrCreateLink(aPeer);
  if (!link) {
    aOnEnd(ForwardProgress::NothingSent, std::nullopt);
    return;
  }
  link->Forward(std::move(aCall), std::move(aOnEnd));
}

void
PeerHub::Close()
{
  if (this->listener) {
    this->listener->Close();
  }
  for (const auto& [address, link] : std::exchange(this->links, {})) {
    link->Close();
  }
  for (const auto& [key, accepted] :
       std::exchange(this->acceptedConnections, {})) {
    if (const auto connection = accepted.connection.lock()) {
      connection->Close();
    }
  }
}

std::shared_ptr<PeerLink>
PeerHub::FindOrCreateLink(const gossip::Peer& aPeer)
{
  const auto found = this->links.find(aPeer.address);
  if (found != this->links.end()) {
    return found->second;
  }
  const auto endpoint = ParseSocketAddress(aPeer.address);
  if (!endpoint) {
    return nullptr;
  }
  auto link = std::make_shared<PeerLink>(this->shared_from_this(), *endpoint);
  this->links.emplace(aPeer.address, link);
  return link;
}

void
PeerHub::StartReading(tcp::socket aSocket)
{
  this->MakePlace();
  boost::system::error_code ignored;
  const auto address = aSocket.remote_endpoint(ignored).address();
  const auto connection =
    std::make_shared<PeerConnection>(std::move(aSocket), this->hooks.memory);
  connection->LimitFrames(kMaxHelloFrame);
  const auto use = std::make_shared<HeldConnection>();
  use->lastBegin = std::chrono::steady_clock::now();
  this->acceptedConnections.emplace(connection.get(),
                                    Accepted{ connection, use, address });
  connection->Start(
    [weak = this->weak_from_this(),
     weakConnection = std::weak_ptr(connection),
     use,
     sender = core::DaemonId()](wire::WireMessage aMessage) mutable {
      const auto hub = weak.lock();
      const auto current = weakConnection.lock();
      if (!hub || !current) {
        return;
      }
      use->lastBegin = std::chrono::steady_clock::now();
      if (const auto* hello = std::get_if<wire::Hello>(&aMessage)) {
        if (!hub->OnHello(*hello)) {
          current->Close();
          return;
        }
        sender = hello->id;
        use->hasServed = true;
        current->LimitFrames(wire::FrameCodec::kMaxFrameSize);
        return;
      }
      // The first message must be a `Hello`, which identifies the sender.
      if (sender.name.empty()) {
        current->Close();
        return;
      }
      if (auto* call = std::get_if<wire::ForwardCall>(&aMessage)) {
        const std::uint64_t id = call->requestId;
        hub->hooks.onForwardCall(
          std::move(*call), [weakConnection, id](wire::ForwardAnswer aAnswer) {
            aAnswer.requestId = id;
            if (const auto open = weakConnection.lock()) {
              open->Send(std::move(aAnswer));
            }
          });
        return;
      }
      std::visit(
        [&](const auto& aValue) {
          if constexpr (std::is_constructible_v<gossip::GossipMessage,
                                                decltype(aValue)>) {
            hub->hooks.onGossip(sender.name, gossip::GossipMessage(aValue));
          } else if (hub->hooks.onMessage) {
            hub->hooks.onMessage(sender, wire::WireMessage(aValue));
          }
        },
        aMessage);
    },
    [weak = this->weak_from_this(),
     key = connection.get()](wire::FrameError aError) {
      if (const auto hub = weak.lock()) {
        hub->CountError(aError);
        hub->acceptedConnections.erase(key);
      }
    },
    [weak = this->weak_from_this()](std::size_t aBytes) {
      if (const auto hub = weak.lock()) {
        hub->counts.bytes += aBytes;
      }
    });
}

void
PeerHub::MakePlace()
{
  if (this->acceptedConnections.size() < this->hooks.maxConnections) {
    return;
  }
  std::map<boost::asio::ip::address, std::size_t> ofAddresses;
  for (const auto& [key, accepted] : this->acceptedConnections) {
    ++ofAddresses[accepted.address];
  }
  std::vector<HeldConnection> uses;
  std::vector<std::shared_ptr<PeerConnection>> connections;
  for (const auto& [key, accepted] : this->acceptedConnections) {
    uses.push_back(*accepted.use);
    uses.back().ofAddress = ofAddresses[accepted.address];
    connections.push_back(accepted.connection.lock());
  }
  if (const auto oldest = HeldConnection::SelectOldest(uses);
      oldest && connections[*oldest]) {
    ++this->counts.connectionsDropped;
    connections[*oldest]->Close();
  }
}

bool
PeerHub::OnHello(const wire::Hello& aHello)
{
  if (this->processes.size() >= kMaxKnownNames &&
      !this->processes.contains(aHello.id.name)) {
    return false;
  }
  this->helloAddresses[aHello.id.name] = aHello.address;
  const auto [known, isNew] =
    this->processes.try_emplace(aHello.id.name, aHello.id.start);
  const bool isReplaced =
    !isNew && std::exchange(known->second, aHello.id.start) != aHello.id.start;
  // The connection to a process that lost power is not reset until its address
  // answers again, and messages on it would be lost until then.
  const auto link = this->links.find(aHello.address);
  if (isReplaced && link != this->links.end()) {
    link->second->Reconnect();
  }
  return true;
}

void
PeerHub::CountError(wire::FrameError aError)
{
  if (aError == wire::FrameError::UnknownVersion) {
    ++this->counts.unknownVersions;
  } else if (aError != wire::FrameError::None) {
    ++this->counts.corruptFrames;
  }
}

void
PeerHub::CountSent(const tcp::endpoint& aPeer,
                   const wire::WireMessage& aMessage,
                   std::size_t aBytes)
{
  if (aBytes == 0) {
    ++this->counts.dropped;
    return;
  }
  this->counts.sentBytes[aMessage.index()] += aBytes;
  if (this->hooks.isFar && this->hooks.isFar(FormatSocketAddress(aPeer))) {
    this->counts.sentFarBytes[aMessage.index()] += aBytes;
  }
}

wire::Hello
PeerHub::OwnHello() const
{
  return { this->self, FormatSocketAddress(this->LocalEndpoint()) };
}

} // namespace fireflytrail::gateway
