#include "routing/RouteDurations.h"

#include <algorithm>
#include <cassert>

namespace fireflytrail::routing {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

namespace {

// Relative step by which one duration moves an estimated quantile. Under high
// load, slow instances would dominate a mean, and no request would seem able to
// meet its goal.
constexpr double kStep = 0.03;

// Step after the first duration of a route. It declines with their number until
// it reaches the one above.
constexpr double kFirstStep = 0.5;

// Weight of one duration in the mean.
constexpr double kMeanWeight = 0.03;

constexpr double kMedian = 0.5;
constexpr double kLikely = 0.75;

nanoseconds
Scale(nanoseconds aTime, double aFactor)
{
  return std::max<nanoseconds>(nanoseconds(static_cast<nanoseconds::rep>(
                                 static_cast<double>(aTime.count()) * aFactor)),
                               1ms);
}

void
MoveQuantile(nanoseconds& aEstimate,
             double aQuantile,
             double aStep,
             nanoseconds aDuration)
{
  aEstimate = Scale(aEstimate,
                    aDuration > aEstimate ? 1 + 2 * aQuantile * aStep
                                          : 1 - 2 * (1 - aQuantile) * aStep);
}

void
Update(DurationEstimate& aEstimate, double aStep, nanoseconds aDuration)
{
  MoveQuantile(aEstimate.typical, kMedian, aStep, aDuration);
  MoveQuantile(aEstimate.likely, kLikely, aStep, aDuration);
  aEstimate.likely = std::max(aEstimate.likely, aEstimate.typical);
  const double weight = std::max(kMeanWeight, aStep);
  aEstimate.mean = Scale(aEstimate.mean, 1 - weight) +
                   nanoseconds(static_cast<nanoseconds::rep>(
                     static_cast<double>(aDuration.count()) * weight));
}

} // namespace

RouteDurations::RouteDurations(nanoseconds aInitial)
  : service{ aInitial, aInitial, aInitial }
{
  assert(aInitial > 0ns);
}

void
RouteDurations::Record(std::uint64_t aRoute, nanoseconds aDuration)
{
  const nanoseconds duration = std::max<nanoseconds>(aDuration, 1ms);
  Update(this->service, kStep, duration);
  if (aRoute == 0) {
    return;
  }
  const auto [found, isNew] = this->routes.try_emplace(aRoute);
  Route& route = found->second;
  if (isNew) {
    route.estimate = this->service;
  }
  route.lastRecord = ++this->records;
  ++route.count;
  Update(route.estimate,
         std::max(kStep, kFirstStep / static_cast<double>(route.count)),
         duration);
  if (this->routes.size() > kMaxRoutes) {
    this->DropOldest();
  }
}

const DurationEstimate&
RouteDurations::Of(std::uint64_t aRoute) const
{
  const auto found = this->routes.find(aRoute);
  return found == this->routes.end() ? this->service : found->second.estimate;
}

void
RouteDurations::DropOldest()
{
  this->routes.erase(
    std::ranges::min_element(this->routes, {}, [](const auto& aEntry) {
      return aEntry.second.lastRecord;
    }));
}

} // namespace fireflytrail::routing
