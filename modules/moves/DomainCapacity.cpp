#include "moves/DomainCapacity.h"

#include <fmt/format.h>

namespace fireflytrail::moves {

std::string
DomainCapacity::Line::ToString() const
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
  for (const Line& line : this->lines) {
    text += line.ToString() + '\n';
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
    Line line;
    line.service = service;
    for (const auto& [domain, slots] : domains) {
      line.needed += slots.busy;
      if (domain != aFailureDomain && !aDomainsOut.contains(domain)) {
        line.remaining += slots.total;
      }
    }
    line.allowed = line.remaining * kMaxUse;
    line.isEnough = line.remaining > 0 && line.needed <= line.allowed;
    report.isEnough = report.isEnough && line.isEnough;
    report.lines.push_back(line);
  }
  return report;
}

} // namespace fireflytrail::moves
