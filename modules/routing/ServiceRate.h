#pragma once

#include "core/Hooks.h"

#include <chrono>

namespace fireflytrail::routing {

/**
 * Estimates how many slots really serve a queue, from the work that is granted
 * while requests wait. It answers this load pattern: under high load part of
 * the slots cannot be used, since their instances are slow, cold or paced, and
 * a queue that counts on all of them serves every request just too late.
 *
 * Not thread-safe.
 */
class ServiceRate
{
public:
  /** Records that requests begin to wait. */
  void OnWaitBegan(core::TimePoint aNow) { this->waitBegan = aNow; }

  /** Records a grant and the time for which it is expected to occupy a slot. */
  void OnGranted(std::chrono::nanoseconds aWork, core::TimePoint aNow);

  /** Returns the slots that serve the queue, at most `aSlots`: all of them when
   * requests have just begun to wait, and then what is observed. */
  double Slots(double aSlots, core::TimePoint aNow) const;

private:
  double WorkAt(core::TimePoint aNow) const;

  core::TimePoint waitBegan{};
  /** Seconds of granted work, decaying. */
  double work = 0;
  core::TimePoint workAt{};
};

} // namespace fireflytrail::routing
