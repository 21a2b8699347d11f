#include "Deployment.h"

#include "Recorder.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include <sys/wait.h>

namespace fireflytrail::review {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

constexpr auto kRestartDelay = 500ms;
// A machine is in touch after `StabilityWindowMs`.
constexpr auto kStabilityWindow = 3000ms;
constexpr unsigned kEndsThatCount = 3;

std::string
TemporaryFolder()
{
  std::string path =
    (std::filesystem::temp_directory_path() / "review-2.XXXXXX").string();
  return mkdtemp(path.data()) == nullptr ? std::string(".") : path;
}

/** Returns the last line of a log that tells of a failure. */
std::string
LastFailure(const std::string& aPath)
{
  std::ifstream log(aPath);
  std::string failure;
  for (std::string line; std::getline(log, line);) {
    if (line.find("daemon_failed") != std::string::npos ||
        line.find("crash") != std::string::npos) {
      failure = line;
    }
  }
  return failure;
}

} // namespace

Deployment::Deployment(Recorder& aRecorder)
  : recorder(aRecorder)
  , folder(TemporaryFolder())
{
}

void
Deployment::End()
{
  this->daemons.clear();
  if (this->folder != ".") {
    std::filesystem::remove_all(this->folder);
  }
}

BackendServer&
Deployment::AddServer(const std::string& aId,
                      const std::string& aService,
                      BackendServer::Spoiler aSpoiler)
{
  BackendServer& server = this->servers.emplace_back(
    aId, aService, this->recorder, std::move(aSpoiler));
  this->store.Put("servers", aId, server.Entry("ready"));
  return server;
}

EntryDaemon&
Deployment::AddDaemon(const std::string& aName, std::size_t aMemoryMb)
{
  const EntryDaemon* const seed =
    this->daemons.empty() ? nullptr : &this->daemons.front();
  EntryDaemon& daemon = this->daemons.emplace_back(
    aName, this->store.Port(), seed, this->folder, aMemoryMb);
  daemon.Start();
  this->recorder.Write("daemon " + aName + " is started");
  return daemon;
}

bool
Deployment::WaitUntilInTouch()
{
  this->Supervise(kRestartDelay + 100ms);
  for (const EntryDaemon& daemon : this->daemons) {
    if (!daemon.WaitUntilReady(10s)) {
      this->recorder.Write("daemon " + daemon.Name() + " is not ready");
      return false;
    }
  }
  this->Supervise(kStabilityWindow + 500ms);
  return true;
}

void
Deployment::Supervise(std::chrono::milliseconds aTime)
{
  const auto until = steady_clock::now() + aTime;
  do {
    for (EntryDaemon& daemon : this->daemons) {
      if (const auto status = daemon.TakeEnd()) {
        const bool isSignal = WIFSIGNALED(*status);
        this->recorder.Write(
          "daemon " + daemon.Name() + " has ended by itself, " +
          (isSignal ? "signal " + std::to_string(WTERMSIG(*status))
                    : "exit code " + std::to_string(WEXITSTATUS(*status))) +
          "; its log: " +
          LastFailure(this->folder + "/" + daemon.Name() + ".log"));
        this->CountOwnEnd(daemon);
      }
      const auto ended = this->endedAt.find(daemon.Name());
      if (!daemon.IsRunning() && ended != this->endedAt.end() &&
          steady_clock::now() - ended->second >= kRestartDelay) {
        daemon.Start();
        this->endedAt.erase(ended);
        this->recorder.Write("the platform starts daemon " + daemon.Name() +
                             " again");
      }
    }
    std::this_thread::sleep_for(10ms);
  } while (steady_clock::now() < until);
}

bool
Deployment::HasRun(const std::string& aRequestId, const std::string& aExcept)
{
  return std::ranges::any_of(this->servers, [&](BackendServer& aServer) {
    return aServer.Id() != aExcept &&
           std::ranges::any_of(aServer.Runs(),
                               [&](const BackendServer::Run& aRun) {
                                 return aRun.id == aRequestId;
                               });
  });
}

unsigned
Deployment::OwnEnds(const EntryDaemon& aDaemon) const
{
  const auto found = this->ownEnds.find(aDaemon.Name());
  return found == this->ownEnds.end() ? 0 : found->second;
}

unsigned
Deployment::DaemonsWithThreeEnds() const
{
  return static_cast<unsigned>(
    std::ranges::count_if(this->ownEnds, [](const auto& aEntry) {
      return aEntry.second >= kEndsThatCount;
    }));
}

void
Deployment::Kill(EntryDaemon& aDaemon, const std::string& aReason)
{
  this->recorder.Write("the platform kills daemon " + aDaemon.Name() +
                       ", which " + aReason);
  aDaemon.Signal(SIGKILL);
  while (!aDaemon.TakeEnd()) {
    std::this_thread::sleep_for(1ms);
  }
  this->CountOwnEnd(aDaemon);
}

void
Deployment::CountOwnEnd(const EntryDaemon& aDaemon)
{
  ++this->ownEnds[aDaemon.Name()];
  this->endedAt[aDaemon.Name()] = steady_clock::now();
}

} // namespace fireflytrail::review
