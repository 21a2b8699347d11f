#include "moves/VersionJudge.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::moves;
using fireflytrail::configuration::MovesSettings;
using fireflytrail::configuration::PrimaryCriterion;

namespace {

VersionJudge
JudgeFor(PrimaryCriterion aWeight = PrimaryCriterion::Latency)
{
  return { MovesSettings{}, MovePolicy::For(aWeight), 2 };
}

/** Judges the counters as if they came from one daemon. */
VersionJudge::Judgement
Judge(Evidence::Totals aTotals)
{
  Evidence evidence;
  std::map<std::string, std::uint64_t> newCalls;
  for (std::size_t window = 0; window < aTotals.size(); ++window) {
    EvidenceWindow& snapshot = aTotals[window];
    for (auto& [name, route] : snapshot.routes) {
      for (const auto& [domainName, domain] : route.domains) {
        newCalls[name] += domain.newVersion.calls;
      }
      route.newCallsSoFar = newCalls[name];
    }
    snapshot.sequence = 1;
    snapshot.window = window;
    evidence.Merge({ "entry-1", 1 }, snapshot);
  }
  return JudgeFor().Judge(evidence);
}

/** Sets one window of a route; the old version has 19 times as many calls. */
void
SetRoute(Evidence::Totals& aSums,
         std::size_t aWindow,
         const std::string& aCall,
         std::uint64_t aNewCalls,
         std::uint64_t aNewFailures,
         std::uint64_t aOldFailures = 0)
{
  RouteEvidence& route = aSums[aWindow].routes[aCall];
  route.domains["a"].oldVersion = { 19 * aNewCalls, aOldFailures, 0, 0, 0 };
  route.domains["a"].newVersion = { aNewCalls, aNewFailures, 0, 0, 0 };
  route.newFailureGroups = aNewFailures > 0 ? 0xff : 0;
}

} // namespace

// Guards against a fault on a rare route that is hidden by the other routes'
// good calls.
BOOST_AUTO_TEST_CASE(JudgesEachRouteOnItsOwn)
{
  Evidence::Totals sums;
  SetRoute(sums, 0, "sell", 5000, 5, 95);
  SetRoute(sums, 0, "list", 100, 0);
  BOOST_TEST(!Judge(sums).isBad);
  SetRoute(sums, 0, "list", 100, 10);
  const auto judgement = Judge(sums);
  BOOST_TEST(judgement.isBad);
  BOOST_TEST(judgement.reason.find("call list: 10 of 100 calls") !=
             std::string::npos);
}

// Guards against a good version that is taken back because one of its servers
// died with all slots in use.
BOOST_AUTO_TEST_CASE(FailuresInOneIntervalAreNotEnough)
{
  Evidence::Totals sums;
  SetRoute(sums, 0, "sell", 200, 5);
  sums[0].routes["sell"].newFailureGroups = 1;
  BOOST_TEST(!Judge(sums).isBad);
  // The same number of failures in four separate time groups is enough.
  sums[0].routes["sell"].newFailureGroups = 0xf;
  BOOST_TEST(Judge(sums).isBad);
}

// Guards against comparing the versions across failure domains: a good version
// that has most of its calls in a faulty domain would look bad.
BOOST_AUTO_TEST_CASE(ComparesWithinFailureDomains)
{
  Evidence::Totals sums;
  // In domain b, 10 % of all calls fail, and the new version has most of its
  // calls there.
  RouteEvidence& route = sums[0].routes["sell"];
  route.domains["a"].oldVersion = { 10'000, 10, 0, 0, 0 };
  route.domains["a"].newVersion = { 100, 0, 0, 0, 0 };
  route.domains["b"].oldVersion = { 1000, 100, 0, 0, 0 };
  route.domains["b"].newVersion = { 500, 50, 0, 0, 0 };
  route.newFailureGroups = 0xff;
  BOOST_TEST(!Judge(sums).isBad);
}

// Guards against noisy servers that make a good version look slow: the same
// counts are no evidence when the old version's time groups differ as much.
BOOST_AUTO_TEST_CASE(ClustersOfSlowCallsWeighLess)
{
  const auto sumsWith = [](std::uint64_t aSpread) {
    Evidence::Totals sums;
    RouteEvidence& route = sums[0].routes["sell"];
    route.domains["a"].oldVersion = { 24'000, 0, 24'000, 6000, 1200 };
    route.domains["a"].newVersion = { 1200, 0, 1200, 660, 90 };
    for (std::size_t group = 0; group < RouteEvidence::kGroups; ++group) {
      const std::uint64_t slow = group % 2 == 0 ? 250 + aSpread : 250 - aSpread;
      route.oldGroups[group] = { 6000, 0, 6000, 6 * slow, 300 };
    }
    return sums;
  };
  BOOST_TEST(Judge(sumsWith(10)).isBad);
  BOOST_TEST(!Judge(sumsWith(100)).isBad);
}

// Guards against missing a version that turns bad after all calls go to it,
// when there are no calls of the old version at the same time.
BOOST_AUTO_TEST_CASE(KeepsJudgingAfterTheMove)
{
  Evidence::Totals sums;
  for (std::size_t window = 0; window < 36; ++window) {
    SetRoute(sums, window, "sell", 100, 0, 2);
  }
  RouteEvidence& after = sums[40].routes["sell"];
  after.domains["a"].newVersion = { 3000, 4, 0, 0, 0 };
  after.newFailureGroups = 0xff;
  BOOST_TEST(!Judge(sums).isBad);
  after.domains["a"].newVersion = { 3000, 60, 0, 0, 0 };
  BOOST_TEST(Judge(sums).isBad);
}

// Guards against a share that grows without evidence on every route, and
// against `bad_versions` requiring fewer calls than `latency`.
BOOST_AUTO_TEST_CASE(RequiresEnoughCallsOnEveryRoute)
{
  const std::size_t enough = JudgeFor().RequiredCalls();
  BOOST_TEST(enough == 44U);
  BOOST_TEST(JudgeFor(PrimaryCriterion::BadVersions).RequiredCalls() == 90U);
  Evidence::Totals sums;
  BOOST_TEST(!Judge(sums).isEvidenceSufficient);
  SetRoute(sums, 0, "sell", 1000, 0);
  SetRoute(sums, 0, "list", enough - 1, 0);
  const auto thin = Judge(sums);
  BOOST_TEST(!thin.isEvidenceSufficient);
  BOOST_REQUIRE_EQUAL(thin.routesLackingEvidence.size(), 1U);
  BOOST_TEST(thin.routesLackingEvidence[0] ==
             "call list: 43 of 44 calls needed");
  SetRoute(sums, 0, "list", enough, 0);
  BOOST_TEST(Judge(sums).isEvidenceSufficient);
}
