#include "soak/DaemonProcess.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <thread>

#include <sys/stat.h>

using namespace fireflytrail;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t kBasePort = 18'640;

/** A folder for the files of one test; removed at its end. */
struct ProcessFixture
{
  ProcessFixture()
  {
    // A daemon that has ended no longer reads its settings from a pipe.
    std::signal(SIGPIPE, SIG_IGN);
    std::string pattern =
      (std::filesystem::temp_directory_path() / "process-test-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    // The environment may name another program, to try the tests on it.
    const char* other = std::getenv("PROCESS_TEST_PROGRAM");
    this->program = other == nullptr ? FIREFLYTRAIL_PROGRAM : other;
  }

  ~ProcessFixture()
  {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }

  ProcessFixture(const ProcessFixture&) = delete;
  ProcessFixture& operator=(const ProcessFixture&) = delete;

  soak::DaemonProcess::Options MakeOptions(const std::string& aAddress) const
  {
    soak::DaemonProcess::Options options;
    options.program = this->program;
    options.folder = this->folder;
    options.address = aAddress;
    options.domain = "a";
    options.firstPeer = aAddress;
    options.storePort = 1;
    options.basePort = kBasePort;
    options.stopLimit = 500ms;
    return options;
  }

  /** Returns the options of a second process on the addresses of another. */
  soak::DaemonProcess::Options MakeSecondOptions(
    const std::string& aAddress) const
  {
    soak::DaemonProcess::Options options = this->MakeOptions(aAddress);
    options.folder += "/second";
    std::filesystem::create_directory(options.folder);
    return options;
  }

  std::string program;
  std::string folder;
};

/** Waits until a log has a text; returns false after a time limit. */
bool
WaitForLog(const soak::DaemonProcess& aProcess, std::string_view aText)
{
  const auto end = std::chrono::steady_clock::now() + 10s;
  while (aProcess.LogText().find(aText) == std::string::npos) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

bool
HasLine(const soak::DaemonProcess& aProcess,
        std::string_view aEvent,
        std::string_view aText)
{
  const std::string log = aProcess.LogText();
  const std::string event = "\"event\":\"" + std::string(aEvent) + "\"";
  for (std::size_t at = log.find(event); at != std::string::npos;
       at = log.find(event, at + 1)) {
    if (log.substr(at, log.find('\n', at) - at).find(aText) !=
        std::string::npos) {
      return true;
    }
  }
  return false;
}

void
WriteFile(const std::string& aPath, std::string_view aText)
{
  std::ofstream(aPath) << aText;
}

} // namespace

// Guards against a stop or a reload whose origin the log does not tell.
BOOST_FIXTURE_TEST_CASE(LogNamesTheSignalOfAStopAndOfAReload, ProcessFixture)
{
  soak::DaemonProcess daemon(this->MakeOptions("127.0.10.1"));
  daemon.Start();
  BOOST_REQUIRE(WaitForLog(daemon, "daemon_started"));
  daemon.SendSignal(SIGHUP);
  BOOST_TEST(WaitForLog(daemon, "reload_requested"));
  daemon.SendSignal(SIGTERM);
  BOOST_REQUIRE(daemon.WaitUntilExit(10s));
  BOOST_TEST(daemon.ExitStatus() == 0);
  BOOST_TEST(HasLine(daemon, "reload_requested", "SIGHUP"));
  BOOST_TEST(HasLine(daemon, "stop_requested", "SIGTERM"));
}

// Guards against a crash that leaves neither a line nor a stack.
BOOST_FIXTURE_TEST_CASE(FatalSignalLeavesALineAndAStack, ProcessFixture)
{
  for (const int signal : { SIGSEGV, SIGABRT, SIGBUS, SIGILL, SIGFPE }) {
    soak::DaemonProcess daemon(this->MakeOptions("127.0.10.2"));
    daemon.Start();
    BOOST_REQUIRE(WaitForLog(daemon, "daemon_started"));
    daemon.SendSignal(signal);
    BOOST_REQUIRE(daemon.WaitUntilExit(10s));
    BOOST_TEST(daemon.ExitStatus() == -signal);
    BOOST_TEST(HasLine(daemon, "fatal_signal", "SIG"));
    BOOST_TEST(daemon.LogText().find("fireflytrail(") != std::string::npos);
    std::filesystem::remove_all(this->folder);
    std::filesystem::create_directory(this->folder);
  }
}

// Guards against a refused start whose reason is not in the log.
BOOST_FIXTURE_TEST_CASE(LogTellsWhyAStartIsRefused, ProcessFixture)
{
  soak::DaemonProcess daemon(this->MakeOptions("127.0.10.3"));
  WriteFile(daemon.SettingsPath(), R"({ "name": 1 })");
  daemon.Start();
  BOOST_REQUIRE(daemon.WaitUntilExit(10s));
  BOOST_TEST(daemon.ExitStatus() == 1);
  BOOST_TEST(HasLine(daemon, "start_refused", "name: must be a string"));
  BOOST_TEST(HasLine(daemon, "start_refused", "listen: is required"));
}

// Guards against the wrong reason when the peer port cannot be opened.
BOOST_FIXTURE_TEST_CASE(LogNamesTheErrorOfThePeerPort, ProcessFixture)
{
  soak::DaemonProcess daemon(this->MakeOptions("127.0.10.4"));
  std::string text = daemon.SettingsText();
  const std::string peerListen = R"("peer_listen": "127.0.10.4)";
  text.replace(
    text.find(peerListen), peerListen.size(), R"("peer_listen": "192.0.2.1)");
  WriteFile(daemon.SettingsPath(), text);
  daemon.Start();
  BOOST_REQUIRE(daemon.WaitUntilExit(10s));
  BOOST_TEST(daemon.ExitStatus() == 1);
  BOOST_TEST(HasLine(daemon, "bind_failed", "Cannot assign requested address"));
}

// Guards against a signal in the first milliseconds that ends the process by
// its default action. The settings are a pipe, so that the process is at the
// same point of its start each time.
BOOST_FIXTURE_TEST_CASE(SignalsBeforeTheEventLoopAreDeliveredLater,
                        ProcessFixture)
{
  for (const int signal : { SIGHUP, SIGTERM, SIGINT }) {
    soak::DaemonProcess daemon(this->MakeOptions("127.0.10.5"));
    const std::string text = daemon.SettingsText();
    std::filesystem::remove(daemon.SettingsPath());
    BOOST_REQUIRE(mkfifo(daemon.SettingsPath().c_str(), 0600) == 0);
    daemon.Start();
    // Opens as soon as the process reads its settings.
    std::ofstream pipe(daemon.SettingsPath());
    daemon.SendSignal(signal);
    const std::string file = daemon.SettingsPath() + ".new";
    WriteFile(file, text);
    std::filesystem::rename(file, daemon.SettingsPath());
    pipe << text;
    pipe.close();
    const bool isReload = signal == SIGHUP;
    BOOST_TEST(
      WaitForLog(daemon, isReload ? "reload_requested" : "stop_requested"));
    if (isReload) {
      daemon.SendSignal(SIGTERM);
    }
    BOOST_REQUIRE(daemon.WaitUntilExit(10s));
    BOOST_TEST(daemon.ExitStatus() == 0);
  }
}

// Guards against two processes that share the addresses, so that each receives
// some of the callers and the checks of readiness of the other.
BOOST_FIXTURE_TEST_CASE(SecondProcessOnTheSameAddressesIsRefused,
                        ProcessFixture)
{
  soak::DaemonProcess first(this->MakeOptions("127.0.10.6"));
  first.Start();
  BOOST_REQUIRE(WaitForLog(first, "daemon_started"));
  soak::DaemonProcess::Options options = this->MakeSecondOptions("127.0.10.6");
  options.stopLimit = 1ms;
  soak::DaemonProcess second(options);
  second.Start();
  BOOST_REQUIRE(WaitForLog(second, "bind_delayed"));
  BOOST_REQUIRE(second.WaitUntilExit(15s));
  BOOST_TEST(second.ExitStatus() == 1);
  BOOST_TEST(HasLine(second, "bind_failed", "Address already in use"));
  BOOST_TEST(first.IsRunning());
}

// Guards against a start that fails because its predecessor is still stopping.
BOOST_FIXTURE_TEST_CASE(StartWaitsForThePredecessorsAddresses, ProcessFixture)
{
  soak::DaemonProcess first(this->MakeOptions("127.0.10.7"));
  first.Start();
  BOOST_REQUIRE(WaitForLog(first, "daemon_started"));
  soak::DaemonProcess second(this->MakeSecondOptions("127.0.10.7"));
  second.Start();
  BOOST_REQUIRE(WaitForLog(second, "bind_delayed"));
  first.SendSignal(SIGTERM);
  BOOST_REQUIRE(first.WaitUntilExit(10s));
  BOOST_TEST(WaitForLog(second, "daemon_started"));
  second.SendSignal(SIGTERM);
  BOOST_REQUIRE(second.WaitUntilExit(10s));
  BOOST_TEST(second.ExitStatus() == 0);
}

// Guards against a stop that is not heard while a start waits for an address.
BOOST_FIXTURE_TEST_CASE(StopEndsAStartThatWaitsForAnAddress, ProcessFixture)
{
  soak::DaemonProcess first(this->MakeOptions("127.0.10.8"));
  first.Start();
  BOOST_REQUIRE(WaitForLog(first, "daemon_started"));
  soak::DaemonProcess second(this->MakeSecondOptions("127.0.10.8"));
  second.Start();
  BOOST_REQUIRE(WaitForLog(second, "bind_delayed"));
  second.SendSignal(SIGTERM);
  BOOST_REQUIRE(second.WaitUntilExit(2s));
  BOOST_TEST(second.ExitStatus() == 0);
  BOOST_TEST(HasLine(second, "stop_requested", "SIGTERM"));
}

// Guards against a start that is refused because the settings file is being
// written.
BOOST_FIXTURE_TEST_CASE(StartWaitsForACompleteSettingsFile, ProcessFixture)
{
  soak::DaemonProcess daemon(this->MakeOptions("127.0.10.9"));
  const std::string text = daemon.SettingsText();
  const std::string half = text.substr(0, text.size() / 2);
  for (const std::string& before : { std::string(), half }) {
    WriteFile(daemon.SettingsPath(), before);
    daemon.Start();
    BOOST_REQUIRE(WaitForLog(daemon, "settings_unreadable"));
    WriteFile(daemon.SettingsPath(), text);
    BOOST_TEST(WaitForLog(daemon, "daemon_started"));
    daemon.SendSignal(SIGTERM);
    BOOST_REQUIRE(daemon.WaitUntilExit(10s));
    BOOST_TEST(daemon.ExitStatus() == 0);
    std::filesystem::remove(this->folder + "/127.0.10.9.log");
  }
  std::filesystem::remove(daemon.SettingsPath());
  daemon.Start();
  BOOST_REQUIRE(daemon.WaitUntilExit(10s));
  BOOST_TEST(daemon.ExitStatus() == 1);
  BOOST_TEST(HasLine(daemon, "start_refused", "No such file"));
}

// Guards against a change of the settings that takes effect only seconds later,
// because the file was read while it was being written.
BOOST_FIXTURE_TEST_CASE(CutSettingsFileIsReadAgainSoon, ProcessFixture)
{
  soak::DaemonProcess::Options options = this->MakeOptions("127.0.10.10");
  soak::DaemonProcess daemon(options);
  daemon.Start();
  BOOST_REQUIRE(WaitForLog(daemon, "daemon_started"));
  const std::string text = daemon.SettingsText();
  WriteFile(daemon.SettingsPath(), text.substr(0, text.size() / 2));
  daemon.SendSignal(SIGHUP);
  BOOST_REQUIRE(WaitForLog(daemon, "settings_unreadable"));
  options.stopLimit = 700ms;
  const auto writtenAt = std::chrono::steady_clock::now();
  WriteFile(daemon.SettingsPath(), soak::DaemonProcess(options).SettingsText());
  BOOST_TEST(WaitForLog(daemon, "settings_reloaded"));
  BOOST_TEST((std::chrono::steady_clock::now() - writtenAt < 2s));
}

// Guards against a start that needs the path of the settings as an argument,
// although the platform names it in the environment.
BOOST_FIXTURE_TEST_CASE(EnvironmentNamesTheSettingsFile, ProcessFixture)
{
  soak::DaemonProcess::Options options = this->MakeOptions("127.0.10.11");
  options.isFileAnArgument = false;
  options.environment = { "FIREFLYTRAIL_SETTINGS=" +
                          soak::DaemonProcess(options).SettingsPath() };
  soak::DaemonProcess daemon(options);
  daemon.Start();
  BOOST_TEST(WaitForLog(daemon, "daemon_started"));
  daemon.SendSignal(SIGTERM);
  BOOST_REQUIRE(daemon.WaitUntilExit(10s));
  BOOST_TEST(daemon.ExitStatus() == 0);
}
