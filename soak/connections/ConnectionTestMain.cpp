#include "soak/connections/ConnectionTest.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <filesystem>
#include <string>

#include <unistd.h>

DEFINE_string(program, "", "the fireflytrail program to run");
DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint32(runs, 1, "number of runs; each uses the next seed");
DEFINE_uint32(seconds, 6, "time during which callers connect, in seconds");
DEFINE_uint32(callers, 8, "number of callers");

using fireflytrail::soak::ConnectionTest;

namespace {

/** Runs one seed; returns whether there was no violation. */
bool
RunSeed(std::uint64_t aSeed)
{
  // Ports below the ephemeral range of the system, selected by the process id.
  constexpr int kFirstPort = 10'000;
  constexpr int kPortRange = 20'000;
  constexpr int kPortsPerRun = 8;
  const std::string folder = (std::filesystem::temp_directory_path() /
                              fmt::format("connections-{}-{}", getpid(), aSeed))
                               .string();
  std::filesystem::create_directories(folder);
  ConnectionTest test({ .program = FLAGS_program,
                        .folder = folder,
                        .basePort = static_cast<std::uint16_t>(
                          kFirstPort + getpid() * kPortsPerRun % kPortRange),
                        .seed = aSeed,
                        .duration = std::chrono::seconds(FLAGS_seconds),
                        .callers = FLAGS_callers });
  const auto& violations = test.Run();
  fmt::print("seed {}: {}{}\n",
             aSeed,
             test.Summary(),
             violations.empty() ? "kept" : "BROKEN");
  for (const std::string& line : violations) {
    fmt::print("  {}\n", line);
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
  gflags::SetUsageMessage("Checks the answers of an entry daemon to callers "
                          "that use their connections in unusual ways.");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_program.empty()) {
    fmt::print(stderr, "--program is required\n");
    return 2;
  }
  unsigned failed = 0;
  for (std::uint64_t run = 0; run < FLAGS_runs; ++run) {
    failed += RunSeed(FLAGS_seed + run) ? 0 : 1;
  }
  fmt::print("{} passed, {} failed\n", FLAGS_runs - failed, failed);
  return failed == 0 ? 0 : 1;
}
