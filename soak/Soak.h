#pragma once

#include "soak/Caller.h"
#include "soak/KeyRing.h"
#include "soak/ObjectStore.h"
#include "soak/OddEntries.h"
#include "soak/RequestHistory.h"
#include "soak/UsageReports.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fireflytrail::soak {

class DaemonProcess;
class FaultLink;
class Server;

/** Size, duration and endpoints of a run. */
struct SoakPlan
{
  std::uint64_t seed = 1;
  /** Time during which faults are injected. */
  std::chrono::seconds faultTime{ 15 };
  unsigned daemons = 4;
  unsigned servers = 6;
  unsigned callers = 12;
  /** Path of the fireflytrail program. */
  std::string program;
  /** Receives the settings files and logs of the daemons. */
  std::string folder;
  /** First port of each daemon; see `DaemonProcess::Options`. */
  std::uint16_t basePort = 0;
  /** Whether some daemons are started while their predecessor still stops. */
  bool hasSuccessors = false;
  /** Whether some callers close their sending half after the request. */
  bool hasHalfClosing = false;
  /** Whether servers answer some requests with a status that is none. */
  bool hasOddStatuses = false;
  /** Whether another writer leaves odd entries in the store, whose lists then
   * have short pages. */
  bool hasOddEntries = false;
  /** Whether the store comes back from older copies of itself. */
  bool hasOlderCopies = false;
};

/**
 * Runs entry daemons as processes with stand-ins for the store, the servers and
 * the callers, injects random, overlapping faults that depend on the seed, and
 * checks the guarantees of docs/platform.md from what callers and servers
 * observe. Not thread-safe.
 */
class Soak
{
public:
  /** `aLog` receives a line for each fault. */
  Soak(SoakPlan aPlan, std::function<void(const std::string&)> aLog);
  ~Soak();
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  /** Runs the whole test; returns the violations of guarantees. Call once. */
  const std::vector<std::string>& Run();

  const RequestHistory& Results() const { return this->history; }

  /** Numbers of lost requests that break no guarantee, by the reason. */
  struct Excuses
  {
    /** The daemon was killed or paused. */
    std::size_t daemon = 0;
    /** A server that had received the request failed. */
    std::size_t server = 0;
    /** The request crossed the close of a connection that had been in use. */
    std::size_t crossing = 0;
  };
  const Excuses& ExcusedLosses() const { return this->excuses; }

private:
  struct Host;
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Starts the callers, injects faults, checks the recovery and stops. */
  boost::asio::awaitable<void> RunTest();
  boost::asio::awaitable<void> InjectFaults();
  /** Writes and removes odd entries until the end of the run. */
  boost::asio::awaitable<void> WriteOddEntries();
  /** Lets the store come back from older copies until the faults end. */
  boost::asio::awaitable<void> ReturnOlderCopies();
  /** Keeps `Host::isReady` up to date. */
  boost::asio::awaitable<void> PollReadiness(Host& aHost);
  /** Restarts the daemon of a host whenever it exits, and checks each exit. */
  boost::asio::awaitable<void> RestartOnExit(Host& aHost);
  boost::asio::awaitable<void> Wait(std::chrono::milliseconds aTime);
  /** Starts the process of a host and sends the signals that wait for it. */
  void StartDaemon(Host& aHost);
  void StartCaller(Caller::Kind aKind,
                   std::function<std::optional<boost::asio::ip::tcp::endpoint>(
                     bool aMustBeReady)> aDaemon,
                   std::function<bool()> aIsOver);
  void InjectPlannedOperation();
  void InjectRandomFault();
  void InjectStoreFault();
  void InjectServerFault();
  void InjectDaemonFault();
  /** Acknowledges a configuration or a leaving server and kills all daemons. */
  void LosePower();
  void Kill(Host& aHost);
  void StopGracefully(Host& aHost);
  /** Stops several daemons one after the other while configurations change and
   * servers leave. */
  void StopInSeries();
  /** Stops a daemon and signals its successor up to 20 ms after its start, at
   * times while the settings file is rewritten. */
  void StopAndSignalSuccessor(Host& aHost);
  void SignalTwice(Host& aHost);
  /** Changes the settings file at once or in two parts, with or without a
   * signal. */
  void ChangeSettings(Host& aHost);
  /** Lets a server leave, in order or silently; it ends after `aEndDelay`. */
  void DrainServer(Server& aServer, std::chrono::milliseconds aEndDelay);
  void LimitServer(Server& aServer);
  void PauseServer(Server& aServer);
  /** Publishes a new configuration version and checks later that each daemon
   * has applied it. */
  void ChangeConfiguration();
  boost::asio::awaitable<void> CheckConfiguration(Host& aHost,
                                                  unsigned aVersion,
                                                  TimePoint aPublishedAt);
  /** Writes the current registration of a server to the store. */
  void RegisterServer(Server& aServer);
  /** Checks the key and the organisation of a request that a server runs. */
  void CheckIdentity(const HttpRequest& aRequest);
  /** Checks that the key of a request may be refused now. */
  void CheckDenial(const std::string& aId);
  /** Returns from when on a daemon must apply a configuration. */
  TimePoint ConfigurationDueAt(const Host& aHost, TimePoint aPublishedAt) const;
  /** Reports keys in the logs of the daemons. */
  void CheckLogs();
  void OnRequestLost(const Caller::LostRequest& aRequest);
  /** Checks a lost request against the guarantees, when the servers have
   * recorded it. */
  void JudgeLostRequest(const Caller::LostRequest& aRequest);
  /** Reports the exit of a process unless the soak has asked for it. */
  void JudgeExit(const DaemonProcess& aProcess);
  /** Kills a process that outlives the time for a stop, and reports it. */
  void EndOverdueStop(Host& aHost, DaemonProcess& aProcess);
  /** Waives the checks of limits and pauses during a fault that lasts `aTime`
   * and some time after it. */
  void WaiveNotices(std::chrono::milliseconds aTime);
  /** Returns the host with an address; null if there is none. */
  Host* HostAt(const std::string& aAddress);
  /** Calls a function after a time, for example to end a fault. */
  void RunAfter(std::chrono::milliseconds aTime,
                std::function<void()> aFunction);
  /** Returns a random number from 0 to `aLimit` - 1. */
  std::uint64_t RandomBelow(std::uint64_t aLimit)
  {
    return this->random() % aLimit;
  }
  Host& RandomHost();
  Server& RandomServer();

  SoakPlan plan;
  std::function<void(const std::string&)> log;
  boost::asio::io_context context{ 1 };
  std::mt19937_64 random;
  /** Separate, so that the faults do not depend on the callers' timing. */
  std::mt19937_64 callerRandom;
  RequestHistory history;
  ObjectStore store;
  OddEntries oddEntries;
  boost::asio::ip::tcp::endpoint storeEndpoint;
  UsageReports usageReports;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Caller>> callers;
  /** Has random numbers of its own, so that the faults do not depend on it. */
  KeyRing keyRing;
  unsigned configurationVersion = 0;
  bool isOver = false;
  /** Until then limits and pauses of servers aren't checked. */
  TimePoint noticesWaivedUntil{};
  /** End of the last disruption of the store, and of the time that the daemons
   * then have to be in touch. */
  TimePoint storeDisruptedUntil{};
  /** End of the last fault of each server and its link, by server id. */
  std::map<std::string, TimePoint> serverDisruptedUntil;
  Excuses excuses;
};

} // namespace fireflytrail::soak
