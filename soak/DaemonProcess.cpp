#include "soak/DaemonProcess.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <array>
#include <cassert>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fireflytrail::soak {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

// Processor time in which the dynamic loader maps and relocates the libraries.
constexpr std::chrono::nanoseconds kLoaderTime = 3ms;

} // namespace

DaemonProcess::DaemonProcess(Options aOptions)
  : options(std::move(aOptions))
{
  this->ReplaceSettings({});
}

DaemonProcess::~DaemonProcess()
{
  if (this->IsRunning()) {
    kill(this->pid, SIGCONT);
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

void
DaemonProcess::Start()
{
  assert(this->pid == 0);
  this->stopRequestedAt.reset();
  this->wasKilled = false;
  this->signalsOfLoader.clear();
  std::string settings = this->SettingsPath();
  const std::string log = this->LogPath();
  std::string subcommand = "proxy";
  std::array<char*, 4> arguments{ this->options.program.data(),
                                  subcommand.data(),
                                  this->options.isFileAnArgument
                                    ? settings.data()
                                    : nullptr,
                                  nullptr };
  std::vector<char*> environment;
  for (std::string& variable : this->options.environment) {
    environment.push_back(variable.data());
  }
  environment.push_back(nullptr);
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kLogFileMode = 0644;
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kLogFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&this->pid,
                                this->options.program.c_str(),
                                &actions,
                                nullptr,
                                arguments.data(),
                                environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    this->pid = 0;
    throw std::runtime_error("cannot start " + this->options.program);
  }
}

void
DaemonProcess::SendSignal(int aSignal)
{
  if (!this->IsRunning()) {
    return;
  }
  if (aSignal == SIGTERM && !this->stopRequestedAt) {
    this->stopRequestedAt = std::chrono::steady_clock::now();
  }
  this->wasKilled = this->wasKilled || aSignal == SIGKILL;
  if (this->ProcessorTime() < kLoaderTime) {
    this->signalsOfLoader.insert(aSignal);
  }
  kill(this->pid, aSignal);
}

bool
DaemonProcess::IsExitAsRequested() const
{
  return (this->exitStatus == 0 && this->stopRequestedAt) ||
         (this->exitStatus == -SIGKILL && this->wasKilled) ||
         this->signalsOfLoader.contains(-this->exitStatus);
}

std::chrono::nanoseconds
DaemonProcess::ProcessorTime() const
{
  std::ifstream file(fmt::format("/proc/{}/schedstat", this->pid));
  std::chrono::nanoseconds::rep time = 0;
  file >> time;
  return std::chrono::nanoseconds(time);
}

bool
DaemonProcess::IsRunning()
{
  if (this->pid == 0) {
    return false;
  }
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == 0) {
    return true;
  }
  this->exitStatus =
    WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  this->pid = 0;
  return false;
}

bool
DaemonProcess::WaitUntilExit(std::chrono::milliseconds aTime)
{
  constexpr std::chrono::milliseconds kPause{ 2 };
  const auto end = std::chrono::steady_clock::now() + aTime;
  while (this->IsRunning()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPause);
  }
  return true;
}

tcp::endpoint
DaemonProcess::CallerEndpoint() const
{
  return { boost::asio::ip::make_address(this->options.address),
           this->options.basePort };
}

tcp::endpoint
DaemonProcess::ReadyEndpoint() const
{
  return { boost::asio::ip::make_address(this->options.address),
           static_cast<std::uint16_t>(this->options.basePort + 1) };
}

std::string
DaemonProcess::SettingsPath() const
{
  return fmt::format("{}/{}.json", this->options.folder, this->options.address);
}

std::string
DaemonProcess::LogPath() const
{
  return fmt::format("{}/{}.log", this->options.folder, this->options.address);
}

std::string
DaemonProcess::LogText() const
{
  std::ifstream file(this->LogPath());
  return { std::istreambuf_iterator<char>(file),
           std::istreambuf_iterator<char>() };
}

std::string
DaemonProcess::SettingsText() const
{
  return this->SettingsText({});
}

std::string
DaemonProcess::LogTail() const
{
  constexpr std::size_t kLines = 8;
  std::ifstream file(this->LogPath());
  std::deque<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    lines.push_back("    " + line);
    if (lines.size() > kLines) {
      lines.pop_front();
    }
  }
  return fmt::format("{}", fmt::join(lines, "\n"));
}

void
DaemonProcess::ReplaceSettings(const Reloadable& aSettings) const
{
  const std::string temporaryPath = this->SettingsPath() + ".new";
  std::ofstream(temporaryPath) << this->SettingsText(aSettings);
  std::filesystem::rename(temporaryPath, this->SettingsPath());
}

void
DaemonProcess::TruncateSettings() const
{
  const std::string text = this->SettingsText({});
  std::ofstream(this->SettingsPath()) << text.substr(0, text.size() / 2);
}

std::string
DaemonProcess::SettingsText(const Reloadable& aSettings) const
{
  const auto endpointText = [this](int aOffset) {
    return fmt::format(
      "{}:{}", this->options.address, this->options.basePort + aOffset);
  };
  return fmt::format(R"({{
  "name": "{}", "failure_domain": "{}", "store": "{}:{}",
  "listen": "{}", "ready_listen": "{}", "operator_listen": "{}",
  "peer_listen": "{}", "first_peers": ["{}:{}"],
  "stop_limit_ms": {}, "retry_ratio": 0.2, "free_retries": {},
  "trial_share": 0.1, "expected_hosts": {}{}{}
}}
)",
                     this->options.address,
                     this->options.domain,
                     this->options.storeAddress,
                     this->options.storePort,
                     endpointText(0),
                     endpointText(1),
                     endpointText(2),
                     endpointText(3),
                     this->options.firstPeer,
                     this->options.basePort + 3,
                     this->options.stopLimit.count(),
                     aSettings.freeRetries,
                     aSettings.expectedHosts,
                     this->options.moreSettings.empty() ? "" : ", ",
                     this->options.moreSettings);
}

} // namespace fireflytrail::soak
