#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace fireflytrail::scenario {

/**
 * Clock and event queue of a scenario. Events that are due at the same time run
 * in the order in which they were scheduled, so that runs are reproducible.
 */
class VirtualClock
{
public:
  core::TimePoint Now() const { return this->now; }

  /** Returns a hook that reads this clock, which must outlive it. */
  core::NowFunction NowHook() const
  {
    return [this] { return this->now; };
  }

  /** Returns the time since the start of the scenario. */
  std::chrono::microseconds Elapsed() const
  {

    return std::chrono::duration_cast<std::chrono::microseconds>(this->now -
                                                                 this->start);
  }

  /** Makes the current time the start of the scenario. */
  void SetStart() { this->start = this->now; }

  /** Schedules an event. `aDelay` must not be negative. */
  void After(std::chrono::microseconds aDelay, std::function<void()> aEvent);

  /** Runs all events up to and including `aElapsed` after the start. */
  void RunUntil(std::chrono::microseconds aElapsed);

private:
  // Not zero, because decision code may subtract minutes from the start.
  core::TimePoint start{ std::chrono::hours(1) };
  core::TimePoint now = start;
  std::uint64_t nextSequence = 0;
  std::map<std::pair<core::TimePoint, std::uint64_t>, std::function<void()>>
    events;
};

} // namespace fireflytrail::scenario
