#pragma once

#include "core/Hooks.h"

#include <cassert>
#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace fireflytrail::bench {

/**
 * Virtual clock with an event queue. Events run in time order; events of the
 * same time run in the order in which they were scheduled.
 */
class EventQueue
{
public:
  using Action = std::function<void()>;

  core::TimePoint Now() const { return this->now; }

  /** Schedules an action after a delay, which must not be negative. */
  void ScheduleAfter(std::chrono::nanoseconds aDelay, Action aAction)
  {
    assert(aDelay.count() >= 0);
    this->events.push(
      Event{ this->now + aDelay, this->sequence++, std::move(aAction) });
  }

  /** Runs all events that are due by `aEnd` and sets the clock to `aEnd`. */
  void RunUntil(core::TimePoint aEnd)
  {
    while (!this->events.empty() && this->events.top().time <= aEnd) {
      // top() is const. The action may be moved out, because the order of the
      // queue does not depend on it.
      Action action = std::move(const_cast<Event&>(this->events.top()).action);
      this->now = this->events.top().time;
      this->events.pop();
      action();
    }
    this->now = aEnd;
  }

private:
  struct Event
  {
    core::TimePoint time;
    std::uint64_t sequence;
    Action action;

    /** Reversed, because std::priority_queue has its largest element on top. */
    bool operator<(const Event& aOther) const
    {
      return std::pair(this->time, this->sequence) >
             std::pair(aOther.time, aOther.sequence);
    }
  };

  core::TimePoint now{ std::chrono::seconds(1) };
  std::uint64_t sequence = 0;
  std::priority_queue<Event> events;
};

} // namespace fireflytrail::bench
