#pragma once

#include <array>
#include <cstddef>
#include <span>
#include <vector>

namespace fireflytrail::moves {

/**
 * Sequential test whether events (failures or slow calls) are more frequent on
 * the new version than a tolerated ratio times the old version's rate.
 *
 * Within a stratum (time window and failure domain), given the total number of
 * events of both versions, the number on the new version is binomially
 * distributed. The parameter follows from the numbers of calls and the ratio of
 * the rates. For a good version, the likelihood ratio of an alternative to the
 * tolerated ratio, multiplied over the strata, has an expected value of at most
 * 1 at any time. The same holds for a mixture over alternatives and over the
 * window in which the fault begins. By Ville's inequality, the probability that
 * the likelihood ratio of a good version reaches 1/a at any time is at most a,
 * however often it is evaluated.
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
   * Creates a test. `aToleratedRatio` must be positive. `aDispersion` is the
   * factor by which clusters of events increase the variance of the counts; it
   * must be at least 1.
   */
  RateComparison(double aToleratedRatio, double aDispersion);

  /**
   * Adds one time window; windows must be added in time order. Strata in which
   * either version has no calls carry no information and are skipped. Not
   * thread-safe.
   */
  void AddWindow(std::span<const Stratum> aStrata);

  /**
   * Returns the likelihood ratio of the mixture of alternatives to the
   * tolerated ratio. `aWindowCount` is the planned number of windows and must
   * be at least the number added. Not thread-safe.
   */
  double LikelihoodRatio(std::size_t aWindowCount) const;

private:
  /** Alternative ratios of the rates, as multiples of the tolerated ratio. */
  static constexpr std::array kAlternatives = {
    1.5, 2.0, 3.0, 5.0, 10.0, 30.0
  };

  using LogLikelihoodRatios = std::array<double, kAlternatives.size()>;

  double toleratedRatio;
  double dispersion;
  std::vector<LogLikelihoodRatios> windows;
};

} // namespace fireflytrail::moves
