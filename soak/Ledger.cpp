#include "soak/Ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fireflytrail::soak {

void
Ledger::Send(const std::string& aId, bool aIsOnce)
{
  this->requests[aId].isOnce = aIsOnce;
}

void
Ledger::Run(const std::string& aId)
{
  if (aId == kProbeId) {
    return;
  }
  const auto found = this->requests.find(aId);
  if (found == this->requests.end()) {
    this->Break(fmt::format("{} ran, which no caller has sent", aId));
    return;
  }
  ++found->second.runs;
}

void
Ledger::Finish(const std::string& aId, End aEnd)
{
  this->requests.at(aId).end = aEnd;
}

void
Ledger::Break(std::string aWhat)
{
  this->broken.push_back(std::move(aWhat));
}

void
Ledger::CheckAll()
{
  for (const auto& [id, request] : this->requests) {
    if (request.isOnce && request.runs > 1) {
      this->Break(fmt::format("{} ran {} times", id, request.runs));
    }
    if (request.end == End::NotRun && request.isOnce && request.runs > 0) {
      this->Break(
        fmt::format("{} ran, and its caller was told it had not", id));
    }
    if (request.end == End::Success && request.runs == 0) {
      this->Break(fmt::format("{} was answered and has not run", id));
    }
  }
}

std::size_t
Ledger::Count(End aEnd) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->requests, [aEnd](const auto& aRequest) {
      return aRequest.second.end == aEnd;
    }));
}

} // namespace fireflytrail::soak
