/**
 * Simulates at-most-once calls under random fault schedules. Fails if a call
 * ran twice or was answered "not run" although it ran. Also prints the share of
 * the first sends that completed while the store was down.
 */

#include "core/ErrorTable.h"
#include "scenario/Scenario.h"

#include <boost/json/array.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <set>
#include <string>

DEFINE_uint64(runs, 100, "number of random fault schedules");
DEFINE_uint64(seed, 1, "seed of the first schedule; each adds one");

namespace {

using namespace fireflytrail;
namespace json = boost::json;

constexpr double kOutageBeginMs = 2000;
constexpr double kOutageEndMs = 5000;
constexpr unsigned kFaultsPerSchedule = 14;

/** Sums over all runs. */
struct Totals
{
  std::uint64_t calls = 0;
  std::uint64_t repliesSeen = 0;
  std::uint64_t notRunAnswers = 0;
  std::uint64_t doubleRuns = 0;
  std::uint64_t falseNotRun = 0;
  std::uint64_t firstSendsInOutage = 0;
  std::uint64_t completedFirstSendsInOutage = 0;
};

json::object
RandomFault(scenario::Random& aRandom, unsigned aDaemons, unsigned aServers)
{
  const auto daemon = [&] {
    return json::array{ fmt::format("entry-{}", aRandom.Below(aDaemons)) };
  };
  const std::string server =
    fmt::format("till-sales/{}", aRandom.Below(aServers));
  json::object fault;
  fault["at_ms"] = aRandom.Below(8000);
  switch (aRandom.Below(12)) {
    case 0:
      fault["do"] = "daemon_dies";
      fault["daemons"] = daemon();
      fault["restart_ms"] = aRandom.Below(1500);
      break;
    case 1:
    case 2:
      fault["do"] = "daemon_pauses";
      fault["daemons"] = daemon();
      fault["for_ms"] = aRandom.Below(2500);
      break;
    case 3:
      fault["do"] = "server_dies";
      fault["server"] = server;
      break;
    case 4:
      fault["do"] = "slow";
      fault["server"] = server;
      fault["factor"] = 1 + aRandom.Below(80);
      break;
    case 5:
      fault["do"] = "drain";
      fault["server"] = server;
      fault["ends"] = aRandom.Below(2) == 0;
      break;
    case 6:
      fault["do"] = "fail_fast";
      fault["server"] = server;
      fault["mode"] = aRandom.Below(2) == 0 ? "reset" : "refuse";
      break;
    case 7:
      fault["do"] = "connections";
      fault["cut_share"] = aRandom.UniformUnit() * 0.5;
      break;
    case 8:
      fault["do"] = "network";
      fault["client_jitter_ms"] = aRandom.Below(400);
      fault["peer_jitter_ms"] = aRandom.Below(300);
      break;
    case 9:
      fault["do"] = "cut";
      fault["between"] = daemon();
      break;
    case 10:
      fault["do"] = "cut";
      fault["healed"] = true;
      break;
    default:
      fault["do"] = "drop_calls";
      fault["daemons"] = daemon();
      break;
  }
  return fault;
}

json::object
RandomScript(std::uint64_t aSeed, bool aHasStoreOutage)
{
  scenario::Random random(aSeed * 2 + 1);
  const auto daemons = static_cast<unsigned>(2 + random.Below(5));
  const auto servers = static_cast<unsigned>(2 + random.Below(5));

  json::array steps{
    { { "at_ms", kOutageBeginMs },
      { "do", "store" },
      { "state", aHasStoreOutage ? "down" : "up" } },
    { { "at_ms", kOutageEndMs }, { "do", "store" }, { "state", "up" } },
  };
  for (unsigned index = 0; index < kFaultsPerSchedule; ++index) {
    steps.push_back(RandomFault(random, daemons, servers));
  }
  const json::object service{ { "servers", servers }, { "service_us", 5000 } };
  const json::object call{ { "service", "till-sales" },
                           { "at_most_once", true },
                           { "deadline_ms", 100 + random.Below(600) } };
  const json::object load{ { "call", "sell" },
                           { "per_second", 60 },
                           { "to_ms", 8000 },
                           { "resends", 6 },
                           { "impatience_ms", random.Below(60) },
                           { "patience_ms", 40 + random.Below(900) } };
  return {
    { "name", "random" },
    { "duration_ms", 45'000 },
    { "topology",
      { { "domains", json::array{ "a", "b", "c" } },
        { "daemons", daemons },
        { "ticket_lifetime_ms", 1000 + random.Below(60'000) },
        { "answer_bytes", 500 + random.Below(100'000) },
        { "services", { { "till-sales", service } } } } },
    { "calls", { { "sell", call } } },
    { "load", json::array{ load } },
    { "steps", steps },
  };
}

void
AddToTotals(const scenario::World& aWorld, Totals& aTotals)
{
  const auto figure = [&](const char* aName) {
    const json::object none;
    scenario::Fields fields(none, aName);
    return static_cast<std::uint64_t>(
      scenario::ExpectationEvaluators().at(aName)(aWorld, fields));
  };
  aTotals.doubleRuns += figure("double_runs");
  aTotals.falseNotRun += figure("false_not_run");
  for (const auto& [call, count] : aWorld.record.startedCalls) {
    aTotals.calls += count;
  }
  aTotals.repliesSeen += aWorld.record.replies.size();
  for (const auto& reply : aWorld.record.replies) {
    const auto outcome = core::ErrorTable::RowOf(reply.reply.kind).outcome;
    const bool isComplete =
      !reply.reply.isLost && outcome == core::CallOutcome::Complete;
    aTotals.notRunAnswers +=
      !reply.reply.isLost && outcome == core::CallOutcome::NotRun ? 1 : 0;
    if (!reply.isFirstSend) {
      continue;
    }
    const double sentMs = static_cast<double>(reply.sentAt.count()) / 1000;
    const bool isInOutage = sentMs >= kOutageBeginMs && sentMs < kOutageEndMs;

    aTotals.firstSendsInOutage += isInOutage ? 1 : 0;
    aTotals.completedFirstSendsInOutage += isInOutage && isComplete ? 1 : 0;
  }
}

double
Percent(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0
           ? 0.0
           : 100.0 * static_cast<double>(aPart) / static_cast<double>(aWhole);
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("[--runs N] [--seed S]: random fault schedules "
                          "against calls marked at most once");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  Totals totals;
  Totals withoutOutage;

  for (std::uint64_t run = 0; run < FLAGS_runs; ++run) {
    const std::uint64_t seed = FLAGS_seed + run;
    const std::uint64_t violationsBefore =
      totals.doubleRuns + totals.falseNotRun;
    AddToTotals(*scenario::SimulateScript(RandomScript(seed, true), seed),
                totals);
    // The same schedule without the store outage, for comparison.
    AddToTotals(*scenario::SimulateScript(RandomScript(seed, false), seed),
                withoutOutage);
    if (totals.doubleRuns + totals.falseNotRun != violationsBefore) {
      fmt::print("violation; reproduce with --runs 1 --seed {}\n", seed);
    }
  }
  fmt::print(
    "runs {}\ncalls {}\nanswers and losses seen by callers {}\n"
    "\"not run\" answers {}\ndouble runs {}\nfalse \"not run\" {}\n"
    "first sends completed during the store outage {} of {} "
    "({:.2f} %)\n"
    "the same without the outage {} of {} ({:.2f} %)\n",
    FLAGS_runs,
    totals.calls,
    totals.repliesSeen,
    totals.notRunAnswers,
    totals.doubleRuns,
    totals.falseNotRun,
    totals.completedFirstSendsInOutage,
    totals.firstSendsInOutage,
    Percent(totals.completedFirstSendsInOutage, totals.firstSendsInOutage),
    withoutOutage.completedFirstSendsInOutage,
    withoutOutage.firstSendsInOutage,
    Percent(withoutOutage.completedFirstSendsInOutage,
            withoutOutage.firstSendsInOutage));
  return totals.doubleRuns + totals.falseNotRun == 0 ? 0 : 1;
}
