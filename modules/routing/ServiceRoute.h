#pragma once

#include "routing/CallRoute.h"
#include "routing/ServiceLoad.h"
#include "routing/VersionRoute.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/** One service within a routing snapshot. */
struct ServiceRoute
{
  std::string name;
  std::vector<std::string> dependsOn;
  std::uint32_t slots = 1;
  std::vector<CallRoute> calls;
  /** Versions with a share above 0; the shares add up to 1. */
  std::vector<VersionRoute> versions;
  std::shared_ptr<ServiceLoad> load;
  /** Loads of all services that this one depends on, directly or not. */
  std::vector<std::shared_ptr<const ServiceLoad>> dependencyLoads;

  /** Returns the call with this method and path, or null. Thread-safe. */
  const CallRoute* FindCall(std::string_view aMethod,
                            std::string_view aPath) const
  {
    for (const CallRoute& call : this->calls) {
      if (call.method == aMethod && call.path == aPath) {
        return &call;
      }
    }
    return nullptr;
  }
};

} // namespace fireflytrail::routing
