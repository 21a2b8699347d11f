#include "routing/ShedController.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fireflytrail::routing {

namespace {

/** Occupancy of the fleet from which it counts as overloaded. Below it, a
 * daemon with more than its share of the load sheds nothing. */
constexpr double kOverloadOccupancy = 1.4;

/** Occupancy that is added for a refused ratio of 1. Servers without a queue
 * refuse calls instead of reporting a high occupancy. */
constexpr double kRefusalOccupancy = 1.5;

/** Bound while at most few calls are refused by servers, and while many are; in
 * between it is interpolated. */
constexpr double kHighestBound = 2.25;
constexpr double kLowestBound = 1.1;
constexpr double kLowRefusedRatio = 0.05;
constexpr double kHighRefusedRatio = 0.3;

/** Time constant of the averages. One daemon has so few calls in flight that
 * their number fluctuates strongly. */
constexpr double kSmoothingSeconds = 0.1;

/** Target share of calls that hit the bound in a steady overload. With none,
 * slots would be idle; but each hit sheds a call without regard to its
 * priority. */
constexpr double kTargetBoundHitRatio = 0.17;

/** Growth of the level per second for each unit of the hit ratio above the
 * target. */
constexpr double kLevelGrowthPerSecond = 2;

/** Occupancy of this daemon's share below which slots are idle, and the
 * decrease of the level per second for each unit below it. */
constexpr double kIdleOccupancy = 1.3;
constexpr double kLevelDecreasePerSecond = 2;

constexpr double kMaximumLevel = 3;

} // namespace

ShedController::Decision
ShedController::Update(const Load& aLoad, core::TimePoint aNow)
{
  const double elapsed =
    this->updatedAt
      ? std::chrono::duration<double>(aNow - *this->updatedAt).count()
      : 0;
  this->updatedAt = aNow;
  const double weight = 1 - std::exp(-elapsed / kSmoothingSeconds);
  const double refusalOccupancy = kRefusalOccupancy * aLoad.refusedRatio;
  this->smoothedOwnOccupancy +=
    weight *
    (aLoad.ownOccupancy + refusalOccupancy - this->smoothedOwnOccupancy);
  this->smoothedFleetOccupancy +=
    weight *
    (aLoad.reportedOccupancy + refusalOccupancy - this->smoothedFleetOccupancy);

  double changePerSecond =
    kLevelGrowthPerSecond * (aLoad.boundHitRatio - kTargetBoundHitRatio);
  if (this->smoothedOwnOccupancy < kIdleOccupancy) {
    changePerSecond -=
      kLevelDecreasePerSecond * (kIdleOccupancy - this->smoothedOwnOccupancy);
  }
  this->level =
    std::clamp(this->level + changePerSecond * elapsed, 0.0, kMaximumLevel);
  Decision decision{ .level = this->level };
  if (this->smoothedFleetOccupancy > kOverloadOccupancy) {
    const double severity = std::clamp((aLoad.refusedRatio - kLowRefusedRatio) /
                                         (kHighRefusedRatio - kLowRefusedRatio),
                                       0.0,
                                       1.0);
    decision.bound = kHighestBound + severity * (kLowestBound - kHighestBound);
  }
  return decision;
}

} // namespace fireflytrail::routing
