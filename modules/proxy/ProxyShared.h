#pragma once

#include "calls/CrashGuard.h"
#include "calls/RetryBudget.h"
#include "calls/TicketLedger.h"
#include "core/Hooks.h"
#include "core/Log.h"
#include "daemon/Metrics.h"
#include "routing/TransferSizes.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace fireflytrail::gateway {
class ServerPool;
}

namespace fireflytrail::routing {
struct BackendInstance;
}

namespace fireflytrail::proxy {

class SlotBroker;

/**
 * What all requests of a daemon use. References and hooks outlive the requests;
 * everything belongs to the daemon's thread.
 */
struct ProxyShared
{
  boost::asio::io_context& context;
  SlotBroker& broker;
  calls::TicketLedger& ledger;
  calls::CrashGuard& guard;
  const core::Log& log;
  daemon::Metrics& metrics;
  daemon::CallMetrics& callMetrics;
  routing::TransferSizes& transferSizes;
  core::NowFunction now;
  core::RandomFunction random;
  /** Failure domain of this host. */
  std::string failureDomain;
  /** Returns the retry budget of a service. */
  std::function<calls::RetryBudget&(const std::string&)> budgetOf;
  /** Returns the connections to an instance, or null if its address is wrong.*/
  std::function<std::shared_ptr<gateway::ServerPool>(
    const routing::BackendInstance&)>
    poolOf;
};

} // namespace fireflytrail::proxy
