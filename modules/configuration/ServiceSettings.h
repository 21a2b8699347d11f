#pragma once

#include "configuration/CallSettings.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::configuration {

/** One service with its dependencies, costs and calls. */
struct ServiceSettings
{
  std::string name;
  std::vector<std::string> dependsOn;
  /** Maximum number of calls that one server runs concurrently. */
  unsigned slots = 4;
  /** Connections that one server accepts from all entry hosts together. */
  unsigned connections = 260;
  /** Time for which one new connection occupies a slot of the server. */
  std::chrono::microseconds connectCost{ 1000 };
  /** Time for which one probe occupies a slot of the server. Without a value
   * the servers are never probed. */
  std::optional<std::chrono::microseconds> probeCost;
  /** Maximum share of a server's slot time that measurements may use. */
  double measuringBudget = 0.01;
  std::string version;
  /** In text order. */
  std::vector<CallSettings> calls;

  /** Returns the call with this method and path, or null. Thread-safe. */
  const CallSettings* FindRoute(std::string_view aMethod,
                                std::string_view aPath) const;

  /** Returns the call with this name, or null. Thread-safe. */
  const CallSettings* FindCall(std::string_view aName) const;

  bool operator==(const ServiceSettings&) const = default;
};

} // namespace fireflytrail::configuration
