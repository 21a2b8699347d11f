#pragma once

#include "core/DaemonId.h"
#include "core/Hooks.h"
#include "gossip/DocumentDistributor.h"
#include "gossip/GossipExchanger.h"
#include "gossip/GossipMessage.h"
#include "gossip/GossipSettings.h"
#include "gossip/GossipState.h"
#include "gossip/Membership.h"

#include <string>
#include <string_view>

namespace fireflytrail::gossip {

/**
 * Dependencies of a `GossipNode`. `now`, `wallNow`, `random` and `send` must be
 * set.
 */
struct GossipHooks
{
  core::NowFunction now;
  core::WallNowFunction wallNow;
  core::RandomFunction random;
  SendFunction send;
  /** Optional: called for each new record of another daemon. */
  GossipState::RecordChangedFunction recordChanged;
  /** Optional: called for each accepted desired state document. */
  DocumentDistributor::AcceptedFunction desiredAccepted;
  /** Optional: called for each accepted host list. */
  DocumentDistributor::AcceptedFunction hostsAccepted;
};

/** Gossip subsystem of one daemon: creates and connects the other classes. */
class GossipNode
{
public:
  /** `aAddress` is the peer address of this daemon, `ip:port`. */
  GossipNode(const core::DaemonId& aSelf,
             std::string_view aAddress,
             GossipHooks aHooks,
             const GossipSettings& aSettings = {});

  GossipNode(const GossipNode&) = delete;
  GossipNode& operator=(const GossipNode&) = delete;

  /**
   * Runs all work that is due. Call every `GossipExchanger::kTickInterval`. Not
   * thread-safe, like every method of this class.
   */
  void Tick();

  /**
   * Handles a message from a peer. `aFrom` is the name that the peer gave when
   * it connected.
   */
  void Receive(const std::string& aFrom, const GossipMessage& aMessage);

  /** Announces the stop of this daemon to all others with an urgent record. */
  void AnnounceLeaving();

  GossipState& State() { return this->state; }
  const GossipState& State() const { return this->state; }
  Membership& Members() { return this->membership; }
  const Membership& Members() const { return this->membership; }
  GossipExchanger& Exchanger() { return this->exchanger; }
  const GossipExchanger& Exchanger() const { return this->exchanger; }
  DocumentDistributor& Hosts() { return this->hosts; }
  DocumentDistributor& Desired() { return this->desired; }
  const DocumentDistributor& Desired() const { return this->desired; }

private:
  DocumentDistributor& DistributorOf(DocumentKind aKind);

  GossipHooks hooks;
  GossipState state;
  Membership membership;
  GossipExchanger exchanger;
  DocumentDistributor desired;
  DocumentDistributor hosts;
};

} // namespace fireflytrail::gossip
