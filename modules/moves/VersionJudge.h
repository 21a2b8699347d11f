#pragma once

#include "configuration/MovesSettings.h"
#include "moves/Evidence.h"
#include "moves/MovePolicy.h"

#include <cstddef>
#include <string>
#include <vector>

namespace fireflytrail::moves {

/**
 * Judges a new version on the sums of all daemons' evidence: each route on its
 * own, for failures, for slow calls and for very slow calls, against the old
 * version over the same windows and failure domains. The confidence is split
 * evenly over these tests, so that a good version is taken back with
 * probability of at most 1 - confidence over the whole move.
 */
class VersionJudge
{
public:
  /** What the evidence says at one moment. */
  struct Judgement
  {
    bool isBad = false;
    /** Figures of the worst route, for operators. */
    std::string reason;
    /** Every route that was called has enough calls on the new version. */
    bool isEvidenceSufficient = false;
    /** Some route looks bad, but not with the stated confidence. */
    bool isSuspicious = false;
    /** Routes that lack evidence, with figures. */
    std::vector<std::string> routesLackingEvidence;
  };

  /** Makes a judge. `aRouteCount` is the number of calls of the service and
   * must be positive. */
  VersionJudge(const configuration::MovesSettings& aSettings,
               MovePolicy aPolicy,
               std::size_t aRouteCount);

  /** Judges the evidence of all daemons. Thread-safe. */
  Judgement Judge(const Evidence& aEvidence) const;

  /**
   * Returns how many calls without a failure a route needs on the new version
   * before the share may grow. Thread-safe.
   */
  std::size_t RequiredCalls() const;

private:
  MovePolicy policy;
  double confidence;
  /** Value at which a single test finds the version bad. */
  double threshold;
};

} // namespace fireflytrail::moves
