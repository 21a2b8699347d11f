#include "proxy/PeerNetwork.h"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <string_view>
#include <utility>

namespace fireflytrail::proxy {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

// Hosts that start together are up within 0.3 s. A record that is pushed after
// this delay reaches all of them within a second.
constexpr milliseconds kAnnounceDelay = 400ms;

// Gossip record that describes a daemon's host: whether the host is strong, and
// its failure domain.
constexpr std::string_view kHostKey = "host";
constexpr std::string_view kStrong = "strong";
constexpr std::string_view kWeak = "weak";

} // namespace

PeerNetwork::PeerNetwork(boost::asio::io_context& aContext,
                         const configuration::ProxySettings& aSettings,
                         core::DaemonId aSelf,
                         core::RandomFunction aRandom,
                         MessageFunction aOnMessage)
  : context(aContext)
  , settings(aSettings)
  , self(std::move(aSelf))
  , random(std::move(aRandom))
  , onMessage(std::move(aOnMessage))
  , announceTimer(aContext)
  , tickTimer(aContext)
{
  assert(this->random && this->onMessage);
}

PeerNetwork::~PeerNetwork()
{
  if (this->hub) {
    this->hub->Close();
  }
}

bool
PeerNetwork::Open()
{
  this->hub = std::make_shared<gateway::PeerHub>(
    this->context,
    this->self,
    gateway::PeerHubHooks{ .onGossip =
                             [this](const std::string& aFrom,
                                    const gossip::GossipMessage& aPeerMessage) {
                               this->node->Receive(aFrom, aPeerMessage);
                             },
                           .onMessage =
                             [this](const std::string& aFrom,
                                    const wire::WireMessage& aPeerMessage) {
                               this->onMessage(aFrom, aPeerMessage);
                             },
                           .onForwardCall =
                             [](const wire::ForwardCall&,
                                const gateway::PeerHubHooks::ReplyFunction&) {
                               // Calls are not forwarded, since requests carry
                               // no tickets here.
                             } });
  this->node = std::make_unique<gossip::GossipNode>(
    this->self,
    this->self.name,
    gossip::GossipHooks{ .now = std::chrono::steady_clock::now,
                         .wallNow = std::chrono::system_clock::now,
                         .random = this->random,
                         .send =
                           [this](const gossip::Peer& aPeer,
                                  const gossip::GossipMessage& aPeerMessage) {
                             this->hub->SendGossip(aPeer, aPeerMessage);
                           },
                         .recordChanged = {},
                         .desiredAccepted = {},
                         .hostsAccepted = {} });
  std::vector<gossip::ListedHost> seedPeers;
  for (const configuration::Endpoint& seed : this->settings.seedPeers) {
    configuration::Endpoint peer = seed;
    peer.port = this->settings.peerListen.port;
    if (peer != this->settings.peerListen) {
      seedPeers.push_back({ peer.ToString(), peer.ToString(), false });
    }
  }
  this->node->Members().SetHostList(std::move(seedPeers));
  return !this->hub->Open(
    { boost::asio::ip::make_address(this->settings.peerListen.address),
      this->settings.peerListen.port });
}

void
PeerNetwork::Start()
{
  this->OnTick();
  this->announceTimer.expires_after(kAnnounceDelay);
  this->announceTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->node->Exchanger().PublishUrgent(
        kHostKey,
        fmt::format("{} {}",
                    this->settings.IsStrong() ? kStrong : kWeak,
                    this->settings.failureDomain));
    }
  });
}

void
PeerNetwork::OnTick()
{
  this->node->Tick();
  this->tickTimer.expires_after(gossip::GossipExchanger::kTickInterval);
  this->tickTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->OnTick();
    }
  });
}

void
PeerNetwork::Send(const std::string& aName, wire::WireMessage aMessage)
{
  // A daemon's name is the address of its peer port.
  this->hub->Send({ aName, aName }, std::move(aMessage));
}

std::vector<std::string>
PeerNetwork::LivePeerNames() const
{
  std::vector<std::string> names;
  for (const gossip::Member& member : this->node->Members().Members()) {
    if (member.state == gossip::MemberState::Alive &&
        member.peer.name != this->self.name) {
      names.push_back(member.peer.name);
    }
  }
  return names;
}

std::vector<std::string>
PeerNetwork::StrongPeerNames() const
{
  std::vector<std::string> names = this->LivePeerNames();
  std::erase_if(names, [this](const std::string& aName) {
    return !this->DescriptionOf(aName).isStrong;
  });
  return names;
}

PeerHost
PeerNetwork::DescriptionOf(const std::string& aName) const
{
  PeerHost peer;
  peer.name = aName;
  const gossip::Record* record =
    this->node->State().FindRecord(aName, kHostKey);
  if (record == nullptr) {
    return peer;
  }
  const std::string_view value = record->value;
  const std::size_t end = std::min(value.find(' '), value.size());
  peer.isStrong = value.substr(0, end) == kStrong;
  peer.failureDomain = value.substr(std::min(end + 1, value.size()));
  return peer;
}

} // namespace fireflytrail::proxy
