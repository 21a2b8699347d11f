#pragma once

#include <chrono>
#include <functional>

namespace fireflytrail::core {

/**
 * A monotonic clock that also counts the time for which the host was suspended.
 * Leases are measured on it. Meets the requirements of `TrivialClock`.
 */
struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The standard prescribes these two names.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  /** Returns the time since the host started. Thread-safe. */
  // NOLINTNEXTLINE(readability-identifier-naming)
  static time_point now() noexcept;
};

/** Time on the clock that counts suspension. */
using BootTime = BootClock::time_point;

/** Returns the current `BootTime`. Must be callable from any thread. */
using BootNowFunction = std::function<BootTime()>;

} // namespace fireflytrail::core
