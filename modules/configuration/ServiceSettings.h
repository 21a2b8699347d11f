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
  /** Calls that one server runs at the same time. */
  unsigned slots = 4;
  /** Connections that one server accepts from all entry hosts together. */
  unsigned connections = 260;
  /** Slot time that one new connection costs the server. */
  std::chrono::microseconds connectCost{ 1000 };
  /** Slot time that one probe costs the server; absent: never probed. */
  std::optional<std::chrono::microseconds> probeCost;
  /** Share of a server's slot time that measuring may use. */
  double measuringBudget = 0.01;
  std::string version;
  /** In text order. */
  std::vector<CallSettings> calls;

  /** Returns the call with a method and path, or null. Thread-safe. */
  const CallSettings* FindRoute(std::string_view aMethod,
                                std::string_view aPath) const;

  /** Returns the call with a name, or null. Thread-safe. */
  const CallSettings* FindCall(std::string_view aName) const;

  bool operator==(const ServiceSettings&) const = default;
};

} // namespace fireflytrail::configuration
