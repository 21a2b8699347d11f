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

/** What one process of an entry daemon holds and loses when it ends. */
struct DaemonProcess
{
  DaemonProcess(core::DaemonId aId,
                std::uint64_t aSecret,
                const core::NowFunction& aNow,
                calls::CrashGuard::ChangedFunction aCrashChanged,
                calls::TicketLimits aLimits)
    : id(std::move(aId))
    , ledger(this->id, aSecret, aNow, aLimits)
    , guard(aNow, std::move(aCrashChanged))
  {
  }

  core::DaemonId id;
  bool isAlive = true;
  calls::TicketLedger ledger;
  calls::CrashGuard guard;
  std::unique_ptr<gossip::GossipNode> gossip;
  std::unique_ptr<daemon::GossipRecords> records;
  std::map<std::string, std::unique_ptr<calls::RetryBudget>> budgets;
  /** Own calls in flight, by server. */
  std::map<std::uint64_t, unsigned> inFlight;
  /** Start identity of the server process with a kept connection. */
  std::map<std::uint64_t, std::uint64_t> connections;
  /** Time at which a connection to a server last failed. */
  std::map<std::uint64_t, core::TimePoint> connectFailed;
  std::map<std::uint64_t, std::shared_ptr<SimulatedSession>> sessions;
  SimulatedDesire desire;
};

} // namespace fireflytrail::scenario
