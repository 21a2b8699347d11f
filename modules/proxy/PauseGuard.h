#pragma once

#include <chrono>
#include <optional>

namespace fireflytrail::proxy {

/**
 * Tells whether this process has just run again after a pause in which it may
 * have missed that a key was withdrawn: it was stopped, or its host was
 * suspended. Times are those of a clock that counts suspension. Not
 * thread-safe.
 */
class PauseGuard
{
public:
  using Time = std::chrono::nanoseconds;

  /** Longest time between two ticks that is no pause. It is below the
   * platform's bound for new configurations, so that a daemon which was away
   * for longer than that bound is recognised. */
  static constexpr std::chrono::milliseconds kLongestGap{ 2000 };

  /** Time after a pause in which the heartbeats of other daemons, which come
   * twice a second, tell what was missed, and it is fetched. */
  static constexpr std::chrono::milliseconds kSettleTime{ 1000 };

  /** Notes that the process runs; call at intervals well below `kLongestGap`.
   */
  void Tick(Time aNow);

  /** Returns whether the process ran again less than `kSettleTime` ago, also
   * before the first tick after the pause. */
  bool HasJustWoken(Time aNow);

  /** Returns the time since the start of the host, with suspension. */
  static Time Now();

private:
  std::optional<Time> lastRun;
  std::optional<Time> wokeAt;
};

} // namespace fireflytrail::proxy
