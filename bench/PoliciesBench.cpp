/**
 * Compares the selection policies and checks the targets for server selection
 * in a discrete event simulation that drives the real routing code: 19 daemons,
 * 20 servers with 4 slots each, Poisson arrivals, noisy neighbours and load
 * reports that are 50 to 500 ms old.
 */

#include "bench/SimulatedFleet.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_uint32(backlog, 4, "calls that a server queues for a slot");
DEFINE_double(seconds, 20, "virtual seconds measured for each load");
DEFINE_string(policy, "", "runs only this policy");
DEFINE_double(load, 0, "runs only this load, as a share of the slots");
DEFINE_bool(health, true, "use server health");
DEFINE_bool(admission, true, "use admission control");
DEFINE_bool(table, true, "print the comparison of the policies");
DEFINE_bool(faults, true, "check the targets in the fault scenarios");

namespace {

using namespace fireflytrail;
using namespace fireflytrail::bench;
using namespace std::chrono_literals;
using routing::Priority;
using routing::ServerSelector;
using routing::ServerState;

unsigned missedTargets = 0;

/** Returns the value below which the share `aQuantile` of the values lies. */
double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto position = std::min(
    aValues.size() - 1,
    static_cast<std::size_t>(aQuantile * static_cast<double>(aValues.size())));
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(position),
                   aValues.end());
  return aValues[position];
}

double
Milliseconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

SimulatedFleet::Settings
SettingsFor(std::string_view aPolicy, double aLoad)
{
  SimulatedFleet::Settings settings;
  settings.policy = std::string(aPolicy);
  settings.load = aLoad;
  settings.seed = FLAGS_seed;
  settings.server.backlog = FLAGS_backlog;
  settings.health = FLAGS_health;
  settings.admission = FLAGS_admission;
  return settings;
}

void
Check(std::string_view aTarget, bool aMet, const std::string& aFigure)
{
  fmt::print("  {:<6} {:<62} {}\n", aMet ? "met" : "MISSED", aTarget, aFigure);
  missedTargets += aMet ? 0 : 1;
}

void
PrintPolicyTable()
{
  fmt::print("{:<16} {:>5} {:>7} {:>7} {:>8} {:>9} {:>8} {:>8} {:>9} {:>8}\n",
             "policy",
             "load",
             "p50 ms",
             "p99 ms",
             "p99.9 ms",
             "refused %",
             "retry %",
             "goodput",
             "imbal. ms",
             "msgs/s");
  for (const double load : { 0.5, 0.7, 0.85, 1.5 }) {
    if (FLAGS_load > 0 && FLAGS_load != load) {
      continue;
    }
    for (const std::string_view policy : ServerSelector::PolicyNames()) {
      if (!FLAGS_policy.empty() && policy != FLAGS_policy) {
        continue;
      }
      SimulatedFleet fleet(SettingsFor(policy, load));
      fleet.Run(5s);
      fleet.StartMeasurement();
      fleet.Run(std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(FLAGS_seconds)));
      const auto& figures = fleet.MeasuredFigures();
      std::vector<double> times;
      double offered = 0;
      double refused = 0;
      for (std::size_t priority = 0; priority < 3; ++priority) {
        times.insert(times.end(),
                     figures.times[priority].begin(),
                     figures.times[priority].end());
        offered += static_cast<double>(figures.offered[priority]);
        refused += static_cast<double>(figures.refused[priority]);
      }
      const double seconds = fleet.MeasuredTime().count();
      fmt::print(
        "{:<16} {:>4.0f}% {:>7.1f} {:>7.1f} {:>8.1f} {:>9.2f} {:>8.2f} "
        "{:>7.1f}% {:>9.0f} {:>8.0f}\n",
        policy,
        load * 100,
        Quantile(times, 0.5),
        Quantile(times, 0.99),
        Quantile(times, 0.999),
        100 * refused / offered,
        100 * static_cast<double>(figures.retries) / offered,
        100 * static_cast<double>(times.size()) / seconds /
          fleet.CapacityPerSecond(),
        Milliseconds(figures.longestImbalance),
        static_cast<double>(figures.messages) / seconds);
    }
  }
}

std::string_view
DefaultPolicy()
{
  return FLAGS_policy.empty() ? ServerSelector::kDefaultPolicy
                              : std::string_view(FLAGS_policy);
}

/** Runs for `aTime` and returns the calls that a server received, in percent of
 * an equal share of all calls. */
double
SharePercent(SimulatedFleet& aFleet,
             unsigned aServer,
             std::chrono::nanoseconds aTime)
{
  std::uint64_t before = aFleet.Server(aServer).Arrived();
  std::uint64_t sum = 0;
  std::vector<std::uint64_t> arrivedBefore;
  for (unsigned server = 0; server < 20; ++server) {
    arrivedBefore.push_back(aFleet.Server(server).Arrived());
  }
  aFleet.Run(aTime);
  for (unsigned server = 0; server < 20; ++server) {
    sum += aFleet.Server(server).Arrived() - arrivedBefore[server];
  }
  return 100.0 * 20 *
         static_cast<double>(aFleet.Server(aServer).Arrived() - before) /
         static_cast<double>(sum);
}

void
RunSlowServer()
{
  fmt::print("server slowed tenfold for 5 s, 70 % load\n");
  SimulatedFleet fleet(SettingsFor(DefaultPolicy(), 0.7));
  fleet.Run(5s);
  fleet.Server(3).SetSlow(10);
  fleet.Run(250ms);
  const double slowShare = SharePercent(fleet, 3, 4750ms);
  Check("share after 250 ms at most 10 % of the usual one",
        slowShare <= 10,
        fmt::format("{:.1f} %", slowShare));
  fleet.Server(3).SetSlow(1);
  fleet.Run(2s);
  const double recoveredShare = SharePercent(fleet, 3, 2s);
  Check("share 2 s after recovery at least 80 % of the usual one",
        recoveredShare >= 80,
        fmt::format("{:.1f} %", recoveredShare));
}

void
RunFailingServer()
{
  fmt::print("server fails every call in 0.1 ms for 5 s, 70 % load\n");
  SimulatedFleet fleet(SettingsFor(DefaultPolicy(), 0.7));
  fleet.Run(5s);
  fleet.Server(4).SetFailsFast(true);
  const double earlyShare = SharePercent(fleet, 4, 250ms);
  Check("share in the first 250 ms at most the usual one",
        earlyShare <= 100,
        fmt::format("{:.1f} %", earlyShare));
  const double laterShare = SharePercent(fleet, 4, 4750ms);
  Check("share after 250 ms at most 10 % of the usual one",
        laterShare <= 10,
        fmt::format("{:.1f} %", laterShare));
  fleet.Server(4).SetFailsFast(false);
  fleet.Run(2s);
  const double recoveredShare = SharePercent(fleet, 4, 2s);
  Check("share 2 s after recovery at least 80 % of the usual one",
        recoveredShare >= 80,
        fmt::format("{:.1f} %", recoveredShare));
}

void
RunDrainingAndLeaving()
{
  fmt::print("servers drain or leave, 70 % load\n");
  SimulatedFleet fleet(SettingsFor(DefaultPolicy(), 0.7));
  fleet.Run(5s);
  fleet.Server(5).Drain();
  fleet.MarkLeaving(6, 1s);
  fleet.Run(2s);
  const auto checkedFrom = fleet.Now();
  fleet.Run(3s);
  Check("draining server receives no new calls after 2 s",
        fleet.Server(5).LastArrival() <= checkedFrom,
        fmt::format("last call {:.0f} ms after the start",
                    Milliseconds(fleet.Server(5).LastArrival() - checkedFrom) +
                      2000));
  Check("leaving server receives no new calls after 2 s",
        fleet.Server(6).LastArrival() <= checkedFrom,
        fmt::format("last call {:.0f} ms after the start",
                    Milliseconds(fleet.Server(6).LastArrival() - checkedFrom) +
                      2000));
}

void
RunColdServer(std::string_view aTitle,
              bool aTurnsColdSilently,
              bool aReportsCold)
{
  fmt::print("{}\n", aTitle);
  unsigned crashes = 0;
  double worstShare = 1000;
  double longestOverload = 0;
  constexpr unsigned kServers = 6;
  for (unsigned server = 0; server < kServers; ++server) {
    auto settings = SettingsFor(DefaultPolicy(), 0.7);
    settings.server.reportsCold = aReportsCold;
    settings.seed += server;
    SimulatedFleet fleet(settings);
    fleet.Run(5s);
    if (aTurnsColdSilently) {
      fleet.Server(server).TurnColdSilently();
      fleet.Run(settings.server.warmUpTime);
    } else {
      fleet.Server(server).Restart(200ms);
      fleet.Run(settings.server.warmUpTime + 200ms);
    }
    fleet.Run(2s);
    worstShare = std::min(worstShare, SharePercent(fleet, server, 2s));
    crashes += static_cast<unsigned>(fleet.Server(server).Crashes());
    longestOverload = std::max(
      longestOverload, Milliseconds(fleet.Server(server).LongestOverload()));
  }
  // KNOWN-RED.txt refers to this target by its text.
  Check("never pushed over (6 runs)",
        crashes == 0,
        fmt::format(
          "{} falls, longest excess {:.0f} ms", crashes, longestOverload));
  Check("share 2 s after it is warm at least 80 % of the usual one",
        worstShare >= 80,
        fmt::format("lowest of the runs {:.1f} %", worstShare));
}

void
RunOverload()
{
  fmt::print("150 % load\n");
  SimulatedFleet unloaded(SettingsFor(DefaultPolicy(), 0.05));
  unloaded.Run(5s);
  unloaded.StartMeasurement();
  unloaded.Run(60s);
  const auto urgent = static_cast<std::size_t>(Priority::Urgent);
  const double unloadedP99 =
    Quantile(unloaded.MeasuredFigures().times[urgent], 0.99);

  SimulatedFleet fleet(SettingsFor(DefaultPolicy(), 1.5));
  fleet.Run(5s);
  fleet.StartMeasurement();
  fleet.Run(20s);
  const auto& figures = fleet.MeasuredFigures();
  double completed = 0;
  std::array<double, 3> refused{};
  for (std::size_t priority = 0; priority < 3; ++priority) {
    completed += static_cast<double>(figures.times[priority].size());
    refused[priority] = 100 * static_cast<double>(figures.refused[priority]) /
                        static_cast<double>(figures.offered[priority]);
  }
  const double goodput =
    100 * completed / fleet.MeasuredTime().count() / fleet.CapacityPerSecond();
  Check("goodput at least 95 % of capacity",
        goodput >= 95,
        fmt::format("{:.1f} %", goodput));
  const double p99 = Quantile(figures.times[urgent], 0.99);
  Check("urgent p99 at most twice the unloaded p99",
        p99 <= 2 * unloadedP99,
        fmt::format("{:.1f} ms, unloaded {:.1f} ms", p99, unloadedP99));
  Check("calls of low priority are refused first",
        refused[0] <= 1 && refused[1] <= refused[2],
        fmt::format("urgent {:.2f} %, normal {:.1f} %, low {:.1f} %",
                    refused[0],
                    refused[1],
                    refused[2]));
  const double refusal = Quantile(figures.refusalTimes, 0.99);
  Check("refusals within 5 ms at p99",
        refusal <= 5,
        fmt::format("{:.2f} ms", refusal));
  Check("no call of unknown outcome",
        figures.failed == 0,
        fmt::format("{}", figures.failed));
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  fmt::print("seed {}, backlog {}\n", FLAGS_seed, FLAGS_backlog);
  if (FLAGS_table) {
    PrintPolicyTable();
  }
  if (FLAGS_faults) {
    fmt::print("targets, policy {}\n", DefaultPolicy());
    RunSlowServer();
    RunFailingServer();
    RunDrainingAndLeaving();
    RunColdServer(
      "server restarts cold and reports it, 70 % load", false, true);
    RunColdServer(
      "server restarts cold and reports ready, 70 % load", false, false);
    RunColdServer(
      "server turns cold silently and reports it late, 70 % load", true, true);
    RunOverload();
    fmt::print("{} targets missed\n", missedTargets);
  }
  return missedTargets == 0 ? 0 : 1;
}
