#include "gossip/GossipNode.h"

#include <cassert>
#include <chrono>
#include <utility>

namespace fireflytrail::gossip {

namespace {

std::uint64_t
MillisecondsOf(core::WallTimePoint aTime)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aTime.time_since_epoch())
      .count());
}

} // namespace

GossipNode::GossipNode(const core::DaemonId& aSelf,
                       std::string_view aAddress,
                       GossipHooks aHooks,
                       const GossipSettings& aSettings)
  : hooks(std::move(aHooks))
  , state(aSelf, MillisecondsOf(this->hooks.wallNow()), this->hooks.now)
  , membership(this->state, this->hooks.now, aSettings)
  , exchanger(this->state,
              this->membership,
              this->hooks.now,
              this->hooks.random,
              this->hooks.send,
              aSettings)
  , desired(
      DocumentKind::DesiredState,
      this->state,
      this->exchanger,
      this->membership,
      this->hooks.now,
      this->hooks.wallNow,
      this->hooks.random,
      this->hooks.send,
      [this](std::uint64_t aVersion, const std::string& aDocument) {
        if (this->hooks.desiredAccepted) {
          this->hooks.desiredAccepted(aVersion, aDocument);
        }
      },
      aSettings)
  , hosts(
      DocumentKind::HostList,
      this->state,
      this->exchanger,
      this->membership,
      this->hooks.now,
      this->hooks.wallNow,
      this->hooks.random,
      this->hooks.send,
      [this](std::uint64_t aVersion, const std::string& aDocument) {
        if (this->hooks.hostsAccepted) {
          this->hooks.hostsAccepted(aVersion, aDocument);
        }
      },
      aSettings)
{
  this->state.SetRecord(Membership::kAddressKey, aAddress);
  this->state.OnRecordChanged(
    [this](const core::DaemonId& aOrigin, const Record& aRecord) {
      this->desired.HandleRecordChange(aRecord);
      this->hosts.HandleRecordChange(aRecord);
      if (this->hooks.recordChanged) {
        this->hooks.recordChanged(aOrigin, aRecord);
      }
    });
}

void
GossipNode::Tick()
{
  this->exchanger.Tick();
  this->desired.Tick();
  this->hosts.Tick();
}

void
GossipNode::Receive(const std::string& aFrom, const GossipMessage& aMessage)
{
  if (aFrom == this->state.Self().name) {
    return;
  }
  if (const auto* digest = std::get_if<Digest>(&aMessage)) {
    this->exchanger.Receive(aFrom, *digest);
  } else if (const auto* delta = std::get_if<Delta>(&aMessage)) {
    this->exchanger.Receive(aFrom, *delta);
  } else if (const auto* request = std::get_if<DesiredRequest>(&aMessage)) {
    this->DistributorOf(request->kind).Receive(aFrom, *request);
  } else if (const auto* response = std::get_if<DesiredResponse>(&aMessage)) {
    this->DistributorOf(response->kind).Receive(aFrom, *response);
  }
}

DocumentDistributor&
GossipNode::DistributorOf(DocumentKind aKind)
{
  return aKind == DocumentKind::DesiredState ? this->desired : this->hosts;
}

void
GossipNode::AnnounceLeaving()
{
  this->exchanger.PublishUrgent(Membership::kLeavingKey, "1");
}

} // namespace fireflytrail::gossip
