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

/** Value from which a route counts as suspicious: a good version's test ever
 * reaches it with probability of at most 1/20. */
constexpr double kSuspiciousValue = 20;

/** Above this share of calls on the new version the old version's calls of the
 * same window are too few to compare with, and the earlier windows are used. */
constexpr double kWatchShare = 0.98;

/** Part of the confidence that the watch after the move uses. */
constexpr double kWatchWeight = 0.2;

/** Between windows of different times rates change for other reasons, so the
 * watch after the move tolerates more. */
constexpr double kWatchToleratedRatio = 3;
/** At most a fourth of the old version's calls can be above its 75 % quantile,
 * so that a larger ratio could hardly be seen. */
constexpr double kWatchToleratedSlowRatio = 2;

/** A server that dies fails all its slots at once. Failures in fewer groups of
 * moments than this may be one such event, and each group counts as two. */
constexpr int kMinFailureGroups = 4;
constexpr double kFailuresPerGroup = 2;

/** Dispersion assumed before the groups tell, with the weight of one window, so
 * that the estimate does not jump while the first windows fill. */
constexpr double kAssumedDispersion = 2;
constexpr double kAssumedFreedom = RouteEvidence::kGroups - 1;
constexpr double kMinEventsForDispersion = 8;

/** One kind of event that is tested. */
struct Test
{
  std::string_view name;
  std::uint64_t CallCounters::*calls;
  std::uint64_t CallCounters::*events;
  double watchToleratedRatio;
};

constexpr std::array kTests = {
  Test{ "failed",
        &CallCounters::calls,
        &CallCounters::failures,
        kWatchToleratedRatio },
  Test{ "were above the 75 % quantile",
        &CallCounters::timed,
        &CallCounters::slow,
        kWatchToleratedSlowRatio },
  Test{ "were above the 95 % quantile",
        &CallCounters::timed,
        &CallCounters::verySlow,
        kWatchToleratedRatio },
};

using Windows = std::vector<const RouteEvidence*>;

double
ToDouble(std::uint64_t aCount)
{
  return static_cast<double>(aCount);
}

/**
 * Returns the factor by which clusters widen the variance of the old version's
 * counts: Pearson's statistic between the time groups of each window, at the
 * upper end of its uncertainty.
 */
double
DispersionOf(const Windows& aWindows, const Test& aTest)
{
  if (aTest.calls == &CallCounters::calls) {
    // Clusters of failures are bounded by EventScale instead: failures are too
    // rare to estimate their dispersion.
    return 1;
  }
  double statistic = kAssumedDispersion * kAssumedFreedom;
  double freedom = kAssumedFreedom;
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
    freedom += RouteEvidence::kGroups - 1;
  }
  return std::max(1.0, statistic / freedom * (1 + 2 * std::sqrt(2 / freedom)));
}

/** Returns the factor that bounds the weight of failures in few moments. */
double
EventScale(const RouteEvidence& aRoute, const Test& aTest)
{
  if (aTest.calls != &CallCounters::calls) {
    return 1;
  }
  double failures = 0;
  for (const auto& [name, domain] : aRoute.domains) {
    failures += ToDouble(domain.fresh.failures);
  }
  const int groups = std::popcount(aRoute.newFailureGroups);
  if (failures <= 0 || groups >= kMinFailureGroups) {
    return 1;
  }
  return std::min(1.0, groups * kFailuresPerGroup / failures);
}

bool
IsWatchWindow(const RouteEvidence& aRoute)
{
  double old = 0;
  double fresh = 0;
  for (const auto& [name, domain] : aRoute.domains) {
    old += ToDouble(domain.old.calls);
    fresh += ToDouble(domain.fresh.calls);
  }
  return fresh > 0 && fresh / (fresh + old) > kWatchShare;
}

/** Returns the test's value for one route over all windows. */
double
ValueOf(const Windows& aWindows,
        const std::vector<bool>& aWatchWindows,
        const Test& aTest,
        double aToleratedRatio)
{
  const double dispersion = DispersionOf(aWindows, aTest);
  RateComparison matched(aToleratedRatio, dispersion);
  RateComparison::Stratum baseline;
  std::vector<RateComparison::Stratum> strata;
  for (std::size_t window = 0; window < aWindows.size(); ++window) {
    const RouteEvidence* route = aWindows[window];
    const bool isWatch = aWatchWindows[window];
    strata.clear();
    const double scale = EventScale(*route, aTest);
    for (const auto& [name, domain] : route->domains) {
      if (isWatch) {
        continue;
      }
      strata.push_back({ ToDouble(domain.old.*aTest.calls),
                         ToDouble(domain.old.*aTest.events),
                         ToDouble(domain.fresh.*aTest.calls),
                         scale * ToDouble(domain.fresh.*aTest.events) });
      baseline.oldCalls += strata.back().oldCalls;
      baseline.oldEvents += strata.back().oldEvents;
    }
    matched.AddWindow(strata);
  }
  double watched = 0;
  for (std::size_t window = 0; window < aWindows.size(); ++window) {
    const RouteEvidence* route = aWindows[window];
    if (!aWatchWindows[window]) {
      continue;
    }
    RateComparison::Stratum stratum = baseline;
    const double scale = EventScale(*route, aTest);
    for (const auto& [name, domain] : route->domains) {
      stratum.newCalls += ToDouble(domain.fresh.*aTest.calls);
      stratum.newEvents += scale * ToDouble(domain.fresh.*aTest.events);
    }
    // Each window is compared on its own, so that a long good time before a
    // fault does not hide it.
    RateComparison test(aTest.watchToleratedRatio, dispersion);
    test.AddWindow({ &stratum, 1 });
    watched += test.Value(1) / static_cast<double>(Evidence::kWindows);
  }
  return (1 - kWatchWeight) * matched.Value(Evidence::kWindows) +
         kWatchWeight * watched;
}

std::string
Figures(const std::string& aRoute,
        const Windows& aWindows,
        const Test& aTest,
        double aValue)
{
  CallCounters old;
  CallCounters fresh;
  for (const RouteEvidence* route : aWindows) {
    for (const auto& [name, domain] : route->domains) {
      old += domain.old;
      fresh += domain.fresh;
    }
  }
  return fmt::format("call {}: {} of {} calls of the new version {}, {} of {} "
                     "of the old version (odds {:.3g} to 1)",
                     aRoute,
                     fresh.*aTest.events,
                     fresh.*aTest.calls,
                     aTest.name,
                     old.*aTest.events,
                     old.*aTest.calls,
                     aValue);
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
  static const RouteEvidence kNothing;
  for (std::size_t window = 0; window < sums.size(); ++window) {
    for (const auto& [name, route] : sums[window].routes) {
      Windows& windows = routes[name];
      windows.resize(window, &kNothing);
      windows.push_back(&route);
    }
  }
  Judgement judgement;
  double worst = 0;
  std::uint64_t allCalls = 0;
  for (const auto& [name, windows] : routes) {
    std::vector<bool> watchWindows;
    watchWindows.reserve(windows.size());
    for (const RouteEvidence* route : windows) {
      watchWindows.push_back(IsWatchWindow(*route));
    }
    for (const Test& test : kTests) {
      const double value =
        ValueOf(windows, watchWindows, test, this->policy.toleratedRatio);
      if (value > worst) {
        worst = value;
        judgement.reason = Figures(name, windows, test, value);
      }
    }
    const auto found = aEvidence.NewCalls().find(name);
    const std::uint64_t newCalls =
      found == aEvidence.NewCalls().end() ? 0 : found->second;
    allCalls += newCalls;
    if (newCalls < EnoughCalls()) {
      judgement.thinRoutes.push_back(fmt::format(
        "call {}: {} of {} calls needed", name, newCalls, EnoughCalls()));
    }
  }
  judgement.isBad = worst >= this->threshold;
  judgement.isSuspicious = worst >= kSuspiciousValue;
  judgement.isEvidenceSufficient = allCalls > 0 && judgement.thinRoutes.empty();
  return judgement;
}

std::size_t
VersionJudge::EnoughCalls() const
{
  return static_cast<std::size_t>(
    std::ceil(std::log(1 - this->confidence) /
              std::log(1 - this->policy.excludedFailureShare)));
}

} // namespace fireflytrail::moves
