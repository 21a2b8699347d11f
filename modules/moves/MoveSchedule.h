#pragma once

#include "core/Hooks.h"
#include "moves/MovePolicy.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace fireflytrail::moves {

/**
 * The times of one version move, computed backwards from its set time: the ramp
 * ends a tenth of the move's time before it, and takes the part of the time
 * that the policy says. After the set time the version is watched for a fifth
 * of the move's time.
 */
class MoveSchedule
{
public:
  /** Makes a schedule. A move's time is at least one second. */
  MoveSchedule(core::WallTimePoint aAskedAt,
               core::WallTimePoint aSetTime,
               const MovePolicy& aPolicy);

  /** Returns the time window, none after the watch. Thread-safe. */
  std::optional<std::size_t> WindowAt(core::WallTimePoint aNow) const;

  /** Returns the planned start of the ramp. Thread-safe. */
  core::WallTimePoint RampStart() const;

  /** Returns the end of a ramp that starts or goes on at a time. Thread-safe.
   */
  core::WallTimePoint RampEnd(core::WallTimePoint aFrom) const;

  /** Returns the latest start for a ramp to end by the set time. Thread-safe.
   */
  core::WallTimePoint LatestRampStart() const;

  /** Returns the end of the watch after the move. Thread-safe. */
  core::WallTimePoint MonitoringEnd() const;

  /**
   * Returns the share of a ramp that had a share at a time and ends with 1. It
   * grows by the same factor in equal times, so that a fault that depends on
   * the share meets it with as little traffic as possible. `aFromShare` must be
   * positive. Thread-safe.
   */
  double ShareAt(core::WallTimePoint aNow,
                 core::WallTimePoint aFrom,
                 double aFromShare) const;

private:
  using Duration = core::WallTimePoint::duration;

  core::WallTimePoint askedAt;
  Duration moveDuration;
  Duration rampDuration;
  Duration windowDuration;
};

} // namespace fireflytrail::moves
