#pragma once

#include "calls/CrashGuard.h"
#include "calls/RetryBudget.h"
#include "calls/TicketLedger.h"
#include "core/ErrorKind.h"
#include "core/Hooks.h"
#include "core/Log.h"
#include "daemon/Metrics.h"
#include "daemon/OrganisationMetrics.h"
#include "routing/TransferSizes.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace fireflytrail::configuration {
struct HttpRoute;
}

namespace fireflytrail::gateway {
class ServerPool;
struct CallRequest;
}

namespace fireflytrail::routing {
struct BackendInstance;
}

namespace fireflytrail::proxy {

class SlotBroker;

/**
 * Resources and functions that all requests of a daemon share. The references
 * and functions must outlive the requests and may be used on the daemon's
 * thread only.
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
  daemon::OrganisationMetrics& organisationMetrics;
  routing::TransferSizes& transferSizes;
  core::NowFunction now;
  core::RandomFunction random;
  /** Failure domain of this daemon's host. */
  std::string failureDomain;
  /** Bytes of bodies sent to and received from servers in other domains. */
  std::uint64_t crossDomainBodyBytes = 0;
  /** Returns the retry budget of a service. */
  std::function<calls::RetryBudget&(const std::string&)> budgetOf;
  /**
   * Returns the connection pool of an instance, or null if the instance's
   * address is invalid.
   */
  std::function<std::shared_ptr<gateway::ServerPool>(
    const routing::BackendInstance&)>
    poolOf;
  /**
   * Sets the organisation of a request by the current configuration, see
   * `CallerIdentity`; returns `None`, or why the request must not be run.
   */
  std::function<core::ErrorKind(gateway::CallRequest&,
                                const configuration::HttpRoute&)>
    identifyCaller;
  /**
   * Returns whether a request of a route that ends at a time at the latest,
   * whatever a stop of the daemon allows, may be sent to a server now.
   * `aExpectedEnd` is when it is to be answered. May be empty.
   */
  std::function<bool(const configuration::HttpRoute&,
                     core::TimePoint aExpectedEnd,
                     core::TimePoint aLatestEnd)>
    mayStart;
  /**
   * Is called with the organisation of a request, which may be empty, and the
   * time at which an attempt was sent, when the attempt ends and its server
   * began to run it, as far as that can be known: it answered, or the request
   * was sent and the server didn't refuse it. Called at most once for each
   * attempt. May be empty.
   */
  std::function<void(const std::string& aOrganisation, core::TimePoint aSentAt)>
    onRunBegan;
};

} // namespace fireflytrail::proxy
