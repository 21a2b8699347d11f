#include "routing/ServiceRate.h"

#include <algorithm>
#include <cmath>

namespace fireflytrail::routing {

using std::chrono::duration;

namespace {

// Time constant of the observation: several requests a slot, so that requests
// that end in groups do not look like a change of the rate.
constexpr duration<double> kObservedTime{ 0.7 };

// Least part of the slots that is assumed, so that a queue is never dropped
// because of a moment without a grant.
constexpr double kMinPart = 0.3;

} // namespace

void
ServiceRate::OnGranted(std::chrono::nanoseconds aWork, core::TimePoint aNow)
{
  this->work = this->WorkAt(aNow) + duration<double>(aWork).count();
  this->workAt = aNow;
}

double
ServiceRate::WorkAt(core::TimePoint aNow) const
{
  return this->work * std::exp(-((aNow - this->workAt) / kObservedTime));
}

double
ServiceRate::Slots(double aSlots, core::TimePoint aNow) const
{
  const double observed = this->WorkAt(aNow) / kObservedTime.count();
  const double trust =
    1 - std::exp(-((aNow - this->waitBegan) / kObservedTime));
  return std::clamp(
    observed * trust + aSlots * (1 - trust), aSlots * kMinPart, aSlots);
}

} // namespace fireflytrail::routing
