#pragma once

#include "routing/ServerLoad.h"

#include <cstdint>
#include <memory>

namespace fireflytrail::routing {

/** A server within a routing snapshot. */
struct ServerRoute
{
  std::shared_ptr<ServerLoad> load;
  /** Share of its usual traffic that the server gets, from 0 to 1: below 1
   * while its failure domain returns. */
  double weight = 1;
  /** Calls in flight that this daemon may have before it uses slots that are
   * assigned to other daemons; see `SharedLimit::AssignHomeSlots`. */
  std::uint32_t homeSlots = 0;
};

} // namespace fireflytrail::routing
