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
 * - A request that may last until the process ends is refused at once, while it
 *   certainly has not run: its server would be at work when it is broken off.
 *   One that may be repeated is started if it is expected to end in time, as
 *   long as the balancer may send its caller here.
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

  /** What is known of the duration of a request. */
  struct Request
  {
    /** When it is to be answered. */
    core::TimePoint expectedEnd;
    /** When it ends at the latest, answered or not. */
    core::TimePoint latestEnd;
    bool mayBeRepeated = false;
  };

  /** Returns whether a request may be sent to a server at `aNow`. */
  bool MayStart(core::TimePoint aNow, const Request& aRequest) const;

private:
  core::TimePoint begin;
  std::chrono::milliseconds limit;
};

} // namespace fireflytrail::proxy
