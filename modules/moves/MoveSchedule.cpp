#include "moves/MoveSchedule.h"

#include "moves/Evidence.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fireflytrail::moves {

namespace {

using Real = std::chrono::duration<double>;

/** Most windows within the move's own time; the others belong to the watch. */
constexpr std::size_t kMoveWindows = 40;

/** Each window's last state is pushed to all daemons; shorter windows would
 * cost too many bytes. */
constexpr std::chrono::seconds kMinWindowTime{ 10 };

} // namespace

MoveSchedule::MoveSchedule(core::WallTimePoint aAskedAt,
                           core::WallTimePoint aSetTime,
                           const MovePolicy& aPolicy)
  : askedAt(aAskedAt)
  , time(std::max<Duration>(aSetTime - aAskedAt, std::chrono::seconds(1)))
  , rampTime(
      std::chrono::duration_cast<Duration>(Real(this->time) * aPolicy.rampPart))
  , windowTime(std::max<Duration>(this->time / kMoveWindows, kMinWindowTime))
{
}

std::optional<std::size_t>
MoveSchedule::WindowAt(core::WallTimePoint aNow) const
{
  const Duration elapsed = std::max(Duration(0), aNow - this->askedAt);
  const auto window = static_cast<std::size_t>(elapsed / this->windowTime);
  return window < Evidence::kWindows && aNow < WatchEnd()
           ? std::optional(window)
           : std::nullopt;
}

core::WallTimePoint
MoveSchedule::RampStart() const
{
  return this->askedAt + this->time * 9 / 10 - this->rampTime;
}

core::WallTimePoint
MoveSchedule::RampEnd(core::WallTimePoint aFrom) const
{
  // A late ramp takes at least a tenth of the move's time.
  return std::max(this->askedAt + this->time * 9 / 10, aFrom + this->time / 10);
}

core::WallTimePoint
MoveSchedule::LatestRampStart() const
{
  // Daemons evaluate at different moments: a ramp that ends exactly at the set
  // time ends late on some of them.
  return this->askedAt + this->time * 85 / 100;
}

core::WallTimePoint
MoveSchedule::WatchEnd() const
{
  return this->askedAt + this->time * 6 / 5;
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
  const double part = std::max(0.0, Real(aNow - aFrom) / Real(end - aFrom));
  return std::min(1.0, std::pow(aFromShare, 1 - part));
}

} // namespace fireflytrail::moves
