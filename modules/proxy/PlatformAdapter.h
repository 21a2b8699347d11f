#pragma once

#include "configuration/RouteConfiguration.h"
#include "core/Result.h"
#include "gateway/CallerDialect.h"
#include "gateway/ServerDialect.h"
#include "routing/BackendInstance.h"
#include "routing/RolloutOrder.h"
#include "store/ObjectDialect.h"

#include <functional>
#include <memory>
#include <string>

namespace fireflytrail::proxy {

/** What the object kinds of the store hold, by the platform's names. */
struct ObjectKinds
{
  std::string instances;
  std::string configuration;
  /** The one object of the configuration kind that counts. */
  std::string configurationName;
  std::string rollouts;
  /** Each object of it takes the failure domain of its name out. */
  std::string domainsOut;
};

/**
 * Translates between the platform's messages and the product's types. All
 * functions are set, belong to no thread and do no I/O.
 */
struct PlatformAdapter
{
  std::shared_ptr<const gateway::CallerDialect> callers;
  std::shared_ptr<const gateway::ServerDialect> servers;
  /** Asks a server for its load; `CallRequest::id` is the server's id. */
  std::shared_ptr<const gateway::ServerDialect> measuring;
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
  /** Returns the body that writes the order's state under the condition of its
   * revision. */
  std::function<std::string(const routing::RolloutOrder&)> writeRolloutState;
};

} // namespace fireflytrail::proxy
