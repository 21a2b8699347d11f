#pragma once

#include "core/Hooks.h"

namespace fireflytrail::moves {

/**
 * Selects the calls that go to the new version; one sampler for each thread and
 * route. Of any number of calls, at most the share goes to the new version, not
 * only on average, so that the sum over all daemons keeps this limit too.
 */
class ShareSampler
{
public:
  /**
   * Returns whether the next call goes to the new version. `aShare` must be
   * between 0 and 1. Not thread-safe.
   */
  bool Next(double aShare, const core::RandomFunction& aRandom);

private:
  /**
   * Sum of the shares of the calls so far, less 1 for each call that went to
   * the new version; limited to `kMaxCredit`.
   */
  double credit = 0;
  /**
   * Credit at which the next call goes to the new version; redrawn after each
   * one, so that periodic callers do not always get the same version. 0 before
   * the first draw.
   */
  double threshold = 0;
};

} // namespace fireflytrail::moves
