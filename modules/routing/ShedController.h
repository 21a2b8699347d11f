#pragma once

#include "core/Hooks.h"

#include <limits>
#include <optional>

namespace fireflytrail::routing {

/**
 * Decides which part of the calls of one service this daemon sheds while the
 * fleet is overloaded. It sets two values:
 *
 * - a bound of the daemon's calls in flight, which applies to all but urgent
 *   calls. It is high enough that each slot has a call waiting, and low enough
 *   that servers need not refuse calls and urgent calls find short queues;
 * - a level from 0 to 3: from 0 to 1 it is the share of `low` calls that are
 *   shed, from 1 to 2 that of `normal` calls and from 2 to 3 that of `urgent`
 *   calls. It rises while calls hit the bound, so that less important calls
 *   leave the capacity below the bound to more important ones.
 *
 * Used by the control thread only.
 */
class ShedController
{
public:
  /** Load of the service as this daemon knows it. */
  struct Load
  {
    /** This daemon's calls in flight per slot of its share of the fleet's
     * slots. */
    double ownOccupancy = 0;
    /** Calls in flight of all daemons per slot, as the servers report. */
    double reportedOccupancy = 0;
    /** Share of this daemon's attempts that servers refused. */
    double refusedRatio = 0;
    /** Share of the calls since the last update that hit the bound. */
    double boundHitRatio = 0;
  };

  struct Decision
  {
    double level = 0;
    /** Bound of the calls in flight per slot of the daemon's share. */
    double bound = std::numeric_limits<double>::infinity();
  };

  /** Updates the level and the bound from the current load and returns them. */
  Decision Update(const Load& aLoad, core::TimePoint aNow);

private:
  std::optional<core::TimePoint> updatedAt;
  double smoothedOwnOccupancy = 0;
  double smoothedFleetOccupancy = 0;
  double level = 0;
};

} // namespace fireflytrail::routing
