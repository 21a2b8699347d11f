#pragma once

#include "routing/ServerLoad.h"

#include <cstdint>
#include <memory>

namespace fireflytrail::routing {

/** A server within a routing snapshot. */
struct ServerRoute
{
  std::shared_ptr<ServerLoad> load;
  /** Fraction of its usual traffic that the server gets, from 0 to 1; below 1
   * while its failure domain is being brought back in. */
  double weight = 1;
  /** Number of calls that this daemon may have in flight at the server before
   * it uses slots that are assigned to other daemons; see
   * `SharedLimit::AssignHomeSlots`. */
  std::uint32_t homeSlots = 0;
};

} // namespace fireflytrail::routing
