#include "moves/VersionJudge.h"

#include "moves/RateComparison.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cassert>
#include <cmath>
#include <map>
#include <string_view>

namespace fireflytrail::moves {

namespace {

constexpr double kTestsPerRoute = 3;

/**
 * Likelihood ratio from which a route counts as suspicious. The probability
 * that a single test of a good version reaches it at any time is at most 1/20.
 */
constexpr double kSuspiciousLikelihoodRatio = 20;

/**
 * Windows in which the new version's share of the calls is higher count as
 * monitoring windows: they have too few calls of the old version to compare
 * with, so that the old version's calls of the earlier windows are used.
 */
constexpr double kMaxComparableShare = 0.98;

/**
 * Fraction of the permitted error probability that the monitoring period after
 * the move uses.
 */
constexpr double kMonitoringWeight = 0.2;

/**
 * Rates also differ between times for reasons other than the version, so that
 * more is tolerated in the monitoring period, which is compared with earlier
 * windows.
 */
constexpr double kMonitoringToleratedRatio = 3;
/**
 * Lower for slow calls: at most a fourth of the old version's calls can be
 * above its 75 % quantile, so that a larger ratio could hardly be detected.
 */
constexpr double kMonitoringToleratedSlowRatio = 2;

/**
 * A server that dies fails the calls in all its slots at once. Failures in
 * fewer time groups than this may be one such event, so that each group then
 * counts as at most two failures.
 */
constexpr int kMinFailureGroups = 4;
constexpr double kMaxFailuresPerGroup = 2;

/**
 * Prior of the dispersion estimate, with the weight of one window, so that the
 * estimate does not jump while the first windows fill.
 */
constexpr double kPriorDispersion = 2;
constexpr double kPriorDegreesOfFreedom = RouteEvidence::kGroups - 1;
constexpr double kMinEventsForDispersion = 8;

/** One kind of event that is tested. */
struct Test
{
  std::string_view name;
  std::uint64_t CallCounters::*calls;
  std::uint64_t CallCounters::*events;
  double monitoringToleratedRatio;
};

constexpr std::array kTests = {
  Test{ "failed",
        &CallCounters::calls,
        &CallCounters::failures,
        kMonitoringToleratedRatio },
  Test{ "were above the 75 % quantile",
        &CallCounters::timed,
        &CallCounters::slow,
        kMonitoringToleratedSlowRatio },
  Test{ "were above the 95 % quantile",
        &CallCounters::timed,
        &CallCounters::verySlow,
        kMonitoringToleratedRatio },
};

using Windows = std::vector<const RouteEvidence*>;

double
ToDouble(std::uint64_t aCount)
{
  return static_cast<double>(aCount);
}

/**
 * Returns the factor by which clusters of events increase the variance of the
 * old version's counts. The estimate is Pearson's chi-squared statistic between
 * the time groups of each window, at the upper end of its uncertainty.
 */
double
DispersionOf(const Windows& aWindows, const Test& aTest)
{
  if (aTest.calls == &CallCounters::calls) {
    // Failures are too rare to estimate their dispersion; EventWeight limits
    // the effect of their clusters instead.
    return 1;
  }
  double statistic = kPriorDispersion * kPriorDegreesOfFreedom;
  double degreesOfFreedom = kPriorDegreesOfFreedom;
  for (const RouteEvidence* route : aWindows) {
    double calls = 0;
    double events = 0;
    for (const CallCounters& group : route->oldGroups) {
      calls += ToDouble(group.*aTest.calls);
      events += ToDouble(group.*aTest.events);
    }
    if (events < kMinEventsForDispersion || events >= calls) {
      continue;
    }
    const double share = events / calls;
    for (const CallCounters& group : route->oldGroups) {
      const double expected = ToDouble(group.*aTest.calls) * share;
      const double difference = ToDouble(group.*aTest.events) - expected;
      statistic +=
        expected > 0 ? difference * difference / (expected * (1 - share)) : 0;
    }
    degreesOfFreedom += RouteEvidence::kGroups - 1;
  }
  return std::max(1.0,
                  statistic / degreesOfFreedom *
                    (1 + 2 * std::sqrt(2 / degreesOfFreedom)));
}

/**
 * Returns the weight of each event, which is below 1 for failures that fall
 * into few time groups.
 */
double
EventWeight(const RouteEvidence& aRoute, const Test& aTest)
{
  if (aTest.calls != &CallCounters::calls) {
    return 1;
  }
  double failures = 0;
  for (const auto& [name, domain] : aRoute.domains) {
    failures += ToDouble(domain.newVersion.failures);
  }
  const int groups = std::popcount(aRoute.newFailureGroups);
  if (failures <= 0 || groups >= kMinFailureGroups) {
    return 1;
  }
  return std::min(1.0, groups * kMaxFailuresPerGroup / failures);
}

bool
IsMonitoringWindow(const RouteEvidence& aRoute)
{
  double oldVersion = 0;
  double newVersion = 0;
  for (const auto& [name, domain] : aRoute.domains) {
    oldVersion += ToDouble(domain.oldVersion.calls);
    newVersion += ToDouble(domain.newVersion.calls);
  }
  return newVersion > 0 &&
         newVersion / (newVersion + oldVersion) > kMaxComparableShare;
}

/** Returns the likelihood ratio of a test for one route over all windows. */
double
LikelihoodRatioOf(const Windows& aWindows,
                  const std::vector<bool>& aMonitoringWindows,
                  const Test& aTest,
                  double aToleratedRatio)
{
  const double dispersion = DispersionOf(aWindows, aTest);
  RateComparison concurrentTest(aToleratedRatio, dispersion);
  RateComparison::Stratum baseline;
  std::vector<RateComparison::Stratum> strata;
  for (std::size_t window = 0; window < aWindows.size(); ++window) {
    const RouteEvidence* route = aWindows[window];
    const bool isMonitoringWindow = aMonitoringWindows[window];
    strata.clear();
    const double eventWeight = EventWeight(*route, aTest);
    for (const auto& [name, domain] : route->domains) {
      if (isMonitoringWindow) {
        continue;
      }
      strata.push_back(
        { ToDouble(domain.oldVersion.*aTest.calls),
          ToDouble(domain.oldVersion.*aTest.events),
          ToDouble(domain.newVersion.*aTest.calls),
          eventWeight * ToDouble(domain.newVersion.*aTest.events) });
      baseline.oldCalls += strata.back().oldCalls;
      baseline.oldEvents += strata.back().oldEvents;
    }
    concurrentTest.AddWindow(strata);
  }
  double monitoringRatio = 0;
  for (std::size_t window = 0; window < aWindows.size(); ++window) {
    const RouteEvidence* route = aWindows[window];
    if (!aMonitoringWindows[window]) {
      continue;
    }
    RateComparison::Stratum stratum = baseline;
    const double eventWeight = EventWeight(*route, aTest);
    for (const auto& [name, domain] : route->domains) {
      stratum.newCalls += ToDouble(domain.newVersion.*aTest.calls);
      stratum.newEvents +=
        eventWeight * ToDouble(domain.newVersion.*aTest.events);
    }
    // Each window is tested separately, so that a long period without faults
    // does not hide a later fault.
    RateComparison test(aTest.monitoringToleratedRatio, dispersion);
    test.AddWindow({ &stratum, 1 });
    monitoringRatio +=
      test.LikelihoodRatio(1) / static_cast<double>(Evidence::kWindows);
  }
  return (1 - kMonitoringWeight) *
           concurrentTest.LikelihoodRatio(Evidence::kWindows) +
         kMonitoringWeight * monitoringRatio;
}

std::string
FormatReason(const std::string& aRoute,
             const Windows& aWindows,
             const Test& aTest,
             double aLikelihoodRatio)
{
  CallCounters oldVersion;
  CallCounters newVersion;
  for (const RouteEvidence* route : aWindows) {
    for (const auto& [name, domain] : route->domains) {
      oldVersion += domain.oldVersion;
      newVersion += domain.newVersion;
    }
  }
  return fmt::format("call {}: {} of {} calls of the new version {}, {} of {} "
                     "of the old version (odds {:.3g} to 1)",
                     aRoute,
                     newVersion.*aTest.events,
                     newVersion.*aTest.calls,
                     aTest.name,
                     oldVersion.*aTest.events,
                     oldVersion.*aTest.calls,
                     aLikelihoodRatio);
}

} // namespace

VersionJudge::VersionJudge(const configuration::MovesSettings& aSettings,
                           MovePolicy aPolicy,
                           std::size_t aRouteCount)
  : policy(aPolicy)
  , confidence(aSettings.confidence)
  , threshold(kTestsPerRoute * static_cast<double>(aRouteCount) /
              (1 - aSettings.confidence))
{
  assert(aRouteCount > 0);
  assert(aSettings.confidence > 0 && aSettings.confidence < 1);
}

VersionJudge::Judgement
VersionJudge::Judge(const Evidence& aEvidence) const
{
  const Evidence::Totals& sums = aEvidence.Sums();
  std::map<std::string, Windows> routes;
  static const RouteEvidence kNoEvidence;
  for (std::size_t window = 0; window < sums.size(); ++window) {
    for (const auto& [name, route] : sums[window].routes) {
      Windows& windows = routes[name];
      windows.resize(window, &kNoEvidence);
      windows.push_back(&route);
    }
  }
  Judgement judgement;
  double worst = 0;
  std::uint64_t allCalls = 0;
  for (const auto& [name, windows] : routes) {
    std::vector<bool> monitoringWindows;
    monitoringWindows.reserve(windows.size());
    for (const RouteEvidence* route : windows) {
      monitoringWindows.push_back(IsMonitoringWindow(*route));
    }
    for (const Test& test : kTests) {
      const double likelihoodRatio = LikelihoodRatioOf(
        windows, monitoringWindows, test, this->policy.toleratedRatio);
      if (likelihoodRatio > worst) {
        worst = likelihoodRatio;
        judgement.reason = FormatReason(name, windows, test, likelihoodRatio);
      }
    }
    const auto found = aEvidence.NewCalls().find(name);
    const std::uint64_t newCalls =
      found == aEvidence.NewCalls().end() ? 0 : found->second;
    allCalls += newCalls;
    if (newCalls < RequiredCalls()) {
      judgement.routesLackingEvidence.push_back(fmt::format(
        "call {}: {} of {} calls needed", name, newCalls, RequiredCalls()));
    }
  }
  judgement.isBad = worst >= this->threshold;
  judgement.isSuspicious = worst >= kSuspiciousLikelihoodRatio;
  judgement.isEvidenceSufficient =
    allCalls > 0 && judgement.routesLackingEvidence.empty();
  return judgement;
}

std::size_t
VersionJudge::RequiredCalls() const
{
  return static_cast<std::size_t>(
    std::ceil(std::log(1 - this->confidence) /
              std::log(1 - this->policy.excludedFailureShare)));
}

} // namespace fireflytrail::moves
