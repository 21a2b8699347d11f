#pragma once

#include "core/Hooks.h"
#include "moves/Evidence.h"
#include "moves/LatencyHistogram.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace fireflytrail::moves {

/**
 * Counts the calls that one thread of a daemon finishes during a version move.
 * Durations are compared with quantiles of the old version's durations that
 * this recorder has seen so far. The quantiles stay fixed within a window, so
 * that both versions are always compared with the same bounds. The counters of
 * several recorders can be added.
 */
class EvidenceRecorder
{
public:
  /** One finished call that was sent to a server. */
  struct Observation
  {
    std::string call;
    ComparedVersion side = ComparedVersion::Old;
    /** Failure domain of the server. */
    std::string failureDomain;
    bool isFailure = false;
    /**
     * Time until the answer. Absent for failures and for calls to cold servers,
     * which are slow for a reason other than their version.
     */
    std::optional<std::chrono::microseconds> duration;
  };

  /**
   * Counts a call. `aWindow` must be below `Evidence::kWindows` and never
   * decrease; `aNow` selects the time group. Calls that exceed the limits of
   * `EvidenceWindow` on routes or failure domains are not counted. Not
   * thread-safe.
   */
  void Record(std::size_t aWindow,
              core::WallTimePoint aNow,
              const Observation& aObservation);

  /**
   * Returns the counters of a window; its sequence number is the number of
   * calls counted. Not thread-safe.
   */
  EvidenceWindow Window(std::size_t aWindow) const;

private:
  /**
   * The old version's durations of one route and the bounds derived from them.
   */
  struct Baseline
  {
    LatencyHistogram durations;
    /** Calls of the new version in all windows. */
    std::uint64_t newCalls = 0;
    /** Window for which the bounds were last updated. */
    std::size_t window = 0;
    std::optional<std::chrono::microseconds> slowBound;
    std::optional<std::chrono::microseconds> verySlowBound;
  };

  void UpdateBounds(Baseline& aBaseline, std::size_t aWindow);

  std::map<std::string, Baseline> baselines;
  Evidence::Totals windows;
};

} // namespace fireflytrail::moves
