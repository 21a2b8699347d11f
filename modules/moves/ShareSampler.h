#pragma once

#include "core/Hooks.h"

namespace fireflytrail::moves {

/**
 * Picks the calls that go to the new version, one sampler for each thread and
 * route. Of any number of calls at most the share goes to the new version, not
 * only on average, so that the sum over daemons keeps the bound too.
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
  /** Calls that the new version is owed. */
  double credit = 0;
  /** Credit at which the next call goes to the new version; drawn anew for each
   * one, so that periodic callers do not always meet the same version. 0 before
   * the first. */
  double threshold = 0;
};

} // namespace fireflytrail::moves
