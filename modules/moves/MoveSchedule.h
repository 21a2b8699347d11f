#pragma once

#include "core/Hooks.h"
#include "moves/MovePolicy.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace fireflytrail::moves {

/**
 * The times of one version move, computed backwards from its set time. The ramp
 * takes the fraction of the move's duration that the policy gives and ends a
 * tenth of the duration before the set time; a ramp that starts late takes at
 * least a tenth of the duration. After the set time the version is monitored
 * for a fifth of the duration (chart state `watched`).
 */
class MoveSchedule
{
public:
  /**
   * Creates a schedule. A move shorter than one second is scheduled as if it
   * took one second.
   */
  MoveSchedule(core::WallTimePoint aAskedAt,
               core::WallTimePoint aSetTime,
               const MovePolicy& aPolicy);

  /**
   * Returns the index of the time window, or nothing after the monitoring
   * period. Thread-safe.
   */
  std::optional<std::size_t> WindowAt(core::WallTimePoint aNow) const;

  /** Returns the planned start of the ramp. Thread-safe. */
  core::WallTimePoint RampStart() const;

  /**
   * Returns the end of a ramp that starts or resumes at `aFrom`. Thread-safe.
   */
  core::WallTimePoint RampEnd(core::WallTimePoint aFrom) const;

  /**
   * Returns the time after which the start of a ramp must not be delayed. A
   * ramp that starts then ends at 95 % of the move's duration. Thread-safe.
   */
  core::WallTimePoint LatestRampStart() const;

  /** Returns the end of the monitoring period after the move. Thread-safe. */
  core::WallTimePoint MonitoringEnd() const;

  /**
   * Returns the share at `aNow` of a ramp that starts with `aFromShare` at
   * `aFrom` and ends with 1. The share grows exponentially, so that as little
   * traffic as possible is exposed to a fault that depends on the share.
   * `aFromShare` must be positive. Thread-safe.
   */
  double ShareAt(core::WallTimePoint aNow,
                 core::WallTimePoint aFrom,
                 double aFromShare) const;

private:
  using Duration = core::WallTimePoint::duration;

  core::WallTimePoint requestTime;
  Duration moveDuration;
  Duration rampDuration;
  Duration windowDuration;
};

} // namespace fireflytrail::moves
