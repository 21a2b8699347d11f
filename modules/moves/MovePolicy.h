#pragma once

#include "configuration/PrimaryCriterion.h"

namespace fireflytrail::moves {

/**
 * Parameters of the judge and of the ramp that depend on the setting
 * `weighs_most`.
 */
struct MovePolicy
{
  /**
   * Highest rate of failures or slow calls, relative to the old version, at
   * which a new version counts as good.
   */
  double toleratedRatio = 1;
  /**
   * Share of failing calls that must be ruled out on each route, with the
   * configured confidence, before the share of the new version grows.
   */
  double excludedFailureShare = 1;
  /** Fraction of the time between request and set time that the ramp takes. */
  double rampFraction = 0;
  /** Whether the share stops growing while a route looks bad. */
  bool holdsOnSuspicion = false;

  /** Returns the policy for a value of `weighs_most`. Thread-safe. */
  static MovePolicy For(configuration::PrimaryCriterion aWeight);
};

} // namespace fireflytrail::moves
