#pragma once

#include "core/Hooks.h"
#include "statechart/Machine.h"

#include <chrono>
#include <string>

namespace fireflytrail::moves {

/**
 * One daemon's view of a failure domain that operators take out and bring back.
 * The chart is `move`: `in`, `out`, `returning`.
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

  /** Applies what the desired state says; repeated calls change nothing. Not
   * thread-safe. */
  void Apply(bool aIsOut);

  /** Enters a state without a ramp, for a daemon that has just started. Not
   * thread-safe. */
  void Start(bool aIsOut);

  /**
   * Returns the domain's share of the work that it would get when in: 0 when
   * out, growing while it returns, 1 when in. Ends the ramp when its time is
   * over. Not thread-safe.
   */
  double Share();

  /** Returns the name of the chart's state. Not thread-safe. */
  const std::string& State() const;

  /** Returns the name of the failure domain. Not thread-safe. */
  const std::string& FailureDomain() const;

private:
  /** Gives the servers' own cold ramps, which last seconds, time to act before
   * the domain carries its full part. */
  static constexpr std::chrono::milliseconds kRampTime{ 10'000 };

  std::string failureDomain;
  core::NowFunction now;
  std::chrono::milliseconds rampTime;
  core::TimePoint rampFrom;
  statechart::Machine machine;
};

} // namespace fireflytrail::moves
