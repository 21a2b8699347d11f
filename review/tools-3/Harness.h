#pragma once

#include "soak/DaemonProcess.h"
#include "soak/HttpService.h"
#include "soak/ObjectStore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fireflytrail::review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/** Exit codes of a case. */
enum class Verdict : int
{
  Held = 0,
  Broken = 1,
  CouldNotRun = 2,
};

/** A route of the desired state. */
struct RouteSpec
{
  std::string name;
  std::string prefix;
  std::string service;
  bool isIdempotent = false;
  unsigned maxAttempts = 2;
  unsigned timeoutMs = 2000;
};

/** What a caller received. */
struct Reply
{
  /** 0 if the connection ended without a complete answer. */
  unsigned status = 0;
  std::string id;
  std::string signature;
  std::string body;
};

/**
 * Entry daemons as processes, a store and callers, all on loopback addresses.
 * Use it only on the context's thread.
 */
class Harness
{
public:
  /** `aProgram` is the daemon's program, `aFolder` an existing folder for its
   * settings and logs, `aRecord` the path of the record. */
  Harness(std::string aProgram, std::string aFolder, std::string aRecord);
  ~Harness();
  Harness(const Harness&) = delete;
  Harness& operator=(const Harness&) = delete;

  /** Writes the desired state `aVersion`. */
  void PutConfiguration(unsigned aVersion,
                        const std::vector<RouteSpec>& aRoutes,
                        const std::vector<std::string>& aServices);

  /** Finds ports for `aCount` daemons; returns false if there are none. Call
   * before the methods below. */
  bool FindPorts(unsigned aCount);

  /** Sets the port at which a daemon finds the store, before its start. */
  void SetStorePort(unsigned aDaemon, std::uint16_t aPort);

  /** Sets the zone of a daemon, before its start; by default a, b and c in
   * turn. */
  void SetZone(unsigned aDaemon, std::string aZone);

  std::uint16_t StorePort() const { return this->storePort; }

  /** Starts the daemons. */
  void StartDaemons();

  /** Returns which daemon dispatches the requests to a service while all
   * daemons are up: the first in the order of `proxy::SlotBroker`. */
  unsigned DispatcherOf(const std::string& aService) const;

  /** Returns the daemons in the order in which they watch the store, as in
   * `proxy::StoreRelay`. */
  std::vector<unsigned> WatchOrder() const;

  /** Starts a daemon that has ended. */
  void Restart(unsigned aDaemon);

  /** Whether the platform's last question found a daemon ready. */
  boost::asio::awaitable<bool> IsReady(unsigned aDaemon);

  /** Sends one request on a new connection; returns after `aTimeout` at the
   * latest. */
  boost::asio::awaitable<Reply> Request(unsigned aDaemon,
                                        std::string aMethod,
                                        std::string aTarget,
                                        std::string aId,
                                        std::string aBody,
                                        Milliseconds aTimeout);

  boost::asio::awaitable<void> Wait(Milliseconds aTime);

  void Spawn(std::function<boost::asio::awaitable<void>()> aFunction);

  /** Whether SIGTERM or SIGINT has ended the case early. */
  bool IsInterrupted() const { return this->isInterrupted; }

  /** Adds a line with the time to the record. */
  void Record(const std::string& aText);

  /** Milliseconds since the begin. */
  long Elapsed(TimePoint aTime = Clock::now()) const;

  boost::asio::io_context context{ 1 };
  soak::ObjectStore store{ this->context };
  std::vector<std::unique_ptr<soak::DaemonProcess>> daemons;

private:
  /** Returns the daemons in the order of their weights for a key, the highest
   * first. */
  std::vector<unsigned> OrderOf(const std::string& aKey) const;

  /** Name of a daemon for the others. */
  std::string PeerNameOf(unsigned aDaemon) const;

  std::string program;
  std::string folder;
  std::ofstream record;
  TimePoint begin = Clock::now();
  boost::asio::signal_set signals{ this->context, SIGTERM, SIGINT };
  bool isInterrupted = false;
  std::uint16_t storePort = 0;
  std::uint16_t basePort = 0;
  /** Ports of the store by daemon. */
  std::vector<std::uint16_t> storePorts;
  std::vector<std::string> zones;
};

/** Number of the variable, or the default. */
int
NumberOf(const char* aVariable, int aDefault);

} // namespace fireflytrail::review
