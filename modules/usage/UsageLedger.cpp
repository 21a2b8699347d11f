#include "usage/UsageLedger.h"

#include <algorithm>

namespace fireflytrail::usage {

UsageCounters*
UsageLedger::Of(std::uint64_t aLifetime, std::uint64_t aHost)
{
  const auto found = this->lifetimes.find(aLifetime);
  if (found != this->lifetimes.end()) {
    return &found->second.counters;
  }
  if (this->lifetimes.size() >= kMaxLifetimes) {
    return nullptr;
  }
  Entry& added = this->lifetimes[aLifetime];
  added.host = aHost;
  added.counters.Forget(this->forgottenThrough);
  return &added.counters;
}

std::set<std::uint64_t>
UsageLedger::CompleteHosts(WindowNumber aWindow) const
{
  std::set<std::uint64_t> hosts;
  for (const auto& [lifetime, entry] : this->lifetimes) {
    if (entry.counters.IsComplete(aWindow)) {
      hosts.insert(entry.host);
    }
  }
  return hosts;
}

Figures
UsageLedger::SumOf(WindowNumber aWindow) const
{
  Figures sum;
  for (const auto& [lifetime, entry] : this->lifetimes) {
    const auto found = entry.counters.Windows().find(aWindow);
    if (found == entry.counters.Windows().end()) {
      continue;
    }
    for (const auto& [organisation, count] : found->second) {
      sum[organisation] += count;
    }
  }
  return sum;
}

void
UsageLedger::Forget(WindowNumber aWindow)
{
  this->forgottenThrough = std::max(this->forgottenThrough, aWindow);
  for (auto& [lifetime, entry] : this->lifetimes) {
    entry.counters.Forget(aWindow);
  }
  std::erase_if(this->lifetimes, [&](const auto& aEntry) {
    return aEntry.second.counters.Windows().empty();
  });
}

} // namespace fireflytrail::usage
