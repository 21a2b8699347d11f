#pragma once

#include <array>
#include <cstddef>
#include <span>
#include <vector>

namespace fireflytrail::moves {

/**
 * Sequential test whether events (failures or slow calls) are more frequent on
 * the new version than a tolerated ratio of the old version's rate.
 *
 * Within a stratum (time window and failure domain), given the number of events
 * of both versions together, the number on the new version is binomial with a
 * parameter that depends only on the ratio of the rates. The likelihood ratio
 * of an alternative against the tolerated ratio, multiplied over strata, has an
 * expected value of at most 1 at any time for a good version. So has a mixture
 * over alternatives and over the window in which the fault begins. By Ville's
 * inequality a good version's value ever reaches 1/a with probability at most
 * a, however often it is looked at.
 */
class RateComparison
{
public:
  /** Counts of one time window and failure domain. */
  struct Stratum
  {
    double oldCalls = 0;
    double oldEvents = 0;
    double newCalls = 0;
    double newEvents = 0;
  };

  /**
   * Starts a test. `aToleratedRatio` must be positive; `aDispersion` must be at
   * least 1: the factor by which clusters widen the variance of the counts.
   */
  RateComparison(double aToleratedRatio, double aDispersion);

  /**
   * Adds one time window; windows must be added in time order. Strata that
   * lack calls of one version say nothing and are skipped. Not thread-safe.
   */
  void AddWindow(std::span<const Stratum> aStrata);

  /**
   * Returns the value of the test for `aWindowCount` planned windows, which
   * must be at least the number added. Not thread-safe.
   */
  double LikelihoodRatio(std::size_t aWindowCount) const;

private:
  /** Alternatives, as multiples of the tolerated ratio. */
  static constexpr std::array kAlternatives = {
    1.5, 2.0, 3.0, 5.0, 10.0, 30.0
  };

  using LogLikelihoodRatios = std::array<double, kAlternatives.size()>;

  double toleratedRatio;
  double dispersion;
  std::vector<LogLikelihoodRatios> windows;
};

} // namespace fireflytrail::moves
