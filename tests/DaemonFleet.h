#pragma once

#include "core/Log.h"
#include "daemon/Controller.h"
#include "standins/PlatformStandin.h"
#include "standins/ServerFleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fireflytrail::tests {

/** Answer of a daemon as its caller receives it. */
struct CallerAnswer
{
  /** 0 if the connection ended without a complete answer. */
  unsigned status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/**
 * Complete daemons with stand-ins for the platform and the backend servers, all
 * in one process on loopback. Each daemon has its own threads, as it would in a
 * process of its own.
 */
class DaemonFleet
{
public:
  /** Starts the stand-ins, writes the desired state with the operators' text
   * `aText`, and starts the daemons. */
  DaemonFleet(std::string aText, std::size_t aDaemons);
  ~DaemonFleet();
  DaemonFleet(const DaemonFleet&) = delete;
  DaemonFleet& operator=(const DaemonFleet&) = delete;

  /** Adds servers and registers them in the platform's host list. */
  void AddServers(const boost::json::object& aSettings);

  /** Applies a control object to the server stand-ins or the platform stand-in.
   */
  boost::json::object ControlServers(const boost::json::object& aControl);
  void ControlPlatform(const boost::json::object& aControl);

  /** Starts one more daemon and returns its index. */
  std::size_t StartDaemon();

  /** Requests a graceful stop and returns at once. */
  void RequestStop(std::size_t aDaemon);

  /** Waits until a daemon has stopped. */
  void AwaitStop(std::size_t aDaemon);

  /** Sends a call on a new connection and returns the answer. */
  CallerAnswer Call(std::size_t aDaemon,
                    std::string_view aMethod,
                    std::string_view aTarget,
                    const std::map<std::string, std::string>& aHeaders = {},
                    const std::string& aBody = {}) const;

  /** Sends a call and closes the connection after `aTime` without reading the
   * answer. */
  void CallAndDisconnect(std::size_t aDaemon,
                         std::string_view aMethod,
                         std::string_view aTarget,
                         const std::map<std::string, std::string>& aHeaders,
                         const std::string& aBody,
                         std::chrono::milliseconds aTime) const;

  /** Requests one ticket from a daemon. */
  std::string RequestTicket(std::size_t aDaemon) const;

  /** Returns the JSON document at a path of the operators' port. */
  boost::json::object OperatorPage(std::size_t aDaemon,
                                   std::string_view aTarget) const;

  /** Returns the number of times that servers have run a request. */
  unsigned RunCountOf(const std::string& aRequestId);

  /** Waits until the condition holds; returns false after 20 s. */
  static bool Await(const std::function<bool()>& aCondition);

  /** Waits until every daemon is ready and reports all daemons as alive.
   * Returns false if one does not within the time limit of `Await`. */
  bool AwaitReady();

  /** Reads the desired state, applies a change to it and writes it back. */
  void UpdateDesiredState(
    const std::function<void(configuration::DesiredState&)>& aChange);

private:
  struct RunningDaemon
  {
    std::unique_ptr<daemon::Controller> controller;
    std::thread thread;
    bool isJoined = false;
  };

  /** Runs a function on the stand-ins' thread and waits for its end. */
  void RunOnStandinThread(const std::function<void()>& aFunction);

  core::Log log;
  boost::asio::io_context context{ 1 };
  standins::PlatformStandin platform;
  standins::ServerFleet servers;
  std::thread standinThread;
  std::vector<RunningDaemon> daemons;
};

} // namespace fireflytrail::tests
