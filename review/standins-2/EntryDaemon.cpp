#include "EntryDaemon.h"

#include "Connection.h"

#include <array>
#include <fstream>
#include <thread>
#include <utility>

#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fireflytrail::review {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

std::uint16_t
FreePort()
{
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const socketName = reinterpret_cast<sockaddr*>(&address);
  const bool isBound = bind(probe, socketName, size) == 0 &&
                       getsockname(probe, socketName, &size) == 0;
  close(probe);
  return isBound ? ntohs(address.sin_port) : 0;
}

std::string
Address(std::uint16_t aPort)
{
  return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
}

} // namespace

EntryDaemon::EntryDaemon(std::string aName,
                         std::uint16_t aStorePort,
                         const EntryDaemon* aSeed,
                         std::string aFolder,
                         std::size_t aMemoryMb)
  : name(std::move(aName))
  , folder(std::move(aFolder))
  , settingsPath(this->folder + "/" + this->name + ".json")
  , ports{ FreePort(), FreePort(), FreePort(), FreePort() }
{
  std::ofstream settings(this->settingsPath);
  settings << "{\n  \"name\": \"" << this->name
           << "\",\n  \"failure_domain\": \"zone-a\",\n  \"store\": "
           << Address(aStorePort)
           << ",\n  \"listen\": " << Address(this->ports.callers)
           << ",\n  \"ready_listen\": " << Address(this->ports.ready)
           << ",\n  \"operator_listen\": " << Address(this->ports.control)
           << ",\n  \"peer_listen\": " << Address(this->ports.peers);
  if (aSeed != nullptr) {
    settings << ",\n  \"first_peers\": [" << Address(aSeed->ports.peers) << "]";
  }
  settings << ",\n  \"processor_share\": 0.2,\n  \"memory_mb\": " << aMemoryMb
           << ",\n  \"max_descriptors\": 4100,\n  \"link_mbps\": 1000,\n"
              "  \"stop_limit_s\": 6,\n  \"report_interval_ms\": 1500,\n"
              "  \"retry_ratio\": 0.2,\n  \"free_retries\": 64,\n"
              "  \"trial_share\": 0.1\n}\n";
}

EntryDaemon::~EntryDaemon()
{
  if (this->process > 0) {
    kill(this->process, SIGKILL);
    waitpid(this->process, nullptr, 0);
  }
}

void
EntryDaemon::Start()
{
  const std::string log = this->folder + "/" + this->name + ".log";
  const pid_t parent = getpid();
  this->process = fork();
  if (this->process != 0) {
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(1);
  }
  const int output =
    open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  setenv("FIREFLYTRAIL_SETTINGS", this->settingsPath.c_str(), 1);
  execl("target/fireflytrail", "target/fireflytrail", "proxy", nullptr);
  _exit(1);
}

void
EntryDaemon::Signal(int aSignal) const
{
  if (this->process > 0) {
    kill(this->process, aSignal);
  }
}

std::optional<int>
EntryDaemon::TakeEnd()
{
  int status = 0;
  if (this->process <= 0 ||
      waitpid(this->process, &status, WNOHANG) != this->process) {
    return std::nullopt;
  }
  this->process = 0;
  return status;
}

bool
EntryDaemon::WaitUntilReady(std::chrono::milliseconds aTimeout) const
{
  const auto until = steady_clock::now() + aTimeout;
  while (steady_clock::now() < until) {
    const auto connection = Connection::Open(this->ports.ready);
    if (connection &&
        connection->Write("GET /ready HTTP/1.1\r\nHost: platform\r\n\r\n")) {
      const auto answer = connection->Read(1s);
      if (answer && answer->Status() == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

std::size_t
EntryDaemon::ResidentBytes() const
{
  std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace fireflytrail::review
