#pragma once

#include "standins/HttpServer.h"
#include "standins/InstanceSettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace fireflytrail::standins {

class ServerFleet;

/**
 * One backend server: a port, a number of slots and a queue. Each call, probe
 * and new connection occupies one slot for its cost. Calls are refused as not
 * run while the instance drains, sheds load or has a full queue, and if their
 * deadline passes before they start. The capacity of a cold instance grows from
 * one call at a time to all its slots during the warm-up time. With more calls
 * than that the instance falls over: it closes all connections and restarts
 * cold after the fall-over time.
 */
class ServerInstance
{
public:
  /** Opens a free port on the address. `aFleet` must outlive the instance. */
  ServerInstance(boost::asio::io_context& aContext,
                 const boost::asio::ip::address& aAddress,
                 InstanceSettings aSettings,
                 ServerFleet& aFleet);

  ~ServerInstance();
  ServerInstance(const ServerInstance&) = delete;
  ServerInstance& operator=(const ServerInstance&) = delete;

  const InstanceSettings& Settings() const;

  /** Changes service time, costs and limits while running. */
  void ChangeSettings(InstanceSettings aSettings);

  /** Returns the entry for the platform's host list. */
  boost::json::object HostEntry() const;

  /** Returns state and counters for `GET /control/instances`. */
  boost::json::object Status() const;

  /** Refuses new calls as not run and reports `draining`. */
  void Drain();

  /** Refuses all new calls as not run while `aEnabled`. */
  void Shed(bool aEnabled);

  /** Reports this in-flight count instead of the true one while set. */
  void Misreport(std::optional<unsigned> aInFlight);

  /** Drops all calls, closes all connections and refuses new ones. */
  void Crash();

  /** Restarts with a new start identifier, cold or warm. Ends draining, but not
   * shedding or misreporting. */
  void Restart(bool aCold);

private:
  using Clock = std::chrono::steady_clock;

  struct Job;
  using JobPointer = std::shared_ptr<Job>;

  void Handle(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleCall(const std::shared_ptr<HttpExchange>& aExchange);
  void Enqueue(const JobPointer& aJob);
  void StartQueuedJobs();
  void Start(const JobPointer& aJob);
  void FinishProbeOrConnect(const JobPointer& aJob);
  void Cancel(const JobPointer& aJob);
  void AnswerCall(const JobPointer& aJob, bool aDeadlinePassed);
  void Refuse(const std::shared_ptr<HttpExchange>& aExchange,
              std::string_view aReason);
  void TakeDown();
  void FallOver();
  bool IsCold() const;
  unsigned Capacity() const;
  std::string_view StateName() const;
  std::string LoadHeader() const;

  boost::asio::io_context& context;
  InstanceSettings settings;
  ServerFleet& fleet;
  std::deque<JobPointer> queue;
  std::set<JobPointer> running;
  std::uint64_t startId = 0;
  Clock::time_point startedAt;
  bool startedCold = false;
  bool isDown = false;
  bool draining = false;
  bool shedding = false;
  std::optional<unsigned> reportedInFlight;
  unsigned inFlightCalls = 0;
  std::uint64_t runCount = 0;
  std::uint64_t refusedCount = 0;
  std::uint64_t cancelledCount = 0;
  std::uint64_t probeCount = 0;
  std::uint64_t connectCount = 0;
  std::uint64_t crashCount = 0;
  std::uint64_t fallOverCount = 0;
  std::chrono::microseconds probeTime{ 0 };
  std::chrono::microseconds connectTime{ 0 };
  boost::asio::steady_timer fallOverTimer;
  HttpServer server;
};

} // namespace fireflytrail::standins
