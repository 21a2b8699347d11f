#pragma once

#include "calls/calls.h"
#include "daemon/GossipRecords.h"
#include "gossip/GossipNode.h"
#include "scenario/Models.h"

#include <map>
#include <memory>
#include <string>

namespace fireflytrail::scenario {

class SimulatedSession;

/** State of one entry daemon process. It is lost when the process ends. */
struct DaemonProcess
{
  DaemonProcess(core::DaemonId aId,
                std::uint64_t aSecret,
                const core::NowFunction& aNow,
                calls::CrashGuard::ChangedFunction aCrashChanged,
                calls::TicketLimits aLimits)
    : id(std::move(aId))
    , ticketLedger(this->id, aSecret, aNow, aLimits)
    , crashGuard(aNow, std::move(aCrashChanged))
  {
  }

  core::DaemonId id;
  bool isAlive = true;
  calls::TicketLedger ticketLedger;
  calls::CrashGuard crashGuard;
  std::unique_ptr<gossip::GossipNode> gossip;
  std::unique_ptr<daemon::GossipRecords> gossipRecords;
  std::map<std::string, std::unique_ptr<calls::RetryBudget>> retryBudgets;
  /** Calls that this process has in flight, by server key. */
  std::map<std::uint64_t, unsigned> inFlight;
  /**
   * Open connections, by server key: the start identity of the server process
   * at the other end.
   */
  std::map<std::uint64_t, std::uint64_t> connections;
  /** Time of the last connection failure, by server key. */
  std::map<std::uint64_t, core::TimePoint> lastConnectFailure;
  std::map<std::uint64_t, std::shared_ptr<SimulatedSession>> sessions;
  SimulatedDesiredState desiredState;
};

} // namespace fireflytrail::scenario
