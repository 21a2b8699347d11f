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

/** Virtual clock with events in time order; ties run in order of scheduling. */
class EventQueue
{
public:
  using Action = std::function<void()>;

  /** Returns the virtual time. */
  core::TimePoint Now() const { return this->now; }

  /** Runs an action after a delay, which must not be negative. */
  void After(std::chrono::nanoseconds aDelay, Action aAction)
  {
    assert(aDelay.count() >= 0);
    this->events.push(
      Event{ this->now + aDelay, this->sequence++, std::move(aAction) });
  }

  /** Runs all events up to a time and sets the clock to it. */
  void RunUntil(core::TimePoint aEnd)
  {
    while (!this->events.empty() && this->events.top().time <= aEnd) {
      // The queue gives no access to move out of its top.
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
