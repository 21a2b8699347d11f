#pragma once

#include "review/standins/Record.h"
#include "soak/DaemonProcess.h"
#include "soak/ObjectStore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace fireflytrail::review {

class Backend;

/**
 * A small deployment on loopback addresses: the daemons as processes of their
 * own, and stand-ins for the platform's store, its balancer and the instances.
 * Use it only on the context's thread.
 */
class Deployment
{
public:
  /** A daemon's machine as the platform sees it. */
  struct Machine
  {
    std::string name;
    std::unique_ptr<soak::DaemonProcess> process;
    bool isReady = false;
    unsigned misses = 0;
    /** Whether the platform has started a planned stop of it. */
    bool isStopping = false;
  };

  /** One route of the desired state. */
  struct Route
  {
    std::string service;
    bool isRepeatable = false;
    std::chrono::milliseconds timeout;
    std::chrono::milliseconds goal;
    unsigned priority = 0;
    unsigned maxAttempts = 2;
  };

  /** What a requester sends. */
  struct Call
  {
    std::string service;
    bool isRepeatable = false;
    std::chrono::milliseconds budget;
    std::string body;
    /** Pause in the middle of the body. */
    std::chrono::milliseconds pause{ 0 };
  };

  Deployment(boost::asio::io_context& aContext, Record& aRecord);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Writes the desired state with one route and one service for each. */
  void Configure(const std::vector<Route>& aRoutes);

  /** Registers an instance in the store. */
  void Add(const Backend& aInstance);

  /** Starts `aCount` daemons and the balancer's checks. */
  void Start(unsigned aCount);

  Machine& At(std::size_t aIndex) { return *this->machines.at(aIndex); }
  std::size_t Count() const { return this->machines.size(); }
  soak::ObjectStore& Store() { return this->store; }

  /** Sends one request to a daemon and waits for the answer; returns its
   * status, or 0 if the connection ended without one. */
  boost::asio::awaitable<int> Send(Machine& aMachine, Call aCall);

  /** Sends bytes on a new connection and returns what arrives on it until it is
   * closed or `aTime` has passed. */
  boost::asio::awaitable<std::string> Exchange(Machine& aMachine,
                                               std::string aBytes,
                                               std::chrono::milliseconds aTime);

  /** Returns a daemon that takes new connections, in turn; nothing if there is
   * none. */
  Machine* Next();

  /** Waits until all daemons are ready; returns false after 10 s. */
  boost::asio::awaitable<bool> WaitUntilReady();

  boost::asio::awaitable<void> Wait(std::chrono::milliseconds aTime);

  /** Ends all daemons. */
  void Stop();

private:
  boost::asio::awaitable<void> CheckReadiness(Machine& aMachine);
  boost::asio::awaitable<void> RestartWhenEnded(Machine& aMachine);

  boost::asio::io_context& context;
  Record& record;
  soak::ObjectStore store;
  boost::asio::ip::tcp::endpoint storeEndpoint;
  std::string folder;
  std::vector<std::unique_ptr<Machine>> machines;
  std::size_t turn = 0;
  std::uint64_t lastId = 0;
  unsigned version = 0;
  bool isOver = false;
};

} // namespace fireflytrail::review
