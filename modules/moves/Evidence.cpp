#include "moves/Evidence.h"

#include <cassert>

namespace fireflytrail::moves {

bool
Evidence::Merge(const core::DaemonId& aOrigin, const EvidenceWindow& aSnapshot)
{
  const std::size_t window = aSnapshot.window;
  assert(window < kWindows);
  EvidenceWindow& stored =
    this->origins.try_emplace(aOrigin, EmptyTotals()).first->second[window];
  if (aSnapshot.sequence <= stored.sequence) {
    return false;
  }
  this->sums[window] -= stored;
  this->sums[window] += aSnapshot;
  stored = aSnapshot;
  for (const auto& [name, route] : aSnapshot.routes) {
    std::uint64_t& calls = this->newCallsByOrigin[aOrigin][name];
    if (route.newCallsSoFar > calls) {
      this->newCalls[name] += route.newCallsSoFar - calls;
      calls = route.newCallsSoFar;
    }
  }
  return true;
}

const Evidence::Totals&
Evidence::Sums() const
{
  return this->sums;
}

const std::map<std::string, std::uint64_t>&
Evidence::NewCalls() const
{
  return this->newCalls;
}

std::size_t
Evidence::OriginCount() const
{
  return this->origins.size();
}

Evidence::Totals
Evidence::EmptyTotals()
{
  Totals totals;
  for (std::size_t window = 0; window < totals.size(); ++window) {
    totals[window].window = window;
  }
  return totals;
}

} // namespace fireflytrail::moves
