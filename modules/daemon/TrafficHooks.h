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
 * Objects that the traffic threads share, and hooks into the control thread.
 * All must outlive the threads; the hooks may be called on any thread.
 */
struct TrafficHooks
{
  calls::TicketLedger& ledger;
  calls::CrashGuard& guard;
  Metrics& metrics;
  const core::Log& log;
  core::NowFunction now;
  core::RandomFunction random;
  /** Forwards a call to a daemon. The end function may run on any thread. */
  std::function<
    void(gossip::Peer, wire::ForwardCall, gateway::PeerHub::ForwardFunction)>
    forward;
  /** Receives each attempt that is evidence about a version. */
  std::function<void(const AttemptRecord&)> recordAttempt;
};

} // namespace fireflytrail::daemon
