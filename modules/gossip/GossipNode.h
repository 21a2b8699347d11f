#pragma once

#include "core/DaemonId.h"
#include "core/Hooks.h"
#include "gossip/DesiredStateSpread.h"
#include "gossip/GossipExchanger.h"
#include "gossip/GossipMessage.h"
#include "gossip/GossipSettings.h"
#include "gossip/GossipState.h"
#include "gossip/Membership.h"

#include <string>
#include <string_view>

namespace fireflytrail::gossip {

/** The outside of a `GossipNode`. Clock, random numbers and `send` are set. */
struct GossipHooks
{
  core::NowFunction now;
  core::WallNowFunction wallNow;
  core::RandomFunction random;
  SendFunction send;
  /** Optional: receives each new record of another daemon. */
  GossipState::RecordChangedFunction recordChanged;
  /** Optional: receives each accepted desired state document. */
  DesiredStateSpread::AcceptedFunction desiredAccepted;
  /** Optional: receives each accepted host list. */
  DesiredStateSpread::AcceptedFunction hostsAccepted;
};

/** The gossip part of one daemon: assembles and connects the classes. */
class GossipNode
{
public:
  /** `aAddress` is the address that peers reach this daemon by. */
  GossipNode(const core::DaemonId& aSelf,
             std::string_view aAddress,
             GossipHooks aHooks,
             const GossipSettings& aSettings = {});

  GossipNode(const GossipNode&) = delete;
  GossipNode& operator=(const GossipNode&) = delete;

  /**
   * Does what is due. Call every `GossipExchanger::kTickInterval`. Not
   * thread-safe, like every method of this class.
   */
  void Tick();

  /**
   * Takes a message of a peer. `aFrom` is the name that the peer gave when it
   * connected.
   */
  void Receive(const std::string& aFrom, const GossipMessage& aMessage);

  /** Announces the stop of this daemon to all others at once. */
  void AnnounceLeaving();

  GossipState& State() { return this->state; }
  const GossipState& State() const { return this->state; }
  Membership& Members() { return this->membership; }
  const Membership& Members() const { return this->membership; }
  GossipExchanger& Exchanger() { return this->exchanger; }
  const GossipExchanger& Exchanger() const { return this->exchanger; }
  DesiredStateSpread& Hosts() { return this->hosts; }
  DesiredStateSpread& Desired() { return this->desired; }
  const DesiredStateSpread& Desired() const { return this->desired; }

private:
  DesiredStateSpread& DistributorOf(DocumentKind aKind);

  GossipHooks hooks;
  GossipState state;
  Membership membership;
  GossipExchanger exchanger;
  DesiredStateSpread desired;
  DesiredStateSpread hosts;
};

} // namespace fireflytrail::gossip
