#include "moves/MovePolicy.h"

namespace fireflytrail::moves {

MovePolicy
MovePolicy::For(configuration::PrimaryCriterion aWeight)
{
  if (aWeight == configuration::PrimaryCriterion::BadVersions) {
    return { .toleratedRatio = 1.1,
             .excludedFailureShare = 0.05,
             .rampFraction = 0.65,
             .holdsOnSuspicion = true };
  }
  return { .toleratedRatio = 1.25,
           .excludedFailureShare = 0.1,
           .rampFraction = 0.45,
           .holdsOnSuspicion = false };
}

} // namespace fireflytrail::moves
