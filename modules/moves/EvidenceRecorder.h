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
 * Durations are compared with the old version's quantiles as this recorder has
 * seen them so far; they stay fixed within a window, so that both versions are
 * always measured against the same bounds. The counters of several recorders
 * are added.
 */
class EvidenceRecorder
{
public:
  /** One finished call that was sent to a server. */
  struct Observation
  {
    std::string call;
    VersionSide side = VersionSide::Old;
    /** Failure domain of the server. */
    std::string failureDomain;
    bool isFailure = false;
    /**
     * Time until the answer. Absent for failures and for calls to servers that
     * are still cold, which are slow for another reason than their version.
     */
    std::optional<std::chrono::microseconds> duration;
  };

  /**
   * Counts a call. `aWindow` must be below `Evidence::kWindows` and never
   * decrease; `aNow` decides the time group. Calls beyond the bounds of
   * `EvidenceWindow` are not counted. Not thread-safe.
   */
  void Record(std::size_t aWindow,
              core::WallTimePoint aNow,
              const Observation& aObservation);

  /** Returns the counters of a window; its sequence counts calls. Not
   * thread-safe. */
  EvidenceWindow Window(std::size_t aWindow) const;

private:
  /** Old version's durations of one call and the bounds in use. */
  struct Baseline
  {
    LatencyHistogram durations;
    /** Calls of the new version in all windows. */
    std::uint64_t newCalls = 0;
    std::size_t window = 0;
    std::optional<std::chrono::microseconds> slowBound;
    std::optional<std::chrono::microseconds> verySlowBound;
  };

  void UpdateBounds(Baseline& aBaseline, std::size_t aWindow);

  std::map<std::string, Baseline> baselines;
  Evidence::Totals windows;
};

} // namespace fireflytrail::moves
