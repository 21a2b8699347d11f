#pragma once

#include "calls/CrashGuard.h"
#include "calls/TicketLedger.h"
#include "core/Hooks.h"
#include "core/Log.h"
#include "daemon/AttemptRecord.h"
#include "daemon/Metrics.h"
#include "gateway/PeerHub.h"

#include <functional>

namespace fireflytrail::daemon {

/**
 * What traffic threads share and need from the control thread. All references
 * and hooks outlive the threads; the hooks are callable from any thread.
 */
struct TrafficHooks
{
  calls::TicketLedger& ledger;
  calls::CrashGuard& guard;
  Metrics& metrics;
  const core::Log& log;
  core::NowFunction now;
  core::RandomFunction random;
  /** Forwards a call to a daemon; the function is called on any thread. */
  std::function<
    void(gossip::Peer, wire::ForwardCall, gateway::PeerHub::ForwardFunction)>
    forward;
  /** Receives each attempt that tells something about a version. */
  std::function<void(const AttemptRecord&)> recordAttempt;
};

} // namespace fireflytrail::daemon
