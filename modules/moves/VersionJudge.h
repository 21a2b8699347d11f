#pragma once

#include "configuration/MovesSettings.h"
#include "moves/Evidence.h"
#include "moves/MovePolicy.h"

#include <cstddef>
#include <string>
#include <vector>

namespace fireflytrail::moves {

/**
 * Judges a new version by the summed evidence of all daemons. For each route,
 * failures, slow calls and very slow calls are tested separately, against the
 * old version's calls in the same windows and failure domains. Windows in which
 * almost all calls go to the new version are compared with the old version's
 * calls in the other windows, over all failure domains. The permitted error
 * probability of 1 - confidence is split evenly over these tests, so that it
 * bounds the probability that a good version is taken back at any time of the
 * move.
 */
class VersionJudge
{
public:
  /** Result of judging the evidence at one time. */
  struct Judgement
  {
    bool isBad = false;
    /**
     * Figures of the route with the strongest evidence against the new version,
     * for operators.
     */
    std::string reason;
    /**
     * Every route that was called has enough calls on the new version, and at
     * least one was called.
     */
    bool isEvidenceSufficient = false;
    /**
     * Some route looks bad, possibly with less than the configured confidence.
     */
    bool isSuspicious = false;
    /** Routes with too few calls on the new version, with figures. */
    std::vector<std::string> routesLackingEvidence;
  };

  /**
   * Creates a judge. `aRouteCount` is the number of routes that the service
   * defines and must be positive.
   */
  VersionJudge(const configuration::MovesSettings& aSettings,
               MovePolicy aPolicy,
               std::size_t aRouteCount);

  /** Judges the evidence of all daemons. Thread-safe. */
  Judgement Judge(const Evidence& aEvidence) const;

  /**
   * Returns the number of calls that a route needs on the new version before
   * the share may grow. If none of them fails, they rule out
   * `MovePolicy::excludedFailureShare` with the configured confidence.
   * Thread-safe.
   */
  std::size_t RequiredCalls() const;

private:
  MovePolicy policy;
  double confidence;
  /** Likelihood ratio from which a single test finds the version bad. */
  double threshold;
};

} // namespace fireflytrail::moves
