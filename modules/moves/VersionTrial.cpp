#include "moves/VersionTrial.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace fireflytrail::moves {

using namespace std::chrono_literals;
using FloatSeconds = std::chrono::duration<double>;

namespace {

// Fractions of the move's duration. The share stays small up to the first one
// and, unless it is held, reaches 1 at the second one. The rest is for requests
// at the old version to finish and for the verdict to be written.
constexpr double kRampStartFraction = 0.45;
constexpr double kRampEndFraction = 0.75;

// Shortest time of the ramp from any share on, as a fraction of the duration.
constexpr double kMinRampFraction = 0.1;

// Minimum number of finished requests of the new version before the share may
// grow. A version that fails one request in three fails about ten of these.
constexpr std::uint64_t kMinNewRequests = 30;

// Rates of failures and of slow requests up to this multiple of the old
// version's rate are tolerated, since rates of servers differ by chance and
// because of noisy neighbours.
constexpr double kToleratedRatio = 1.5;

// Factors by which clusters of events increase the variance of the counts. Slow
// requests come in clusters, since a noisy neighbour slows all requests of an
// instance.
constexpr double kFailureDispersion = 1;
constexpr double kSlowDispersion = 2;

// Likelihood ratios from which the version is judged bad and suspicious. A
// single test of a good version, with a number of windows fixed in advance,
// reaches them with a probability of at most one in 500 and one in 8; these
// limits do not hold exactly here, since the number of windows grows and the
// maximum over several tests is taken.
constexpr double kBadLikelihoodRatio = 500;
constexpr double kSuspiciousLikelihoodRatio = 8;

// The same if there is all the evidence for the version that is counted: over
// the many requests of a large share, the maximum of the tests of ten kinds of
// events exceeds the lower limit by chance.
constexpr double kSuspiciousLikelihoodRatioIfGood = 50;

// Log likelihood ratio of a good version to a bad one from which the share may
// grow (3,000 to 1), and its limit. A version below 0 looks more like a bad
// one.
constexpr double kGoodEvidenceToGrow = 8;
constexpr double kMaxGoodEvidence = 9;

// Rates of events that a bad version has at least: one request in five fails,
// or three in ten are slow. They are also this multiple of the old version's
// rate, as far as that leaves room.
constexpr double kMinBadFailureRate = 0.2;
constexpr double kMinBadSlowRate = 0.3;
constexpr double kBadRateRatio = 3;
constexpr double kMaxBadRate = 0.9;

// Part of the old version's requests of one second that still counts in the
// next one for its rate, and how many always count.
constexpr double kOldRateMemory = 0.8;
constexpr double kMinOldRequestsForRate = 60;

// Lowest rate of events that is assumed for the old version.
constexpr double kMinOldRate = 0.01;

// Maximum number of failures counted for one instance, since one broken
// instance does not make the version bad.
constexpr unsigned kMaxCountedFailuresPerInstance = 3;

// Below this ratio of new to old instances, the new ones cannot carry all
// requests.
constexpr double kMinInstanceRatio = 0.6;

// If a second has fewer requests of the old version, the old version's requests
// of that and all earlier seconds are used for the comparison.
constexpr double kMinOldRequests = 5;

// Minimum time for which all requests go to the new version before it is judged
// good, and the longest wait for requests in flight at the old version.
constexpr auto kFullShareTime = 700ms;
constexpr auto kMaxWaitForOldRequests = 3s;

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
  const bool isFailureCounted = this->IsFailureCounted(aObservation);
  this->CountRequest(this->routes[kAllRoutes], aObservation, isFailureCounted);
  if (aObservation.route != kAllRoutes) {
    this->CountRequest(
      this->routes[aObservation.route], aObservation, isFailureCounted);
  }
}

void
VersionTrial::Update(const Capacity& aCapacity)
{
  if (this->verdict != Verdict::None) {
    return;
  }
  const core::TimePoint time = this->now();
  const FloatSeconds elapsed = time - this->updatedAt;
  this->updatedAt = time;
  this->likelihoodRatio = this->MaxLikelihoodRatio();
  if (this->likelihoodRatio >= kBadLikelihoodRatio) {
    this->verdict = Verdict::Bad;
    this->share = 0;
    return;
  }
  this->goodEvidence = this->GoodEvidence();
  const bool canCarryAll =
    static_cast<double>(aCapacity.newInstances) >=
    kMinInstanceRatio * static_cast<double>(aCapacity.oldInstances);
  const bool mayGrow =
    !this->IsSuspicious() && canCarryAll &&
    this->goodEvidence >= kGoodEvidenceToGrow &&
    this->newRequests >= kMinNewRequests &&
    time - this->begin >= this->duration * kRampStartFraction;
  if (mayGrow && this->share < 1) {
    // The share grows by the same factor in equal times, so that it reaches 1
    // at the end of the ramp. A share that was held grows faster, up to a
    // limit.
    const FloatSeconds timeLeft =
      this->duration * kRampEndFraction - FloatSeconds(time - this->begin);
    const FloatSeconds usualRampTime =
      FloatSeconds(this->duration) * (kRampEndFraction - kRampStartFraction);
    const FloatSeconds shortestRampTime =
      FloatSeconds(this->duration) * kMinRampFraction;
    const double usualGrowth =
      elapsed / usualRampTime * std::log(1 / this->firstShare);
    const double neededGrowth = elapsed / std::max(timeLeft, shortestRampTime) *
                                std::log(1 / this->share);
    this->share = std::min(
      1.0, this->share * std::exp(std::max(usualGrowth, neededGrowth)));
  }
  if (this->share < 1) {
    return;
  }
  if (!this->fullShareSince) {
    this->fullShareSince = time;
  }
  const auto fullShareTime = time - *this->fullShareSince;
  const bool isOldVersionIdle =
    aCapacity.oldRequests == 0 || fullShareTime >= kMaxWaitForOldRequests;
  if (fullShareTime >= kFullShareTime && isOldVersionIdle && mayGrow) {
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
  return fmt::format("share {:.3g}, test {:.3g}, good {:.3g}; "
                     "new: {} requests, {} failed, {} slow; old: {}, {}, {}",
                     this->share,
                     this->likelihoodRatio,
                     this->goodEvidence,
                     failures.newCalls,
                     failures.newEvents,
                     slow.newEvents,
                     failures.oldCalls,
                     failures.oldEvents,
                     slow.oldEvents);
}

VersionTrial::Window&
VersionTrial::CurrentWindow(Route& aRoute) const
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
  return ++this->newFailuresByInstance[aObservation.instance] <=
         kMaxCountedFailuresPerInstance;
}

void
VersionTrial::CountRequest(Route& aRoute,
                           const Observation& aObservation,
                           bool aIsFailureCounted)
{
  Window& window = this->CurrentWindow(aRoute);
  const auto count = [&](RateComparison::Stratum& aStratum, bool aIsEvent) {
    (aObservation.isNew ? aStratum.newCalls : aStratum.oldCalls) += 1;
    (aObservation.isNew ? aStratum.newEvents : aStratum.oldEvents) +=
      aIsEvent ? 1 : 0;
  };
  // A failure beyond the limit for its instance is not counted as a request
  // either.
  if (!aObservation.isFailure || aIsFailureCounted) {
    count(window.failures, aIsFailureCounted);
  }
  if (aObservation.isSlow) {
    count(window.slow, *aObservation.isSlow);
  }
}

double
VersionTrial::LikelihoodRatioOf(const Route& aRoute,
                                RateComparison::Stratum Window::*aKind)
{
  RateComparison comparison(kToleratedRatio,
                            aKind == &Window::slow ? kSlowDispersion
                                                   : kFailureDispersion);
  RateComparison::Stratum earlier;
  for (const Window& window : aRoute.windows) {
    RateComparison::Stratum stratum = window.*aKind;
    earlier.oldCalls += stratum.oldCalls;
    earlier.oldEvents += stratum.oldEvents;
    if (stratum.oldCalls < kMinOldRequests) {
      stratum.oldCalls = earlier.oldCalls;
      stratum.oldEvents = earlier.oldEvents;
    }
    comparison.AddWindow({ &stratum, 1 });
  }
  return comparison.LikelihoodRatio(aRoute.windows.size());
}

double
VersionTrial::GoodEvidence(RateComparison::Stratum Window::*aKind,
                           double aMinBadRate) const
{
  const auto all = this->routes.find(kAllRoutes);
  if (all == this->routes.end()) {
    return 0;
  }
  double evidence = 0;
  double oldCalls = 0;
  double oldEvents = 0;
  for (const Window& window : all->second.windows) {
    const RateComparison::Stratum& stratum = window.*aKind;
    // A single second has too few requests of the old version for its rate, and
    // there are none once the new version gets all.
    if (oldCalls > kMinOldRequestsForRate) {
      oldCalls *= kOldRateMemory;
      oldEvents *= kOldRateMemory;
    }
    oldCalls += stratum.oldCalls;
    oldEvents += stratum.oldEvents;
    const double oldRate =
      std::clamp(oldEvents / std::max(oldCalls, 1.0), kMinOldRate, kMaxBadRate);
    const double badRate =
      std::clamp(kBadRateRatio * oldRate, aMinBadRate, kMaxBadRate);
    if (oldRate >= badRate) {
      continue;
    }
    const double change = stratum.newEvents * std::log(oldRate / badRate) +
                          (stratum.newCalls - stratum.newEvents) *
                            std::log((1 - oldRate) / (1 - badRate));
    evidence =
      std::clamp(evidence + change, -kMaxGoodEvidence, kMaxGoodEvidence);
  }
  return evidence;
}

double
VersionTrial::GoodEvidence() const
{
  return std::min(this->GoodEvidence(&Window::failures, kMinBadFailureRate),
                  this->GoodEvidence(&Window::slow, kMinBadSlowRate));
}

bool
VersionTrial::IsSuspicious() const
{
  return this->likelihoodRatio >= (this->goodEvidence >= kMaxGoodEvidence
                                     ? kSuspiciousLikelihoodRatioIfGood
                                     : kSuspiciousLikelihoodRatio);
}

double
VersionTrial::MaxLikelihoodRatio() const
{
  double worst = 0;
  for (const auto& [route, evidence] : this->routes) {
    worst = std::max({ worst,
                       LikelihoodRatioOf(evidence, &Window::failures),
                       LikelihoodRatioOf(evidence, &Window::slow) });
  }
  return worst;
}

} // namespace fireflytrail::moves
