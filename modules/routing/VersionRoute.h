#pragma once

#include "routing/ServerRoute.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflytrail::routing {

/** The servers of one version of a service that take calls. */
struct VersionRoute
{
  std::string version;
  /** Share of the service's calls, from 0 to 1. */
  double share = 0;
  /** Servers in failure domains that take traffic, sorted by identity. */
  std::vector<ServerRoute> servers;
  /** Indexes into `servers` of those with home slots; see
   * `ServerRoute::homeSlots`. */
  std::vector<std::uint32_t> homeServers;
};

} // namespace fireflytrail::routing
