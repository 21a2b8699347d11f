#pragma once

#include "configuration/RouteConfiguration.h"
#include "core/Result.h"
#include "gateway/CallerDialect.h"
#include "gateway/ServerDialect.h"
#include "proxy/UsageDialect.h"
#include "routing/BackendInstance.h"
#include "routing/RolloutOrder.h"
#include "store/ObjectDialect.h"

#include <functional>
#include <memory>
#include <string>

namespace fireflytrail::proxy {

/** The platform's names for the kinds of stored objects. */
struct ObjectKinds
{
  std::string instances;
  std::string configuration;
  /** Name of the only object of the configuration kind that is used. */
  std::string configurationName;
  std::string rollouts;
  /**
   * Each object of this kind takes the failure domain of the same name out of
   * use.
   */
  std::string domainsOut;
};

/**
 * Translates between the platform's messages and the product's types. All
 * functions must be set, are thread-safe and perform no I/O.
 */
struct PlatformAdapter
{
  std::shared_ptr<const gateway::CallerDialect> callers;
  std::shared_ptr<const gateway::ServerDialect> servers;
  /**
   * The header fields of requests that ask a server for its load;
   * `CallRequest::id` holds the server's id.
   */
  std::shared_ptr<const gateway::ServerDialect> loadMeasurement;
  store::ObjectDialect objects;
  ObjectKinds kinds;
  std::function<core::Result<configuration::RouteConfiguration>(
    const store::ObjectRecord&)>
    readConfiguration;
  std::function<core::Result<routing::BackendInstance>(
    const store::ObjectRecord&)>
    readInstance;
  std::function<core::Result<routing::RolloutOrder>(const store::ObjectRecord&)>
    readRollout;
  /**
   * Returns the body of a request that writes the order's state, on condition
   * that the order's revision is unchanged.
   */
  std::function<std::string(const routing::RolloutOrder&)> writeRolloutState;
  UsageDialect usage;
};

} // namespace fireflytrail::proxy
