#include "moves/Evidence.h"

#include <cassert>

namespace fireflytrail::moves {

bool
Evidence::Merge(const core::DaemonId& aOrigin,
                std::size_t aWindow,
                const EvidenceWindow& aState)
{
  assert(aWindow < kWindows);
  EvidenceWindow& known = this->origins[aOrigin][aWindow];
  if (aState.sequence <= known.sequence) {
    return false;
  }
  this->sums[aWindow] -= known;
  this->sums[aWindow] += aState;
  known = aState;
  return true;
}

const Evidence::Totals&
Evidence::Sums() const
{
  return this->sums;
}

std::size_t
Evidence::OriginCount() const
{
  return this->origins.size();
}

} // namespace fireflytrail::moves
