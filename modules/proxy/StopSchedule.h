#pragma once

#include "core/Hooks.h"

#include <chrono>

namespace fireflytrail::proxy {

/**
 * Times of a planned stop. The platform ends the process some time after it has
 * asked for the stop, whatever is still in progress. Callers of requests that
 * are cut then receive no answer, and those that must not be repeated are lost.
 *
 * - New connections are accepted for as long as the platform's balancer may
 *   still send some here.
 * - A request that cannot be expected to end in time is refused at once, while
 *   it certainly has not run.
 * - All others end early enough for their answers to be sent: servers are given
 *   no more time than that.
 *
 * Performs no I/O. Not thread-safe.
 */
class StopSchedule
{
public:
  /**
   * `aBegin` is the time at which the stop was requested, `aLimit` the time
   * after which the platform ends the process.
   */
  StopSchedule(core::TimePoint aBegin, std::chrono::milliseconds aLimit);

  /**
   * Returns the time that answers state for the next request on a connection.
   * Connections that are unused when a stop begins then reach this time while
   * the stop still serves requests, and none is closed while a request is in
   * transit. `aLimit` is as above, `aIdleTimeout` the time after which unused
   * connections are closed. At least 1 s. Thread-safe.
   */
  static std::chrono::seconds KeepAliveTime(
    std::chrono::milliseconds aLimit,
    std::chrono::milliseconds aIdleTimeout);

  /** Returns when to stop listening for new connections. */
  core::TimePoint ListenUntil() const;

  /** Returns the latest deadline of a request. */
  core::TimePoint LastDeadline() const;

  /** Returns when the process ends if connections are still open. */
  core::TimePoint End() const;

  /**
   * Returns whether a request that arrives at `aNow` may be started.
   * `aExpectedDuration` is the time within which its route is to be answered.
   */
  bool MayStart(core::TimePoint aNow,
                std::chrono::milliseconds aExpectedDuration) const;

private:
  core::TimePoint begin;
  std::chrono::milliseconds limit;
};

} // namespace fireflytrail::proxy
