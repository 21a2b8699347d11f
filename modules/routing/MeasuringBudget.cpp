#include "routing/MeasuringBudget.h"

#include "routing/SharedLimit.h"

#include <cassert>
#include <cstdint>
#include <utility>

namespace fireflytrail::routing {

namespace {

/** Grants are kept for slightly longer than the window of one second. A probe
 * reaches the server some time after its grant, and this delay must not move it
 * into the same window as the next probe. */
constexpr std::chrono::milliseconds kGrantRetention{ 1100 };

} // namespace

MeasuringBudget::MeasuringBudget(std::string aServerId,
                                 unsigned aSlots,
                                 double aRatio,
                                 std::chrono::microseconds aLargestCost,
                                 std::string aSelf,
                                 core::NowFunction aNow)
  : serverId(std::move(aServerId))
  , self(std::move(aSelf))
  , now(std::move(aNow))
  , totalPerSecond(static_cast<std::int64_t>(aRatio * aSlots * 1'000'000))
  , largestCost(aLargestCost)
  , startedAt(this->now())
{
  assert(aLargestCost.count() > 0);
  assert(aSlots > 0 && aRatio >= 0 && aRatio <= 1);
}

void
MeasuringBudget::SetHosts(std::vector<std::string> aHosts)
{
  this->hosts = std::move(aHosts);
}

bool
MeasuringBudget::TrySpend(std::chrono::microseconds aCost)
{
  assert(aCost.count() > 0 && aCost <= this->largestCost);
  const core::TimePoint time = this->now();
  if (time - this->startedAt < kSettlingTime) {
    return false;
  }
  while (!this->grants.empty() &&
         time - this->grants.front().time >= kGrantRetention) {
    this->grants.pop_front();
  }
  std::chrono::microseconds used{ 0 };
  for (const Grant& grant : this->grants) {
    used += grant.cost;
  }
  const auto units =
    static_cast<std::uint32_t>(this->totalPerSecond / this->largestCost);
  const std::uint32_t ownUnits = SharedLimit::ConservativeShareOf(
    this->serverId, units, this->self, this->hosts);
  if (used + aCost > ownUnits * this->largestCost) {
    return false;
  }
  this->grants.push_back({ time, aCost });
  return true;
}

} // namespace fireflytrail::routing
