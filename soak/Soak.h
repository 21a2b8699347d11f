#pragma once

#include "soak/Ledger.h"
#include "soak/ObjectStore.h"

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

/** The size and the length of a run. */
struct SoakPlan
{
  std::uint64_t seed = 1;
  std::chrono::seconds length{ 15 };
  unsigned daemons = 4;
  unsigned servers = 6;
  unsigned callers = 12;
  std::string program;
  std::string folder;
  std::uint16_t basePort = 0;
};

/**
 * Runs entry daemons as processes with stand-ins around them, injects faults
 * drawn from a seed, in series that overlap, and checks the promises of
 * docs/platform.md from what callers and servers see. Not thread-safe.
 */
class Soak
{
public:
  /** `aLog` receives a line for each fault. */
  Soak(SoakPlan aPlan, std::function<void(const std::string&)> aLog);
  ~Soak();
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  /** Runs to the end; returns what was broken. Call once. */
  const std::vector<std::string>& Run();

  const Ledger& Results() const { return this->ledger; }

private:
  struct Host;
  using TimePoint = std::chrono::steady_clock::time_point;

  boost::asio::awaitable<void> Play();
  boost::asio::awaitable<void> InjectFaults();
  boost::asio::awaitable<void> WatchReadiness(Host& aHost);
  boost::asio::awaitable<void> KeepRunning(Host& aHost);
  boost::asio::awaitable<void> Wait(std::chrono::milliseconds aTime);
  void Draw();
  void DrawStoreFault();
  void DrawServerFault();
  void DrawDaemonFault();
  void StopInOrder(Host& aHost);
  void DrainServer(Server& aServer);
  void ChangeConfiguration();
  void RegisterServer(Server& aServer);
  void OnCut(const boost::asio::ip::tcp::endpoint& aDaemon,
             const std::string& aId);
  /** Notes a fault that excuses for some time. */
  void Disturb(std::chrono::milliseconds aTime);
  /** Undoes a fault after a time. */
  void Later(std::chrono::milliseconds aTime, std::function<void()> aFunction);
  std::uint64_t Below(std::uint64_t aLimit) { return this->random() % aLimit; }
  Host& AnyHost();
  Server& AnyServer();

  SoakPlan plan;
  std::function<void(const std::string&)> log;
  boost::asio::io_context context{ 1 };
  std::mt19937_64 random;
  Ledger ledger;
  ObjectStore store;
  boost::asio::ip::tcp::endpoint storeEndpoint;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Caller>> callers;
  unsigned version = 0;
  bool isOver = false;
  /** Until then an unplanned fault excuses lost connections. */
  TimePoint disturbedUntil{};
  std::size_t successesBeforeEnd = 0;
};

} // namespace fireflytrail::soak
