#include "moves/RateComparison.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fireflytrail::moves {

namespace {

/**
 * Mixture weight of a fault that is present from the first window on; the rest
 * is spread evenly over the later windows.
 */
constexpr double kFirstWindowWeight = 0.25;

/** Keeps the exponential finite; far above every threshold. */
constexpr double kMaxLogLikelihoodRatio = 500;

} // namespace

RateComparison::RateComparison(double aToleratedRatio, double aDispersion)
  : toleratedRatio(aToleratedRatio)
  , dispersion(aDispersion)
{
  assert(aToleratedRatio > 0);
  assert(aDispersion >= 1);
}

void
RateComparison::AddWindow(std::span<const Stratum> aStrata)
{
  LogLikelihoodRatios sums{};
  for (const Stratum& stratum : aStrata) {
    const double events = stratum.newEvents + stratum.oldEvents;
    if (stratum.oldCalls <= 0 || stratum.newCalls <= 0 || events <= 0) {
      continue;
    }
    const double newFraction =
      stratum.newCalls / (stratum.newCalls + stratum.oldCalls);
    const double tolerated =
      1 - newFraction + newFraction * this->toleratedRatio;
    for (std::size_t index = 0; index < kAlternatives.size(); ++index) {
      const double ratio = this->toleratedRatio * kAlternatives[index];
      sums[index] +=
        stratum.newEvents * std::log(kAlternatives[index]) -
        events * std::log((1 - newFraction + newFraction * ratio) / tolerated);
    }
  }
  this->windows.push_back(sums);
}

double
RateComparison::LikelihoodRatio(std::size_t aWindowCount) const
{
  assert(aWindowCount >= this->windows.size());
  const bool isSingle = aWindowCount <= 1;
  const double firstWeight = isSingle ? 1 : kFirstWindowWeight;
  const double laterWeight =
    isSingle ? 0 : (1 - firstWeight) / static_cast<double>(aWindowCount - 1);
  double likelihoodRatio = 0;
  LogLikelihoodRatios sums{};
  // Iterates backwards, to accumulate the sums from each window to the last
  // one.
  for (std::size_t window = this->windows.size(); window-- > 0;) {
    const double weight = window == 0 ? firstWeight : laterWeight;
    for (std::size_t index = 0; index < kAlternatives.size(); ++index) {
      sums[index] += this->windows[window][index];
      likelihoodRatio += weight / static_cast<double>(kAlternatives.size()) *
                         std::exp(std::min(kMaxLogLikelihoodRatio,
                                           sums[index] / this->dispersion));
    }
  }
  return likelihoodRatio;
}

} // namespace fireflytrail::moves
