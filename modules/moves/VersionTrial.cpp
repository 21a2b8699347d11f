#include "moves/VersionTrial.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace fireflytrail::moves {

using namespace std::chrono_literals;
using Real = std::chrono::duration<double>;

namespace {

// Parts of the move's time: the share stays small up to the first, and reaches
// all requests at the second if nothing holds it. The rest is for requests at
// the old version to end and for the verdict to be written.
constexpr double kTrialPart = 0.45;
constexpr double kRampPart = 0.75;

// Ended requests of the new version from which the share may grow. A version
// that fails one request in three shows in ten of these.
constexpr std::uint64_t kEnoughRequests = 30;

// Failures and slow requests up to this multiple of the old version's rate are
// tolerated; those of servers differ by chance and by neighbours.
constexpr double kToleratedRatio = 1.5;

// Slow requests come in clusters, since neighbours slow all of an instance.
constexpr double kFailureDispersion = 1;
constexpr double kSlowDispersion = 2;

// Values of the test: a good version ever reaches them with a probability of at
// most one in 500 and one in 8.
constexpr double kBadValue = 500;
constexpr double kSuspiciousValue = 8;

// Failures of one instance that count: one broken instance is no bad version.
constexpr unsigned kMostFailuresOfInstance = 3;

// Below this part of the old instances, the new ones cannot carry all requests.
constexpr double kLeastInstances = 0.6;

// Old requests in one second below which earlier seconds are compared with.
constexpr double kEnoughOldRequests = 5;

// Time for which all requests go to the new version before it is good, and the
// longest that requests at the old version are waited for.
constexpr auto kFullTime = 700ms;
constexpr auto kLongestWaitForOld = 3s;

constexpr std::uint64_t kAllRoutes = 0;

} // namespace

VersionTrial::VersionTrial(core::NowFunction aNow,
                           core::TimePoint aBegin,
                           std::chrono::milliseconds aDuration,
                           double aFirstShare)
  : now(std::move(aNow))
  , begin(aBegin)
  , duration(aDuration)
  , firstShare(aFirstShare)
  , share(aFirstShare)
  , updatedAt(aBegin)
{
  assert(this->now && aDuration.count() > 0);
  assert(aFirstShare > 0 && aFirstShare < 1);
}

void
VersionTrial::Record(const Observation& aObservation)
{
  if (this->verdict != Verdict::None) {
    return;
  }
  this->newRequests += aObservation.isNew ? 1 : 0;
  const bool isCounted = this->IsFailureCounted(aObservation);
  this->CountIn(this->routes[kAllRoutes], aObservation, isCounted);
  if (aObservation.route != kAllRoutes) {
    this->CountIn(this->routes[aObservation.route], aObservation, isCounted);
  }
}

void
VersionTrial::Update(const Capacity& aCapacity)
{
  if (this->verdict != Verdict::None) {
    return;
  }
  const core::TimePoint time = this->now();
  const Real elapsed = time - this->updatedAt;
  this->updatedAt = time;
  this->value = this->WorstValue();
  if (this->value >= kBadValue) {
    this->verdict = Verdict::Bad;
    this->share = 0;
    return;
  }
  const bool canCarryAll =
    static_cast<double>(aCapacity.newInstances) >=
    kLeastInstances * static_cast<double>(aCapacity.oldInstances);
  const bool mayGrow = this->value < kSuspiciousValue && canCarryAll &&
                       this->newRequests >= kEnoughRequests &&
                       time - this->begin >= this->duration * kTrialPart;
  if (mayGrow && this->share < 1) {
    // All steps together multiply the first share to 1.
    const Real ramp = Real(this->duration) * (kRampPart - kTrialPart);
    this->share = std::min(
      1.0, this->share * std::pow(1 / this->firstShare, elapsed / ramp));
  }
  if (this->share < 1) {
    return;
  }
  if (!this->fullSince) {
    this->fullSince = time;
  }
  const auto full = time - *this->fullSince;
  const bool isOldIdle =
    aCapacity.oldRequests == 0 || full >= kLongestWaitForOld;
  if (full >= kFullTime && isOldIdle && mayGrow) {
    this->verdict = Verdict::Good;
  }
}

double
VersionTrial::Share() const
{
  return this->share;
}

std::string
VersionTrial::Describe() const
{
  const auto all = this->routes.find(kAllRoutes);
  RateComparison::Stratum failures;
  RateComparison::Stratum slow;
  if (all != this->routes.end()) {
    for (const Window& window : all->second.windows) {
      failures.newCalls += window.failures.newCalls;
      failures.newEvents += window.failures.newEvents;
      failures.oldCalls += window.failures.oldCalls;
      failures.oldEvents += window.failures.oldEvents;
      slow.newEvents += window.slow.newEvents;
      slow.oldEvents += window.slow.oldEvents;
    }
  }
  return fmt::format("share {:.3g}, test {:.3g}; new: {} requests, {} failed, "
                     "{} slow; old: {}, {}, {}",
                     this->share,
                     this->value,
                     failures.newCalls,
                     failures.newEvents,
                     slow.newEvents,
                     failures.oldCalls,
                     failures.oldEvents,
                     slow.oldEvents);
}

VersionTrial::Window&
VersionTrial::WindowOf(Route& aRoute) const
{
  const auto second = static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, (this->now() - this->begin) / 1s));
  if (aRoute.windows.empty() || aRoute.windows.back().second < second) {
    aRoute.windows.push_back({ second, {}, {} });
  }
  return aRoute.windows.back();
}

bool
VersionTrial::IsFailureCounted(const Observation& aObservation)
{
  if (!aObservation.isFailure || !aObservation.isNew) {
    return aObservation.isFailure;
  }
  return ++this->newFailures[aObservation.instance] <= kMostFailuresOfInstance;
}

void
VersionTrial::CountIn(Route& aRoute,
                      const Observation& aObservation,
                      bool aIsFailureCounted)
{
  Window& window = this->WindowOf(aRoute);
  const auto count = [&](RateComparison::Stratum& aStratum, bool aIsEvent) {
    (aObservation.isNew ? aStratum.newCalls : aStratum.oldCalls) += 1;
    (aObservation.isNew ? aStratum.newEvents : aStratum.oldEvents) +=
      aIsEvent ? 1 : 0;
  };
  // A failure that is left out is left out as a request too.
  if (!aObservation.isFailure || aIsFailureCounted) {
    count(window.failures, aIsFailureCounted);
  }
  if (aObservation.isSlow) {
    count(window.slow, *aObservation.isSlow);
  }
}

double
VersionTrial::ValueOf(const Route& aRoute,
                      RateComparison::Stratum Window::*aKind)
{
  RateComparison comparison(kToleratedRatio,
                            aKind == &Window::slow ? kSlowDispersion
                                                   : kFailureDispersion);
  RateComparison::Stratum before;
  for (const Window& window : aRoute.windows) {
    RateComparison::Stratum stratum = window.*aKind;
    before.oldCalls += stratum.oldCalls;
    before.oldEvents += stratum.oldEvents;
    if (stratum.oldCalls < kEnoughOldRequests) {
      stratum.oldCalls = before.oldCalls;
      stratum.oldEvents = before.oldEvents;
    }
    comparison.AddWindow({ &stratum, 1 });
  }
  return comparison.Value(aRoute.windows.size());
}

double
VersionTrial::WorstValue() const
{
  double worst = 0;
  for (const auto& [route, evidence] : this->routes) {
    worst = std::max({ worst,
                       ValueOf(evidence, &Window::failures),
                       ValueOf(evidence, &Window::slow) });
  }
  return worst;
}

} // namespace fireflytrail::moves
