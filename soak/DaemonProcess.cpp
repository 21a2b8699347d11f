#include "soak/DaemonProcess.h"

#include <fmt/format.h>

#include <array>
#include <cassert>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fireflytrail::soak {

using boost::asio::ip::tcp;

DaemonProcess::DaemonProcess(Place aPlace)
  : place(std::move(aPlace))
{
  this->WriteSettings();
}

DaemonProcess::~DaemonProcess()
{
  if (this->IsRunning()) {
    kill(this->process, SIGCONT);
    kill(this->process, SIGKILL);
    waitpid(this->process, nullptr, 0);
  }
}

void
DaemonProcess::Start()
{
  assert(this->process == 0);
  std::string settings =
    fmt::format("{}/{}.json", this->place.folder, this->place.address);
  const std::string log =
    fmt::format("{}/{}.log", this->place.folder, this->place.address);
  std::string verb = "proxy";
  std::array<char*, 4> arguments{
    this->place.program.data(), verb.data(), settings.data(), nullptr
  };
  std::array<char*, 1> environment{ nullptr };
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&this->process,
                                this->place.program.c_str(),
                                &actions,
                                nullptr,
                                arguments.data(),
                                environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    this->process = 0;
    throw std::runtime_error("cannot start " + this->place.program);
  }
}

void
DaemonProcess::Signal(int aSignal)
{
  if (this->IsRunning()) {
    kill(this->process, aSignal);
  }
}

bool
DaemonProcess::IsRunning()
{
  if (this->process == 0) {
    return false;
  }
  int status = 0;
  if (waitpid(this->process, &status, WNOHANG) == 0) {
    return true;
  }
  this->lastEnd = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  this->process = 0;
  return false;
}

tcp::endpoint
DaemonProcess::CallerEndpoint() const
{
  return { boost::asio::ip::make_address(this->place.address),
           this->place.basePort };
}

tcp::endpoint
DaemonProcess::ReadyEndpoint() const
{
  return { boost::asio::ip::make_address(this->place.address),
           static_cast<std::uint16_t>(this->place.basePort + 1) };
}

void
DaemonProcess::WriteSettings() const
{
  const auto at = [this](int aOffset) {
    return fmt::format(
      "{}:{}", this->place.address, this->place.basePort + aOffset);
  };
  std::ofstream file(
    fmt::format("{}/{}.json", this->place.folder, this->place.address));
  file << fmt::format(R"({{
  "name": "{}", "failure_domain": "{}", "store": "127.0.0.1:{}",
  "listen": "{}", "ready_listen": "{}", "operator_listen": "{}",
  "peer_listen": "{}", "first_peers": ["{}:{}"],
  "stop_limit_ms": 6000, "retry_ratio": 0.2, "free_retries": 64,
  "trial_share": 0.1
}}
)",
                      this->place.address,
                      this->place.domain,
                      this->place.storePort,
                      at(0),
                      at(1),
                      at(2),
                      at(3),
                      this->place.firstPeer,
                      this->place.basePort + 3);
}

} // namespace fireflytrail::soak
