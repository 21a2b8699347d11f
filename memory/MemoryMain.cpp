#include "memory/MemoryRun.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include <unistd.h>

DEFINE_string(program, "", "the fireflytrail program to run");
DEFINE_string(load, "", "the load to run; all if empty");
DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint32(runs, 1, "number of runs; each uses the next seed");
DEFINE_uint32(daemons, 1, "number of entry daemons, 1 to 3");
DEFINE_uint32(callers, 0, "callers or connections; 0 selects as many as usual");
DEFINE_uint32(memory_mb, 160, "memory that a daemon may take, in megabytes");
DEFINE_uint32(max_descriptors,
              0,
              "the setting max_descriptors of a daemon; 0 writes none");
DEFINE_uint32(milliseconds, 8000, "duration of a load in milliseconds");
DEFINE_bool(memory_setting,
            true,
            "write the setting memory_mb, which earlier versions refuse");
DEFINE_string(more_settings, "", "more settings of the daemons");

using namespace fireflytrail::memory;

namespace {

unsigned
UsualCallers(const std::string& aLoad)
{
  if (aLoad == "idle" || aLoad == "half-heads" || aLoad == "long-heads" ||
      aLoad == "chunk-lines") {
    return 3000;
  }
  if (aLoad.find('@') != std::string::npos) {
    return 900;
  }
  if (aLoad == "pipelined") {
    return 500;
  }
  if (aLoad == "servers" || aLoad == "slow-readers") {
    return 200;
  }
  return 64;
}

/** Runs one load; returns whether the daemons kept to their memory. */
bool
Run(const std::string& aLoad, std::uint64_t aSeed)
{
  // Ports below the ephemeral range of the system, selected by the process id.
  constexpr int kFirstPort = 10'000;
  constexpr int kPortRange = 20'000;
  constexpr int kPortsPerRun = 8;
  const std::string folder =
    (std::filesystem::temp_directory_path() /
     fmt::format("memory-{}-{}-{}", getpid(), aLoad, aSeed))
      .string();
  std::filesystem::create_directories(folder);
  MemoryPlan plan;
  plan.seed = aSeed;
  plan.load = aLoad;
  plan.daemons = FLAGS_daemons;
  plan.callers = FLAGS_callers > 0 ? FLAGS_callers : UsualCallers(aLoad);
  plan.memoryMegabytes = FLAGS_memory_mb;
  plan.isMemoryStated = FLAGS_memory_setting;
  plan.maxDescriptors = FLAGS_max_descriptors;
  plan.moreSettings = FLAGS_more_settings;
  plan.loadTime = std::chrono::milliseconds(FLAGS_milliseconds);
  plan.program = FLAGS_program;
  plan.folder = folder;
  plan.basePort = static_cast<std::uint16_t>(
    kFirstPort + getpid() * kPortsPerRun % kPortRange);
  const MemoryResult result = MemoryRun(plan).Run();
  fmt::print("{} seed {}, {} callers, {} MB: peak {} kB, with unread bytes {} "
             "kB, after {} kB, {} descriptors, {} ms; large {} served, {} "
             "refused, {} cut; small {} served, {} refused, {} cut; ready {} "
             "of {}; {}\n",
             aLoad,
             aSeed,
             plan.callers,
             plan.memoryMegabytes,
             result.peakKilobytes,
             result.peakWithUnreadKilobytes,
             result.lastKilobytes,
             result.peakDescriptors,
             result.processorTime.count(),
             result.largeServed,
             result.largeRefused,
             result.largeCut,
             result.smallServed,
             result.smallRefused,
             result.smallCut,
             result.readyAnswered,
             result.readyAsked,
             result.violations.empty() ? "kept" : "BROKEN");
  for (const std::string& line : result.violations) {
    fmt::print("  {}\n", line);
  }
  if (result.violations.empty()) {
    std::filesystem::remove_all(folder);
  } else {
    fmt::print("  logs in {}\n", folder);
  }
  std::fflush(stdout);
  return result.violations.empty();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "Measures entry daemons under loads that fill their memory.");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_program.empty() || FLAGS_daemons < 1 || FLAGS_daemons > 3) {
    fmt::print(stderr, "--program is required; --daemons must be 1 to 3\n");
    return EXIT_FAILURE;
  }
  const std::vector<std::string> loads =
    FLAGS_load.empty() ? MemoryRun::Loads() : std::vector{ FLAGS_load };
  bool isKept = true;
  for (unsigned run = 0; run < FLAGS_runs; ++run) {
    for (const std::string& load : loads) {
      isKept = Run(load, FLAGS_seed + run) && isKept;
    }
  }
  return isKept ? EXIT_SUCCESS : EXIT_FAILURE;
}
