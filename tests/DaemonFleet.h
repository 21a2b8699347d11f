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

/** Answer of a daemon as a caller sees it. */
struct CallerAnswer
{
  /** 0 if the connection ended without a complete answer. */
  unsigned status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

/**
 * Whole daemons, the platform stand-in and backend server stand-ins in one
 * process on loopback. Each daemon has its own threads, as in its own process.
 */
class DaemonFleet
{
public:
  /** Starts the stand-ins and the daemons; `aText` is submitted first. */
  DaemonFleet(std::string aText, std::size_t aDaemons);
  ~DaemonFleet();
  DaemonFleet(const DaemonFleet&) = delete;
  DaemonFleet& operator=(const DaemonFleet&) = delete;

  /** Adds servers and puts them into the platform's host list. */
  void AddServers(const boost::json::object& aSettings);

  /** Applies a control object to the servers or the platform. */
  boost::json::object ControlServers(const boost::json::object& aControl);
  void ControlPlatform(const boost::json::object& aControl);

  /** Starts one more daemon and returns its index. */
  std::size_t StartDaemon();

  /** Requests a graceful stop and returns at once. */
  void RequestStop(std::size_t aDaemon);

  /** Waits until a daemon has stopped. */
  void AwaitStop(std::size_t aDaemon);

  /** Sends a call on a new connection and returns its answer. */
  CallerAnswer Call(std::size_t aDaemon,
                    std::string_view aMethod,
                    std::string_view aTarget,
                    const std::map<std::string, std::string>& aHeaders = {},
                    const std::string& aBody = {}) const;

  /** Sends a call and closes the connection after the time. */
  void CallAndLeave(std::size_t aDaemon,
                    std::string_view aMethod,
                    std::string_view aTarget,
                    const std::map<std::string, std::string>& aHeaders,
                    const std::string& aBody,
                    std::chrono::milliseconds aTime) const;

  /** Takes one ticket from a daemon. */
  std::string TakeTicket(std::size_t aDaemon) const;

  /** Returns a page of the operators' port as JSON. */
  boost::json::object Page(std::size_t aDaemon, std::string_view aTarget) const;

  /** Returns how often a request was run. */
  unsigned RunCountOf(const std::string& aRequestId);

  /** Waits until the condition holds; returns false after 20 s. */
  static bool Await(const std::function<bool()>& aCondition);

  /** Waits until every running daemon is ready and sees all others alive. */
  bool AwaitReady();

  /** Writes the desired state with the change applied to it. */
  void ChangeDesired(
    const std::function<void(configuration::DesiredState&)>& aChange);

private:
  struct Running
  {
    std::unique_ptr<daemon::Controller> controller;
    std::thread thread;
    bool isJoined = false;
  };

  void OnStandins(const std::function<void()>& aFunction);

  core::Log log;
  boost::asio::io_context context{ 1 };
  standins::PlatformStandin platform;
  standins::ServerFleet servers;
  std::thread standinThread;
  std::vector<Running> daemons;
};

} // namespace fireflytrail::tests
