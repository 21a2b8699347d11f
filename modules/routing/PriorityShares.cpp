#include "routing/PriorityShares.h"

#include <algorithm>
#include <cmath>

namespace fireflytrail::routing {

using std::chrono::duration;
using std::chrono::nanoseconds;

namespace {

// Time constant of the arriving work. Bursts last for seconds; requests arrive
// in clumps, which are no lasting demand.
constexpr duration<double> kDemandTime{ 0.5 };

// Time constant of the counts that show whether a priority is starved.
constexpr duration<double> kServiceTime{ 3 };

// Part of the rate at which more important requests are served that a less
// important priority is guaranteed.
constexpr double kGuaranteedPart = 0.35;

// Arrivals below which a rate says nothing.
constexpr double kMinArrivals = 3;

} // namespace

double
PriorityShares::DecayingSum::At(core::TimePoint aNow,
                                duration<double> aTimeConstant) const
{
  return this->value * std::exp(-(aNow - this->at) / aTimeConstant);
}

void
PriorityShares::DecayingSum::Add(double aAmount,
                                 core::TimePoint aNow,
                                 duration<double> aTimeConstant)
{
  this->value = this->At(aNow, aTimeConstant) + aAmount;
  this->at = aNow;
}

void
PriorityShares::OnArrival(unsigned aPriority,
                          nanoseconds aWork,
                          core::TimePoint aNow)
{
  Counts& entry = this->counts[aPriority];
  entry.work.Add(duration<double>(aWork).count(), aNow, kDemandTime);
  entry.arrivals.Add(1, aNow, kServiceTime);
}

void
PriorityShares::OnRefused(unsigned aPriority, core::TimePoint aNow)
{
  this->counts[aPriority].refusals.Add(1, aNow, kServiceTime);
}

double
PriorityShares::SlotsOfMoreImportant(unsigned aPriority,
                                     core::TimePoint aNow) const
{
  double work = 0;
  for (auto entry = this->counts.begin();
       entry != this->counts.end() && entry->first < aPriority;
       ++entry) {
    work += entry->second.work.At(aNow, kDemandTime);
  }
  return work / kDemandTime.count();
}

bool
PriorityShares::IsOwedService(unsigned aPriority, core::TimePoint aNow) const
{
  const auto own = this->counts.find(aPriority);
  if (own == this->counts.end()) {
    return false;
  }
  const auto servedPart = [](double aArrivals, double aRefusals) {
    return std::max(aArrivals - aRefusals, 0.0) / aArrivals;
  };
  double arrivals = 0;
  double refusals = 0;
  for (auto entry = this->counts.begin(); entry != own; ++entry) {
    arrivals += entry->second.arrivals.At(aNow, kServiceTime);
    refusals += entry->second.refusals.At(aNow, kServiceTime);
  }
  const double ownArrivals = own->second.arrivals.At(aNow, kServiceTime);
  const double ownRefusals = own->second.refusals.At(aNow, kServiceTime);
  return arrivals >= kMinArrivals && ownArrivals >= kMinArrivals &&
         servedPart(ownArrivals, ownRefusals) <
           kGuaranteedPart * servedPart(arrivals, refusals);
}

} // namespace fireflytrail::routing
