#include "moves/ShareSampler.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fireflytrail::moves {

namespace {

/**
 * Above every threshold; a larger credit would only cause a burst when the
 * share grows.
 */
constexpr double kMaxCredit = 2;

/**
 * Returns a uniformly distributed number from 1 (inclusive) to 2 (exclusive).
 */
double
DrawThreshold(const core::RandomFunction& aRandom)
{
  return 1 + std::ldexp(static_cast<double>(aRandom() >> 11), -53);
}

} // namespace

bool
ShareSampler::Next(double aShare, const core::RandomFunction& aRandom)
{
  assert(aShare >= 0 && aShare <= 1);
  if (aShare <= 0) {
    return false;
  }
  if (aShare >= 1) {
    return true;
  }
  if (this->threshold < 1) {
    this->threshold = DrawThreshold(aRandom);
  }
  this->credit = std::min(kMaxCredit, this->credit + aShare);
  if (this->credit < this->threshold) {
    return false;
  }
  this->credit -= 1;
  this->threshold = DrawThreshold(aRandom);
  return true;
}

} // namespace fireflytrail::moves
