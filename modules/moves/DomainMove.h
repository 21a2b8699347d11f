#pragma once

#include "core/Hooks.h"
#include "statechart/Machine.h"

#include <chrono>
#include <string>

namespace fireflytrail::moves {

/**
 * State of one failure domain on one daemon: in service, taken out by
 * operators, or returning with a ramp. Follows the state chart `move` (`in`,
 * `out`, `returning`).
 */
class DomainMove
{
public:
  /** Starts in state `in`. `aNow` must not be empty; `aRampTime` must be
   * positive. */
  DomainMove(std::string aFailureDomain,
             core::NowFunction aNow,
             std::chrono::milliseconds aRampTime = kRampTime);

  DomainMove(const DomainMove&) = delete;
  DomainMove& operator=(const DomainMove&) = delete;

  /** Applies the desired state. Idempotent. Not thread-safe. */
  void Apply(bool aIsOut);

  /**
   * Enters state `out` or `in` without a ramp, for a daemon that has just
   * started. Not thread-safe.
   */
  void Start(bool aIsOut);

  /**
   * Returns the fraction of its normal load that the domain gets: 0 when out,
   * rising during the ramp while returning, 1 when in. Ends the ramp once its
   * time is over. Not thread-safe.
   */
  double Share();

  /** Returns the name of the current chart state. Not thread-safe. */
  const std::string& State() const;

  /** Returns the name of the failure domain. Not thread-safe. */
  const std::string& FailureDomain() const;

private:
  /**
   * Long enough for the servers' own cold-start ramps, which last seconds, to
   * take effect before the domain carries its full load.
   */
  static constexpr std::chrono::milliseconds kRampTime{ 10'000 };

  std::string failureDomain;
  core::NowFunction now;
  std::chrono::milliseconds rampTime;
  core::TimePoint rampFrom;
  statechart::Machine machine;
};

} // namespace fireflytrail::moves
