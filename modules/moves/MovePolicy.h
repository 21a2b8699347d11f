#pragma once

#include "configuration/Weight.h"

namespace fireflytrail::moves {

/** How the setting `weighs_most` changes the judge and the ramp. */
struct MovePolicy
{
  /**
   * Rate of failures or slow calls, relative to the old version, up to which a
   * new version counts as good.
   */
  double toleratedRatio = 1;
  /**
   * Share of failing calls on a route that must have shown with the stated
   * confidence before the share grows.
   */
  double excludedFailureShare = 1;
  /** Part of the time between request and set time that the ramp takes. */
  double rampFraction = 0;
  /** Whether the share stops growing while a route looks bad. */
  bool holdsOnSuspicion = false;

  /** Returns the policy of a weight. Thread-safe. */
  static MovePolicy For(configuration::Weight aWeight);
};

} // namespace fireflytrail::moves
