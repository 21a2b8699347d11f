#pragma once

#include "core/Hooks.h"

#include <limits>
#include <optional>

namespace fireflytrail::routing {

/**
 * Decides how much of the calls of one service this daemon sheds while the
 * fleet is overloaded. It sets two values:
 *
 * - a bound of the daemon's calls in flight, for all but urgent calls. It is
 *   high enough that each slot has a call waiting, and low enough that servers
 *   need not refuse and urgent calls find short queues;
 * - a level from 0 to 3: up to 1 it is the share of `low` calls that are shed,
 *   from 1 to 2 that of `normal` ones and from 2 to 3 that of `urgent` ones.
 *   It rises while calls hit the bound, so that less important calls leave the
 *   room below the bound to more important ones.
 *
 * Belongs to the control thread.
 */
class ShedController
{
public:
  /** What the daemon knows about the load of the service. */
  struct Load
  {
    /** This daemon's calls in flight per slot of its share of the fleet. */
    double ownOccupancy = 0;
    /** Calls in flight of all daemons per slot, by the reports. */
    double reportedOccupancy = 0;
    /** Share of this daemon's attempts that servers refused. */
    double refusedRatio = 0;
    /** Share of the calls since the last update that hit the bound. */
    double boundHitRatio = 0;
  };

  struct Decision
  {
    double level = 0;
    /** Calls in flight per slot of the daemon's share. */
    double bound = std::numeric_limits<double>::infinity();
  };

  /** Takes the present load and returns the decision. */
  Decision Update(const Load& aLoad, core::TimePoint aNow);

private:
  std::optional<core::TimePoint> updatedAt;
  double own = 0;
  double fleet = 0;
  double level = 0;
};

} // namespace fireflytrail::routing
