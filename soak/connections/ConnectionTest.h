#pragma once

#include "soak/DaemonProcess.h"
#include "soak/ObjectStore.h"
#include "soak/RequestHistory.h"
#include "soak/Server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fireflytrail::soak {

/**
 * Runs one entry daemon as a process with servers and callers that pipeline
 * requests, cut them into packets at random places, send slowly, stall, and
 * close only their sending side. Checks that each request is answered once, in
 * order. Not thread-safe.
 */
class ConnectionTest
{
public:
  struct Options
  {
    std::string program;
    std::string folder;
    std::uint16_t basePort = 0;
    std::uint64_t seed = 1;
    std::chrono::seconds duration{ 6 };
    unsigned callers = 8;
  };

  explicit ConnectionTest(Options aOptions);
  ~ConnectionTest();
  ConnectionTest(const ConnectionTest&) = delete;
  ConnectionTest& operator=(const ConnectionTest&) = delete;

  /** Runs the test; returns a description of each violation. Call once. */
  const std::vector<std::string>& Run();

  /** Returns the number of requests by the status of their answer, and by the
   * reason if there was none. Call after `Run`. */
  std::string Summary() const;

private:
  struct Request
  {
    std::string id;
    std::string target;
    std::string body;
    std::string bytes;
    std::size_t headBytes = 0;
  };

  /** How a caller uses one connection. */
  struct Script
  {
    std::vector<Request> requests;
    std::string bytes;
    /** Number of bytes that are sent; fewer than all if the caller stalls. */
    std::size_t sentBytes = 0;
    std::chrono::milliseconds maxPause{ 0 };
    bool closesSendingSide = false;
  };

  boost::asio::awaitable<void> RunTest();
  boost::asio::awaitable<void> RunCaller();
  boost::asio::awaitable<void> RunScript(Script aScript);
  boost::asio::awaitable<void> Send(
    std::shared_ptr<boost::asio::ip::tcp::socket> aSocket,
    Script aScript);
  boost::asio::awaitable<void> Wait(std::chrono::milliseconds aTime);
  boost::asio::awaitable<bool> WaitUntilReady();
  void Configure();
  Script MakeScript();
  Request MakeRequest();
  /** Checks the time that a server is allowed for a request. */
  void CheckTimeLeft(const HttpRequest& aRequest);
  void OnUnanswered(const Script& aScript,
                    std::size_t aAnswered,
                    bool aIsAllowed);
  std::uint64_t RandomBelow(std::uint64_t aLimit);

  Options options;
  boost::asio::io_context context;
  std::mt19937_64 random;
  RequestHistory history;
  ObjectStore store;
  std::vector<std::unique_ptr<Server>> servers;
  std::unique_ptr<DaemonProcess> daemon;
  std::map<std::string, std::size_t> counts;
  /** Time at which the head had been sent of the first request of each
   * connection; the time of a later one counts from when it is read. */
  std::map<std::string, std::chrono::steady_clock::time_point> headTimes;
  unsigned requestNumber = 0;
  unsigned runningCallers = 0;
  bool isOver = false;
};

} // namespace fireflytrail::soak
