#include "moves/MoveSchedule.h"

#include "moves/Evidence.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fireflytrail::moves {

namespace {

using FloatSeconds = std::chrono::duration<double>;

/**
 * Maximum number of windows up to the set time; the others cover the monitoring
 * period.
 */
constexpr std::size_t kMoveWindows = 40;

/**
 * The last snapshot of each window is pushed to all daemons, so that shorter
 * windows would cost too many bytes.
 */
constexpr std::chrono::seconds kMinWindowDuration{ 10 };

} // namespace

MoveSchedule::MoveSchedule(core::WallTimePoint aAskedAt,
                           core::WallTimePoint aSetTime,
                           const MovePolicy& aPolicy)
  : requestTime(aAskedAt)
  , moveDuration(
      std::max<Duration>(aSetTime - aAskedAt, std::chrono::seconds(1)))
  , rampDuration(std::chrono::duration_cast<Duration>(
      FloatSeconds(this->moveDuration) * aPolicy.rampFraction))
  , windowDuration(
      std::max<Duration>(this->moveDuration / kMoveWindows, kMinWindowDuration))
{
}

std::optional<std::size_t>
MoveSchedule::WindowAt(core::WallTimePoint aNow) const
{
  const Duration elapsed = std::max(Duration(0), aNow - this->requestTime);
  const auto window = static_cast<std::size_t>(elapsed / this->windowDuration);
  return window < Evidence::kWindows && aNow < MonitoringEnd()
           ? std::optional(window)
           : std::nullopt;
}

core::WallTimePoint
MoveSchedule::RampStart() const
{
  return this->requestTime + this->moveDuration * 9 / 10 - this->rampDuration;
}

core::WallTimePoint
MoveSchedule::RampEnd(core::WallTimePoint aFrom) const
{
  // A late ramp takes at least a tenth of the move's duration.
  return std::max(this->requestTime + this->moveDuration * 9 / 10,
                  aFrom + this->moveDuration / 10);
}

core::WallTimePoint
MoveSchedule::LatestRampStart() const
{
  // A ramp from here ends at 95 % of the move's duration. The rest is a margin
  // for daemons that evaluate later.
  return this->requestTime + this->moveDuration * 85 / 100;
}

core::WallTimePoint
MoveSchedule::MonitoringEnd() const
{
  return this->requestTime + this->moveDuration * 6 / 5;
}

double
MoveSchedule::ShareAt(core::WallTimePoint aNow,
                      core::WallTimePoint aFrom,
                      double aFromShare) const
{
  assert(aFromShare > 0);
  const core::WallTimePoint end = RampEnd(aFrom);
  if (aNow >= end) {
    return 1;
  }
  const double progress =
    std::max(0.0, FloatSeconds(aNow - aFrom) / FloatSeconds(end - aFrom));
  return std::min(1.0, std::pow(aFromShare, 1 - progress));
}

} // namespace fireflytrail::moves
