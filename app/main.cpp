#include "configuration/DaemonSettings.h"
#include "configuration/Endpoint.h"
#include "configuration/SettingsFile.h"
#include "core/CrashReport.h"
#include "core/Log.h"
#include "core/OutputSink.h"
#include "core/StopSignals.h"
#include "daemon/Serve.h"
#include "operator_client/operator_client.h"
#include "platform/platform.h"
#include "proxy/proxy.h"
#include "store/BlockingStore.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <boost/asio/ip/address.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <malloc.h>
#include <unistd.h>

DEFINE_string(store, "", "store's address, IP:PORT");
DEFINE_string(daemon, "", "operator port of an entry daemon, IP:PORT");
DEFINE_int64(
  expected_version,
  -1,
  "version of the desired state that the text replaces, 0 if there is "
  "none yet; -1 uses the version that is read first");
DEFINE_string(settings, "", "daemon settings file to check as well");
DEFINE_bool(insist,
            false,
            "take the domain out even if the others lack capacity");
DEFINE_string(by,
              "",
              "time by which the version is to be in force, "
              "2026-12-04T10:30:00Z or relative to now as +90s, +30m, +2h");
DEFINE_bool(wait, false, "wait until the move is done or taken back");
DEFINE_uint32(wait_limit_s, 3600, "longest wait in seconds");
DEFINE_string(operator_name, "", "name to record with a move; $USER if empty");
DEFINE_uint32(timeout_ms, 10000, "time limit for the store and for a daemon");

using namespace fireflytrail;
using namespace fireflytrail::operator_client;

namespace {

// Enough for the size of the fleet that is expected in two years, with several
// log files for each daemon because of restarts.
constexpr std::size_t kMaxLogFiles = 4096;

// Size from which a block of memory is mapped on its own.
constexpr int kMmapThresholdBytes = 64 * 1024;

// Time for which a daemon waits for a settings file that is missing, empty or
// cut, and time between two readings.
constexpr std::chrono::milliseconds kSettingsLimit{ 3000 };
constexpr std::chrono::milliseconds kSettingsPause{ 50 };

struct Subcommand
{
  std::string_view name;
  std::string_view usage;
  std::string_view summary;
  FlagSet flags;
  /** Allowed range of the number of positional arguments. */
  std::size_t minArguments;
  std::size_t maxArguments;
  std::function<ExitCode(const std::vector<std::string>&)> run;
  /** Whether it handles SIGHUP, SIGTERM and SIGINT, which are held back until
   * it releases them. */
  bool isDaemon = false;
};

CommandOutput
StandardOutput()
{
  return { [](std::string_view aLine) {
            fmt::print("{}\n", aLine);
            std::fflush(stdout);
          },
           [](std::string_view aLine) {
             fmt::print(stderr, "fireflytrail: {}\n", aLine);
           } };
}

ExitCode
UsageError(std::string_view aMessage)
{
  StandardOutput().error(aMessage);
  return ExitCode::Usage;
}

/** Returns access to the store at `--store`. If the flag is invalid, prints an
 * error line and returns nothing. */
std::optional<StoreAccess>
OpenStore()
{
  const auto endpoint = configuration::Endpoint::Parse(FLAGS_store);
  if (!endpoint || endpoint->port == 0) {
    UsageError(FLAGS_store.empty()
                 ? "--store IP:PORT is required"
                 : fmt::format("bad value \"{}\" of flag --store, which takes "
                               "IP:PORT",
                               FLAGS_store));
    return std::nullopt;
  }
  // A command runs only for a short time, so it may make more calls per second
  // than a daemon, which runs permanently.
  const store::StoreClientSettings settings{
    .requestsPerSecond = 20,
    .burst = 20,
    .operationLimit = std::chrono::milliseconds(FLAGS_timeout_ms),
    .longestBackoff = std::chrono::milliseconds(1000),
  };
  auto client = std::make_shared<store::BlockingStore>(
    boost::asio::ip::tcp::endpoint(
      boost::asio::ip::make_address(endpoint->address), endpoint->port),
    settings);
  return StoreAccess{
    [client](const std::string& aKey) { return client->Read(aKey); },
    [client](const std::string& aKey,
             const std::string& aBody,
             std::uint64_t aExpected) {
      return client->Write(aKey, aBody, aExpected);
    },
    [client](const std::string& aKey, std::uint64_t aVersion) {
      return client->Watch(aKey, aVersion);
    },
    [client]() { return client->Hosts(); }
  };
}

bool
IsDaemonFlagValid()
{
  if (FLAGS_daemon.empty() || configuration::Endpoint::Parse(FLAGS_daemon)) {
    return true;
  }
  UsageError(fmt::format(
    "bad value \"{}\" of flag --daemon, which takes IP:PORT", FLAGS_daemon));
  return false;
}

DaemonAccess
MakeDaemonAccess()
{
  return [](const std::string& aAddress, const std::string& aTarget) {
    return HttpGet(
      aAddress, aTarget, std::chrono::milliseconds(FLAGS_timeout_ms));
  };
}

/** Logs why a daemon does not start, and prints it for a person. */
void
RefuseStart(const std::string& aReason)
{
  UsageError(aReason);
  core::Log().Write(
    core::LogLevel::Error, "start_refused", { { "why", aReason } });
}

/** Runs a daemon. An exception that ends it is logged. */
ExitCode
RunLogged(const std::function<ExitCode()>& aDaemon)
{
  core::CrashReport::Install();
  const auto fail = [](std::string_view aReason) {
    core::Log().Write(
      core::LogLevel::Error, "daemon_failed", { { "why", aReason } });
    return ExitCode::Refused;
  };
  try {
    return aDaemon();
  } catch (const std::exception& error) {
    return fail(error.what());
  } catch (...) {
    return fail("unknown exception");
  }
}

template<typename Settings>
configuration::SettingsFile<Settings>
OpenSettingsFile(const std::string& aPath)
{
  return { aPath, [aPath]() -> core::Result<std::string> {
            auto file = ReadTextFile(aPath);
            if (!file) {
              return file.error();
            }
            return std::move(file.value().text);
          } };
}

/** Reads the settings of a daemon. Waits for a file that is being written. On
 * failure, logs each error and returns nothing. */
template<typename Settings>
std::optional<Settings>
ReadAtStart(const configuration::SettingsFile<Settings>& aFile)
{
  const auto end = std::chrono::steady_clock::now() + kSettingsLimit;
  bool isReported = false;
  const auto content =
    aFile.ReadComplete([&](const std::vector<std::string>& aErrors) {
      if (std::chrono::steady_clock::now() >= end ||
          core::StopSignals::PendingStop() != 0) {
        return false;
      }
      if (!isReported) {
        core::Log().Write(core::LogLevel::Warning,
                          "settings_unreadable",
                          { { "why", aErrors.front() } });
        isReported = true;
      }
      std::this_thread::sleep_for(kSettingsPause);
      return true;
    });
  for (const std::string& error : content.errors) {
    RefuseStart(error);
  }
  return content.settings;
}

/** Returns the exit code of a daemon that has not started. */
ExitCode
ExitCodeOfStart()
{
  return core::StopSignals::PendingStop() != 0 ? ExitCode::Ok
                                               : ExitCode::Refused;
}

ExitCode
RunServe(const std::vector<std::string>& aArguments)
{
  const auto settings =
    ReadAtStart(OpenSettingsFile<configuration::DaemonSettings>(aArguments[0]));
  if (!settings) {
    return ReadTextFile(aArguments[0]) ? ExitCodeOfStart() : ExitCode::Usage;
  }
  const core::Log log(settings->logLevel);
  return static_cast<ExitCode>(daemon::Serve(*settings, log));
}

ExitCode
RunProxy(const std::vector<std::string>& aArguments)
{
  const char* variable = std::getenv("FIREFLYTRAIL_SETTINGS");
  if (aArguments.empty() && (variable == nullptr || *variable == '\0')) {
    RefuseStart("proxy: neither an argument nor FIREFLYTRAIL_SETTINGS names "
                "the settings file");
    return ExitCode::Usage;
  }
  const auto file = OpenSettingsFile<configuration::ProxySettings>(
    aArguments.empty() ? variable : aArguments[0]);
  const auto settings = ReadAtStart(file);
  if (!settings) {
    return ExitCodeOfStart();
  }
  // Ignores SIGPIPE, so that the daemon keeps running if the process that reads
  // its log exits.
  std::signal(SIGPIPE, SIG_IGN);
  // Returns the memory of large bodies to the system when they are freed. By
  // default, the threshold grows with the bodies that have been freed.
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  core::OutputSink output(STDOUT_FILENO, settings->logBytesPerSecond);
  const core::Log log(settings->logLevel, [&output](std::string_view aLine) {
    output.Write(aLine);
  });
  proxy::ProxyDaemon daemon(*settings, platform::MakeAdapter(), log, file);
  if (!daemon.Open()) {
    return ExitCodeOfStart();
  }
  daemon.Run();
  return ExitCode::Ok;
}

ExitCode
RunCheck(const std::vector<std::string>& aArguments)
{
  const auto text = ReadTextFile(aArguments[0]);
  if (!text) {
    return UsageError(text.error().detail);
  }
  std::optional<NamedText> settings;
  if (!FLAGS_settings.empty()) {
    auto file = ReadTextFile(FLAGS_settings);
    if (!file) {
      return UsageError(file.error().detail);
    }
    settings = std::move(file).value();
  }
  return CheckCommand(StandardOutput()).Run(text.value(), settings);
}

ExitCode
RunSubmit(const std::vector<std::string>& aArguments)
{
  if (FLAGS_expected_version < -1) {
    return UsageError(
      fmt::format("bad value \"{}\" of flag --expected-version, which takes a "
                  "version from 0",
                  FLAGS_expected_version));
  }
  const auto text = ReadTextFile(aArguments[0]);
  if (!text) {
    return UsageError(text.error().detail);
  }
  const auto access = OpenStore();
  if (!access) {
    return ExitCode::Usage;
  }
  std::optional<std::uint64_t> expected;
  if (FLAGS_expected_version >= 0) {
    expected = static_cast<std::uint64_t>(FLAGS_expected_version);
  }
  return SubmitCommand(*access, StandardOutput()).Run(text.value(), expected);
}

ExitCode
RunStatus(const std::vector<std::string>&)
{
  if (!IsDaemonFlagValid()) {
    return ExitCode::Usage;
  }
  const auto access = OpenStore();
  if (!access) {
    return ExitCode::Usage;
  }
  return StatusCommand(*access, MakeDaemonAccess(), StandardOutput())
    .Run(FLAGS_daemon);
}

std::string
OperatorName()
{
  if (!FLAGS_operator_name.empty()) {
    return FLAGS_operator_name;
  }
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "unknown" : user;
}

void
PauseBetweenSamples()
{
  constexpr std::chrono::milliseconds kPause{ 200 };
  std::this_thread::sleep_for(kPause);
}

ExitCode
RunMove(const std::vector<std::string>& aArguments)
{
  const std::string& kind = aArguments[0];
  const bool isDomainMove = kind == "domain";
  if ((!isDomainMove && kind != "version") ||
      (isDomainMove && aArguments[1] != "out" && aArguments[1] != "back")) {
    return UsageError(
      "usage: move domain out|back NAME, or move version SERVICE VERSION");
  }
  const auto now = std::chrono::system_clock::now();
  const auto setTime = ParseTime(FLAGS_by, now);
  if (!isDomainMove && FLAGS_by.empty()) {
    return UsageError("move version needs --by TIME");
  }
  if (!isDomainMove && !setTime) {
    return UsageError(fmt::format("bad value \"{}\" of flag --by, which takes "
                                  "2026-12-04T10:30:00Z or +90s, +30m, +2h",
                                  FLAGS_by));
  }
  if (isDomainMove && !FLAGS_by.empty()) {
    return UsageError("--by is valid only for move version");
  }
  if (FLAGS_insist && (!isDomainMove || aArguments[1] != "out")) {
    return UsageError("--insist is valid only for move domain out");
  }
  if (!IsDaemonFlagValid()) {
    return ExitCode::Usage;
  }
  const auto access = OpenStore();
  if (!access) {
    return ExitCode::Usage;
  }
  MoveCommand::Hooks hooks;
  hooks.now = std::chrono::system_clock::now;
  hooks.random = std::mt19937_64(std::random_device{}());
  hooks.capacity =
    [check = CapacityCheck(
       *access, MakeDaemonAccess(), FLAGS_daemon, PauseBetweenSamples)](
      const configuration::DesiredState& aState,
      const std::string& aFailureDomain) {
      return check.Run(aState, aFailureDomain);
    };
  const MoveCommand command(
    *access, std::move(hooks), StandardOutput(), OperatorName());
  std::optional<std::chrono::seconds> wait;
  if (FLAGS_wait) {
    wait = std::chrono::seconds(FLAGS_wait_limit_s);
  }
  return isDomainMove
           ? command.RunDomain(
               aArguments[1] == "out", aArguments[2], FLAGS_insist, wait)
           : command.RunVersion(aArguments[1], aArguments[2], *setTime, wait);
}

ExitCode
RunDump(const std::vector<std::string>&)
{
  if (FLAGS_daemon.empty()) {
    return UsageError("--daemon IP:PORT is required");
  }
  if (!IsDaemonFlagValid()) {
    return ExitCode::Usage;
  }
  return DumpCommand(MakeDaemonAccess(), StandardOutput()).Run(FLAGS_daemon);
}

const std::vector<Subcommand>&
Subcommands()
{
  static const std::vector<Subcommand> kSubcommands{
    { "serve",
      "serve SETTINGS_FILE",
      "Runs the entry daemon.\n"
      "It serves until SIGTERM or SIGINT, then stops gracefully, without\n"
      "cutting off any call.",
      {},
      1,
      1,
      [](const std::vector<std::string>& aArguments) {
        return RunLogged([&] { return RunServe(aArguments); });
      },
      true },
    { "proxy",
      "proxy [SETTINGS_FILE]",
      "Runs the entry daemon for HTTP routes.\n"
      "It reads routes and instances from the platform's store and serves\n"
      "until SIGTERM or SIGINT, then stops gracefully, without cutting off\n"
      "any request.\n"
      "The settings are reloaded on SIGHUP and when the file changes. Without\n"
      "an argument, FIREFLYTRAIL_SETTINGS holds the path of the file.",
      {},
      0,
      1,
      [](const std::vector<std::string>& aArguments) {
        return RunLogged([&] { return RunProxy(aArguments); });
      },
      true },
    { "check",
      "check FILE [--settings SETTINGS_FILE]",
      "Checks the operators' text without a network.\n"
      "Every error is printed with its line number.",
      { "settings" },
      1,
      1,
      RunCheck },
    { "submit",
      "submit FILE --store IP:PORT [--expected-version N]",
      "Puts the operators' text in force.\n"
      "The text is checked and written by one conditional update. If another\n"
      "operator's change comes first, the version in the store is printed.\n"
      "A refused text changes nothing.",
      { "store", "expected_version", "timeout_ms" },
      1,
      1,
      RunSubmit },
    { "status",
      "status --store IP:PORT [--daemon IP:PORT]",
      "Prints one line for each host and for each move.\n"
      "The lines are read from the store and from one entry daemon.",
      { "store", "daemon", "timeout_ms" },
      0,
      0,
      RunStatus },
    { "move",
      "move domain out|back NAME --store IP:PORT [--insist] [--wait]\n"
      "       fireflytrail move version SERVICE VERSION --by TIME --store "
      "IP:PORT [--wait]",
      "Moves a failure domain out or back, or a service to a version.\n"
      "Taking a domain out is refused if the other domains cannot carry the\n"
      "load, unless --insist is given. A version is put in force by the given\n"
      "time, or taken back if it proves to be bad.",
      { "store",
        "daemon",
        "insist",
        "by",
        "wait",
        "wait_limit_s",
        "operator_name",
        "timeout_ms" },
      3,
      3,
      RunMove },
    { "dump",
      "dump --daemon IP:PORT",
      "Prints the state dump of one entry daemon as JSON.",
      { "daemon", "timeout_ms" },
      0,
      0,
      RunDump },
    { "explain",
      "explain ID LOG_FILE...",
      "Prints what happened to a request, according to daemons' logs.\n"
      "ID is the id that the caller gave to the attempt; each file is the log\n"
      "of one daemon. The daemon's state at that time is printed as well, in\n"
      "lines marked \"believed\".",
      {},
      2,
      kMaxLogFiles,
      [](const std::vector<std::string>& aArguments) {
        return ExplainCommand(StandardOutput())
          .Run(aArguments.front(),
               { std::next(aArguments.begin()), aArguments.end() });
      } },
    { "version",
      "version",
      "Prints the version of this program.",
      {},
      0,
      0,
      [](const std::vector<std::string>&) {
        StandardOutput().out("fireflytrail " FIREFLYTRAIL_VERSION);
        return ExitCode::Ok;
      } },
  };
  return kSubcommands;
}

void
PrintOverview()
{
  fmt::print("Usage: fireflytrail SUBCOMMAND ...\n\nSubcommands:\n");
  for (const Subcommand& subcommand : Subcommands()) {
    const auto summary =
      subcommand.summary.substr(0, subcommand.summary.find('\n'));
    fmt::print("  {:<8} {}\n", subcommand.name, summary);
  }
  fmt::print("\nfireflytrail SUBCOMMAND --help describes a subcommand.\n");
}

void
PrintHelp(const Subcommand& aSubcommand)
{
  fmt::print(
    "Usage: fireflytrail {}\n\n{}\n\n", aSubcommand.usage, aSubcommand.summary);
  fmt::print("Flags:\n{}  --help               print this text\n\n{}",
             CommandLine::DescribeFlags(aSubcommand.flags),
             kExitCodeHelp);
}

ExitCode
Run(const std::vector<std::string>& aArguments)
{
  if (aArguments.empty()) {
    return UsageError("a subcommand is missing; see fireflytrail --help");
  }
  const std::string& name = aArguments[0];
  if (name == "--help" || name == "-h" || name == "help") {
    PrintOverview();
    return ExitCode::Ok;
  }
  for (const Subcommand& subcommand : Subcommands()) {
    if (subcommand.name != name) {
      continue;
    }
    const auto commandLine = CommandLine::Parse(
      { aArguments.begin() + 1, aArguments.end() }, subcommand.flags);
    if (commandLine.wantsHelp) {
      PrintHelp(subcommand);
      return ExitCode::Ok;
    }
    if (!commandLine.error.empty()) {
      return UsageError(fmt::format("{}: {}", name, commandLine.error));
    }
    if (commandLine.arguments.size() < subcommand.minArguments) {
      return UsageError(fmt::format(
        "{}: an argument is missing; see fireflytrail {} --help", name, name));
    }
    if (commandLine.arguments.size() > subcommand.maxArguments) {
      return UsageError(
        fmt::format("{}: unexpected argument \"{}\"",
                    name,
                    commandLine.arguments[subcommand.maxArguments]));
    }
    if (!subcommand.isDaemon) {
      core::StopSignals::Release();
    }
    return subcommand.run(commandLine.arguments);
  }
  return UsageError(
    fmt::format("unknown subcommand \"{}\"; see fireflytrail --help", name));
}

// Runs before the constructors of the libraries, which take most of the time
// before `main`. A signal that arrives earlier ends the process.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kHoldSignals)() = core::StopSignals::Hold;

} // namespace

int
main(int aArgumentCount, char** aArgumentValues)
{
  return static_cast<int>(
    Run({ aArgumentValues + 1, aArgumentValues + aArgumentCount }));
}
