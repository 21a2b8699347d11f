#include "soak/RequestHistory.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fireflytrail::soak {

void
RequestHistory::RecordSend(const std::string& aId,
                           bool aIsAtMostOnce,
                           const std::string& aDaemon)
{
  Request& request = this->requests[aId];
  request.isAtMostOnce = aIsAtMostOnce;
  request.daemon = aDaemon;
}

void
RequestHistory::RecordArrival(const std::string& aId,
                              const std::string& aServer)
{
  // `RecordRun` reports ids that no caller has sent.
  const auto found = this->requests.find(aId);
  if (found != this->requests.end()) {
    found->second.servers.push_back(aServer);
  }
}

std::string
RequestHistory::DaemonOf(const std::string& aId) const
{
  if (aId.starts_with(kProbePrefix)) {
    return aId.substr(kProbePrefix.size());
  }
  const auto found = this->requests.find(aId);
  return found == this->requests.end() ? std::string() : found->second.daemon;
}

std::vector<std::string>
RequestHistory::ServersOf(const std::string& aId) const
{
  const auto found = this->requests.find(aId);
  return found == this->requests.end() ? std::vector<std::string>()
                                       : found->second.servers;
}

void
RequestHistory::RecordRun(const std::string& aId)
{
  if (aId.starts_with(kProbePrefix)) {
    return;
  }
  const auto found = this->requests.find(aId);
  if (found == this->requests.end()) {
    this->ReportViolation(
      fmt::format("request {} ran, but no caller has sent it", aId));
    return;
  }
  ++found->second.runs;
}

void
RequestHistory::RecordOutcome(const std::string& aId, Outcome aOutcome)
{
  this->requests.at(aId).outcome = aOutcome;
}

void
RequestHistory::ReportViolation(std::string aDescription)
{
  this->violations.push_back(std::move(aDescription));
}

void
RequestHistory::CheckAll()
{
  for (const auto& [id, request] : this->requests) {
    if (request.isAtMostOnce && request.runs > 1) {
      this->ReportViolation(
        fmt::format("at-most-once request {} ran {} times", id, request.runs));
    }
    if (request.outcome == Outcome::NotRun && request.isAtMostOnce &&
        request.runs > 0) {
      this->ReportViolation(fmt::format(
        "at-most-once request {} ran, but its caller got a not-run response",
        id));
    }
    if (request.outcome == Outcome::Denied && request.runs > 0) {
      this->ReportViolation(
        fmt::format("request {} ran, but its key was refused", id));
    }
    if (request.outcome == Outcome::Success && request.runs == 0) {
      this->ReportViolation(
        fmt::format("request {} got a success response, but has not run", id));
    }
  }
}

std::size_t
RequestHistory::Count(Outcome aOutcome) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->requests, [aOutcome](const auto& aRequest) {
      return aRequest.second.outcome == aOutcome;
    }));
}

} // namespace fireflytrail::soak
