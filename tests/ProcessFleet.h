#pragma once

#include "soak/DaemonProcess.h"
#include "soak/HttpService.h"
#include "soak/ObjectStore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace fireflytrail::test {

/**
 * Two entry daemons as processes that start at a store with ten servers, for
 * Boost.Test. All methods are to be called from one thread.
 */
class ProcessFleet
{
public:
  static constexpr std::size_t kServers = 10;
  static constexpr std::array kHosts = { "127.0.10.70", "127.0.10.71" };
  /** Port of the callers' connections on each host. */
  static constexpr std::uint16_t kCallerPort = 18'720;

  ProcessFleet();
  /** Kills the daemons. */
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  static std::string ServerName(std::size_t aIndex);

  /** Starts a server and registers it. Call before `Start`. */
  void AddServer(const std::string& aName);

  /** Runs the store and the servers, then starts both daemons. The store must
   * not be used after that. */
  void Start();

  /** Sends a request to a daemon on a connection of its own; returns the
   * answer, empty if there is none. */
  static std::string Request(const char* aHost);

  static bool IsServed(const std::string& aAnswer);

  /** Waits until both daemons serve, as long as the platform's limit allows. */
  void AwaitService() const;

  /** Checks that both daemons serve within the platform's limit, and that
   * `aServers` servers get work. */
  void CheckService(std::size_t aServers = kServers);

  /** Returns how many requests for pages of lists the store has received. */
  std::size_t ListCount();

  /** Checks that the log of each daemon has a text. */
  void CheckLogs(const std::string& aText) const;

  /** Checks that no daemon's log has a text. */
  void CheckLogsLack(const std::string& aText) const;

  boost::asio::io_context context{ 1 };
  soak::ObjectStore store{ this->context };
  std::vector<std::unique_ptr<soak::DaemonProcess>> daemons;
  /** Whether a request at a server had a field that no caller sent. */
  std::atomic<bool> hasSmuggledField = false;
  /** Optional. Called on the servers' thread for each request that a server
   * runs, which it answers after the time returned. Set before `Start`. */
  std::function<std::chrono::milliseconds(const soak::HttpRequest&)> workTime;

private:
  boost::asio::awaitable<std::optional<soak::HttpResponse>> Serve(
    const std::string& aName,
    soak::HttpRequest aRequest);

  std::string folder;
  std::uint16_t storePort = 0;
  std::vector<std::shared_ptr<soak::HttpService>> servers;
  std::thread thread;
};

} // namespace fireflytrail::test
