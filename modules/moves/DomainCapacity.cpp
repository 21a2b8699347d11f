#include "moves/DomainCapacity.h"

#include <fmt/format.h>

namespace fireflytrail::moves {

std::string
DomainCapacity::ServiceResult::ToString() const
{
  return fmt::format(
    "{}: {:.1f} slots in use, {:.0f} stay, of which {:.1f} may "
    "be in use: {}",
    this->service,
    this->needed,
    this->remaining,
    this->allowed,
    this->isEnough ? "enough" : "not enough");
}

std::string
DomainCapacity::Report::ToString() const
{
  std::string text;
  for (const ServiceResult& result : this->results) {
    text += result.ToString() + '\n';
  }
  return text;
}

DomainCapacity::Report
DomainCapacity::Check(const Load& aLoad,
                      std::string_view aFailureDomain,
                      const std::set<std::string>& aDomainsOut)
{
  Report report;
  for (const auto& [service, domains] : aLoad) {
    ServiceResult result;
    result.service = service;
    for (const auto& [domain, slots] : domains) {
      result.needed += slots.busy;
      if (domain != aFailureDomain && !aDomainsOut.contains(domain)) {
        result.remaining += slots.total;
      }
    }
    result.allowed = result.remaining * kMaxUtilization;
    result.isEnough = result.remaining > 0 && result.needed <= result.allowed;
    report.isEnough = report.isEnough && result.isEnough;
    report.results.push_back(result);
  }
  return report;
}

} // namespace fireflytrail::moves
