#pragma once

#include "calls/RetryBudget.h"
#include "core/ErrorKind.h"
#include "routing/RoutingTable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fireflytrail::daemon {

/** The retry budgets that are charged for a retry of a call to one service. */
struct ServiceBudgets
{
  std::shared_ptr<calls::RetryBudget> own;
  /** Budgets of all other services that a call of this one can reach, directly
   * or through others. */
  std::vector<calls::RetryBudget*> below;
};

/** A daemon that calls can be forwarded to. */
struct KnownDaemon
{
  /** Distinguishes the daemon's process from earlier ones; see
   * `core::DaemonId`. */
  std::uint64_t start = 0;
  std::string address;
  bool isAlive = false;
};

/**
 * Immutable snapshot of the control state that traffic threads need. The
 * control thread publishes a new one after each change.
 */
struct TrafficState
{
  /** `None` if calls are accepted, otherwise the kind to refuse them with. */
  core::ErrorKind refusalKind = core::ErrorKind::NoConfiguration;
  /** Never null. */
  std::shared_ptr<const routing::RoutingTable> table =
    std::make_shared<routing::RoutingTable>();
  std::map<std::string, ServiceBudgets, std::less<>> budgets;
  /** Other daemons by name. */
  std::map<std::string, KnownDaemon, std::less<>> daemons;
};

} // namespace fireflytrail::daemon
