#include "soak/Soak.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <string>

#include <unistd.h>

DEFINE_string(program, "", "the fireflytrail program to run");
DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint32(runs, 1, "number of runs; each uses the next seed");
DEFINE_uint32(seconds,
              18,
              "time during which a run injects faults, in seconds");
DEFINE_uint32(daemons, 4, "number of entry daemons");
DEFINE_uint32(servers, 6, "number of servers");
DEFINE_uint32(callers, 12, "number of callers");
DEFINE_bool(successors,
            false,
            "start some daemons while their predecessors still stop");
DEFINE_bool(half_closing,
            false,
            "some callers close their sending half after the request");
DEFINE_bool(odd_statuses,
            false,
            "servers answer some requests with a status like 000");
DEFINE_bool(odd_entries,
            false,
            "another writer leaves odd entries in the store, and lists of the "
            "store have short pages");
DEFINE_bool(older_copies,
            false,
            "the store comes back from older copies of itself");
DEFINE_bool(verbose, false, "print each fault");

using namespace fireflytrail::soak;

namespace {

/** Runs the soak with one seed; returns whether there was no violation. */
bool
RunSeed(std::uint64_t aSeed)
{
  // Ports below the ephemeral range of the system, selected by the process id.
  constexpr int kFirstPort = 10'000;
  constexpr int kPortRange = 20'000;
  constexpr int kPortsPerRun = 8;
  const std::string folder = (std::filesystem::temp_directory_path() /
                              fmt::format("soak-{}-{}", getpid(), aSeed))
                               .string();
  std::filesystem::create_directories(folder);
  SoakPlan plan;
  plan.seed = aSeed;
  plan.faultTime = std::chrono::seconds(FLAGS_seconds);
  plan.daemons = FLAGS_daemons;
  plan.servers = FLAGS_servers;
  plan.callers = FLAGS_callers;
  plan.program = FLAGS_program;
  plan.folder = folder;
  plan.basePort = static_cast<std::uint16_t>(
    kFirstPort + getpid() * kPortsPerRun % kPortRange);
  plan.hasSuccessors = FLAGS_successors;
  plan.hasHalfClosing = FLAGS_half_closing;
  plan.hasOddStatuses = FLAGS_odd_statuses;
  plan.hasOddEntries = FLAGS_odd_entries;
  plan.hasOlderCopies = FLAGS_older_copies;
  const auto begin = std::chrono::steady_clock::now();
  Soak soak(plan, [begin](const std::string& aLine) {
    if (FLAGS_verbose) {
      const std::chrono::duration<double> time =
        std::chrono::steady_clock::now() - begin;
      fmt::print("{:8.3f} {}\n", time.count(), aLine);
    }
  });
  const auto& violations = soak.Run();
  const RequestHistory& results = soak.Results();
  const auto& excuses = soak.ExcusedLosses();
  fmt::print("seed {}: {} served, {} denied, {} not run, {} failed, {} cut "
             "(excused: {} by "
             "the daemon, {} by a server, {} crossed a close); {}\n",
             aSeed,
             results.Count(RequestHistory::Outcome::Success),
             results.Count(RequestHistory::Outcome::Denied),
             results.Count(RequestHistory::Outcome::NotRun),
             results.Count(RequestHistory::Outcome::Failure),
             results.Count(RequestHistory::Outcome::ConnectionLost),
             excuses.daemon,
             excuses.server,
             excuses.crossing,
             violations.empty() ? "kept" : "BROKEN");
  constexpr std::size_t kMaxLines = 40;
  for (std::size_t index = 0; index < std::min(violations.size(), kMaxLines);
       ++index) {
    fmt::print("  {}\n", violations[index]);
  }
  if (violations.size() > kMaxLines) {
    fmt::print("  and {} more\n", violations.size() - kMaxLines);
  }
  if (violations.empty()) {
    std::filesystem::remove_all(folder);
  } else {
    fmt::print("  logs in {}\n", folder);
  }
  std::fflush(stdout);
  return violations.empty();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "Runs entry daemons under random faults that depend on a seed.");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_program.empty() || FLAGS_daemons < 2 || FLAGS_servers < 2) {
    fmt::print(
      stderr,
      "--program is required; --daemons and --servers must be at least 2\n");
    return 2;
  }
  unsigned failed = 0;
  for (std::uint64_t run = 0; run < FLAGS_runs; ++run) {
    failed += RunSeed(FLAGS_seed + run) ? 0 : 1;
  }
  fmt::print("{} passed, {} failed\n", FLAGS_runs - failed, failed);
  return failed == 0 ? 0 : 1;
}
