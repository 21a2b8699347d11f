#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <map>

namespace fireflytrail::routing {

/**
 * Counts, by priority, the work that arrives for a service and how much of it
 * is refused. It answers two load patterns:
 *
 * - more important requests alone need all slots for a while: less important
 *   ones would wait in vain, so they are refused before they have waited;
 * - this lasts: a less important priority must not starve, so it keeps a
 *   guaranteed share.
 *
 * Not thread-safe.
 */
class PriorityShares
{
public:
  /** Records that a request arrives and the time for which it is expected to
   * occupy a slot. */
  void OnArrival(unsigned aPriority,
                 std::chrono::nanoseconds aWork,
                 core::TimePoint aNow);

  /** Records that a request of a priority is refused. */
  void OnRefused(unsigned aPriority, core::TimePoint aNow);

  /** Returns how many slots the recent arrivals of more important requests
   * need. */
  double SlotsOfMoreImportant(unsigned aPriority, core::TimePoint aNow) const;

  /** Whether a priority is served less than its guaranteed share: a part of the
   * rate at which the more important ones together are served. */
  bool IsOwedService(unsigned aPriority, core::TimePoint aNow) const;

private:
  /** Sum that decays over time. */
  struct DecayingSum
  {
    double value = 0;
    core::TimePoint at{};

    double At(core::TimePoint aNow,
              std::chrono::duration<double> aTimeConstant) const;
    void Add(double aAmount,
             core::TimePoint aNow,
             std::chrono::duration<double> aTimeConstant);
  };

  struct Counts
  {
    /** Seconds of work that arrived. */
    DecayingSum work;
    DecayingSum arrivals;
    DecayingSum refusals;
  };

  std::map<unsigned, Counts> counts;
};

} // namespace fireflytrail::routing
