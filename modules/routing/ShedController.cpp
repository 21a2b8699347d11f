#include "routing/ShedController.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fireflytrail::routing {

namespace {

/** Occupancy of the fleet from which it counts as overloaded. Below it a daemon
 * with more than its share of the load sheds nothing. */
constexpr double kOverloadOccupancy = 1.4;

/** Occupancy that a refusal by a server stands for. Servers without a queue
 * refuse instead of showing a high occupancy. */
constexpr double kRefusalOccupancy = 1.5;

/** Bound while servers refuse few calls and while they refuse many. */
constexpr double kHighestBound = 2.25;
constexpr double kLowestBound = 1.1;
constexpr double kFewRefusals = 0.05;
constexpr double kManyRefusals = 0.3;

/** Own calls in flight are few, so that their number is averaged. */
constexpr double kSmoothingSeconds = 0.1;

/** Share of calls that hit the bound in a steady overload: without any, slots
 * would be idle; each one is a call that its priority did not protect. */
constexpr double kBoundHits = 0.17;

/** Growth of the level a second for each unit of hits above that share. */
constexpr double kGrowth = 2;

/** Own occupancy below which slots are idle, and the fall of the level a
 * second for each unit below. */
constexpr double kIdleOccupancy = 1.3;
constexpr double kFall = 2;

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
  const double refusals = kRefusalOccupancy * aLoad.refusedRatio;
  this->own += weight * (aLoad.ownOccupancy + refusals - this->own);
  this->fleet += weight * (aLoad.reportedOccupancy + refusals - this->fleet);

  double change = kGrowth * (aLoad.boundHitRatio - kBoundHits);
  if (this->own < kIdleOccupancy) {
    change -= kFall * (kIdleOccupancy - this->own);
  }
  this->level = std::clamp(this->level + change * elapsed, 0.0, kMaximumLevel);
  Decision decision{ .level = this->level };
  if (this->fleet > kOverloadOccupancy) {
    const double many = std::clamp((aLoad.refusedRatio - kFewRefusals) /
                                     (kManyRefusals - kFewRefusals),
                                   0.0,
                                   1.0);
    decision.bound = kHighestBound + many * (kLowestBound - kHighestBound);
  }
  return decision;
}

} // namespace fireflytrail::routing
