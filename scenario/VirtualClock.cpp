#include "scenario/VirtualClock.h"

#include <cassert>

namespace fireflytrail::scenario {

void
VirtualClock::After(std::chrono::microseconds aDelay,
                    std::function<void()> aEvent)
{
  assert(aDelay.count() >= 0);
  this->events.emplace(std::pair(this->now + aDelay, this->nextSequence++),
                       std::move(aEvent));
}

void
VirtualClock::RunUntil(std::chrono::microseconds aElapsed)
{
  const core::TimePoint end = this->start + aElapsed;
  while (!this->events.empty() && this->events.begin()->first.first <= end) {
    auto event = this->events.extract(this->events.begin());
    this->now = event.key().first;
    event.mapped()();
  }
  this->now = end;
}

} // namespace fireflytrail::scenario
