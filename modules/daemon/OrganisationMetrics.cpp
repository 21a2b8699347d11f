#include "daemon/OrganisationMetrics.h"

#include "daemon/Metrics.h"

#include <prometheus/counter.h>

namespace fireflytrail::daemon {

OrganisationMetrics::OrganisationMetrics(Metrics& aMetrics)
  : requests(prometheus::BuildCounter()
               .Name("fireflytrail_organisation_requests_total")
               .Help("Requests of an organisation that have ended")
               .Register(aMetrics.registry))
  , errors(prometheus::BuildCounter()
             .Name("fireflytrail_organisation_errors_total")
             .Help("Requests of an organisation that ended with an error kind")
             .Register(aMetrics.registry))
{
}

OrganisationMetrics::~OrganisationMetrics() = default;

void
OrganisationMetrics::Record(const std::string& aOrganisation,
                            core::ErrorKind aKind)
{
  if (aOrganisation.empty()) {
    return;
  }
  const Series& series = this->SeriesOf(aOrganisation);
  series.requests->Increment();
  if (aKind != core::ErrorKind::None) {
    series.errors->Increment();
  }
}

OrganisationMetrics::Series&
OrganisationMetrics::SeriesOf(const std::string& aOrganisation)
{
  if (const auto found = this->seriesByName.find(aOrganisation);
      found != this->seriesByName.end()) {
    return found->second;
  }
  const bool hasRoom = this->seriesByName.size() < kMaxNames;
  const std::string name = hasRoom ? aOrganisation : kOtherName;
  Series& series = this->seriesByName[name];
  if (series.requests == nullptr) {
    series.requests = &this->requests.Add({ { "organisation", name } });
    series.errors = &this->errors.Add({ { "organisation", name } });
  }
  return series;
}

} // namespace fireflytrail::daemon
