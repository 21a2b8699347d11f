#pragma once

#include "soak/ObjectStore.h"
#include "soak/RequestHistory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fireflytrail::soak {

class Caller;
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

private:
  struct Host;
  using TimePoint = std::chrono::steady_clock::time_point;

  /** Starts the callers, injects faults, checks the recovery and stops. */
  boost::asio::awaitable<void> RunTest();
  boost::asio::awaitable<void> InjectFaults();
  /** Keeps `Host::isReady` up to date. */
  boost::asio::awaitable<void> PollReadiness(Host& aHost);
  /** Restarts the daemon of a host whenever it exits. */
  boost::asio::awaitable<void> RestartOnExit(Host& aHost);
  boost::asio::awaitable<void> Wait(std::chrono::milliseconds aTime);
  void InjectRandomFault();
  void InjectStoreFault();
  void InjectServerFault();
  void InjectDaemonFault();
  void StopGracefully(Host& aHost);
  void DrainServer(Server& aServer);
  void LimitServer(Server& aServer);
  void PauseServer(Server& aServer);
  /** Publishes a new configuration version and checks later that each daemon
   * has applied it. */
  void ChangeConfiguration();
  /** Writes the current registration of a server to the store. */
  void RegisterServer(Server& aServer);
  void OnConnectionLost(const boost::asio::ip::tcp::endpoint& aDaemon,
                        const std::string& aId);
  /** Starts or extends the grace period for a fault that lasts `aTime`. Also
   * waives the drain deadlines of all servers. */
  void ExtendGracePeriod(std::chrono::milliseconds aTime);
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
  RequestHistory history;
  ObjectStore store;
  boost::asio::ip::tcp::endpoint storeEndpoint;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Caller>> callers;
  unsigned configurationVersion = 0;
  bool isOver = false;
  /** End of the grace period. During it, lost connections, late configurations
   * and missed drain deadlines are not reported, because an unplanned fault may
   * cause them. */
  TimePoint graceUntil{};
  std::size_t successesBeforeEnd = 0;
};

} // namespace fireflytrail::soak
