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

// Time for which the list of strong hosts is kept. Each request needs it, and
// with hundreds of hosts it takes a fifth of a millisecond to find them.
constexpr milliseconds kStrongPeersLifetime = 200ms;

// With hundreds of hosts that start together, all but a few learn of each other
// through a few hosts that everybody knows. These send a record of 170 bytes of
// each host to each host within seconds.
constexpr double kRecordBytesPerSecond = 64.0 * 1024;
constexpr double kRecordBytesBurst = 256.0 * 1024;

// Exchanges within a failure domain cost nothing, so they may be frequent: with
// 470 hosts one of 11 KB every 5 s.
constexpr milliseconds kExchangeIntervalPerHost = 10ms;

/** Returns the settings of the gossip between entry hosts. */
gossip::GossipSettings
MakeGossipSettings()
{
  gossip::GossipSettings settings;
  settings.recordBytesPerSecond = kRecordBytesPerSecond;
  settings.recordBytesBurst = kRecordBytesBurst;
  settings.exchangeIntervalPerHost = kExchangeIntervalPerHost;
  return settings;
}

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

boost::system::error_code
PeerNetwork::Open(std::shared_ptr<core::MemoryBudget> aMemory)
{
  if (!this->hub) {
    this->CreateNode(std::move(aMemory));
  }
  return this->hub->Open(
    { boost::asio::ip::make_address(this->settings.peerListen.address),
      this->settings.peerListen.port });
}

void
PeerNetwork::CreateNode(std::shared_ptr<core::MemoryBudget> aMemory)
{
  this->hub = std::make_shared<gateway::PeerHub>(
    this->context,
    this->self,
    gateway::PeerHubHooks{
      .onGossip =
        [this](const std::string& aFrom,
               const gossip::GossipMessage& aPeerMessage) {
          this->node->Receive(aFrom, aPeerMessage);
        },
      .onMessage =
        [this](const core::DaemonId& aFrom,
               const wire::WireMessage& aPeerMessage) {
          this->onMessage(aFrom, aPeerMessage);
        },
      .onForwardCall =
        [](const wire::ForwardCall&,
           const gateway::PeerHubHooks::ReplyFunction&) {
          // Calls are not forwarded, since requests carry
          // no tickets here.
        },
      .isFar =
        [this](const std::string& aAddress) {
          // A daemon's name is its address. Unknown ones
          // are in another domain in most cases.
          return this->DescriptionOf(aAddress).failureDomain !=
                 this->settings.failureDomain;
        },
      .memory = std::move(aMemory),
      .maxConnections = this->settings.MaxPeerConnections() });
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
                         .hostsAccepted = {} },
    MakeGossipSettings());
  this->node->Exchanger().SetNearness(
    [this](std::string_view aName) { return this->IsNear(aName); });
  this->node->State().SetPreference([this](const gossip::Origin& aOrigin) {
    return this->DescriptionOf(aOrigin.id.name).isStrong;
  });
  std::vector<gossip::ListedHost> seedPeers;
  for (const std::string& name : this->SeedNames()) {
    seedPeers.push_back({ name, name, false });
  }
  this->node->Members().SetHostList(std::move(seedPeers));
}

void
PeerNetwork::Start()
{
  this->OnTick();
  this->announceTimer.expires_after(kAnnounceDelay);
  this->announceTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    const bool isStrong = this->settings.IsStrong();
    const std::string description = fmt::format(
      "{} {}", isStrong ? kStrong : kWeak, this->settings.failureDomain);
    // Every host must know the strong ones within a second, since these
    // dispatch and read the store. A push of each host to each host would be
    // most of the bytes that a large fleet sends.
    if (isStrong) {
      this->node->Exchanger().PublishUrgent(kHostKey, description);
    } else {
      this->node->State().SetRecord(kHostKey, description);
    }
  });
}

void
PeerNetwork::AnnounceLeaving()
{
  if (this->settings.IsStrong()) {
    this->node->AnnounceLeaving();
  } else {
    this->node->State().SetRecord(gossip::Membership::kLeavingKey, "1");
  }
}

bool
PeerNetwork::IsNear(std::string_view aName) const
{
  const PeerHost peer = this->DescriptionOf(std::string(aName));
  // A host without a description has just started.
  return peer.failureDomain.empty() ||
         peer.failureDomain == this->settings.failureDomain;
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
PeerNetwork::SeedNames() const
{
  std::vector<std::string> names;
  for (const configuration::Endpoint& seed : this->settings.seedPeers) {
    configuration::Endpoint peer = seed;
    peer.port = this->settings.peerListen.port;
    if (peer != this->settings.peerListen) {
      names.push_back(peer.ToString());
    }
  }
  return names;
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

const std::vector<std::string>&
PeerNetwork::StrongPeerNames() const
{
  const auto now = std::chrono::steady_clock::now();
  if (now - this->strongPeerNamesAt >= kStrongPeersLifetime) {
    this->strongPeerNamesAt = now;
    this->strongPeerNames = this->LivePeerNames();
    std::erase_if(this->strongPeerNames, [this](const std::string& aName) {
      return !this->DescriptionOf(aName).isStrong;
    });
  }
  return this->strongPeerNames;
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
