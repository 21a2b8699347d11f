#pragma once

#include "soak/HttpService.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>

namespace fireflytrail::soak {

class FaultLink;
class RequestHistory;

/** Prefix of the paths of the second service; its servers run no others. */
inline constexpr std::string_view kSecondServicePrefix = "/second/";
inline constexpr std::string_view kSecondService = "second";
/** The same of a public route, which needs no key. */
inline constexpr std::string_view kPublicPrefix = "/public/";
/** The same of a service that has no servers. */
inline constexpr std::string_view kAbsentServicePrefix = "/absent/";
inline constexpr std::string_view kAbsentService = "absent";

/**
 * A stand-in for a backend server behind a `FaultLink`: runs requests up to a
 * limit, refuses more, and can crash, slow down and drain. Use it only on
 * the context's thread.
 */
class Server
{
public:
  Server(boost::asio::io_context& aContext,
         RequestHistory& aHistory,
         std::string aService,
         std::string aDomain,
         std::uint64_t aSeed);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** Sets a function that is called with each request that is run. */
  void SetRunObserver(std::function<void(const HttpRequest&)> aObserver)
  {
    this->runObserver = std::move(aObserver);
  }

  /** Starts to listen as a new instance with a new id. */
  void Start();

  /** Stops as if the process crashed: running requests get no response. */
  void Crash();

  bool IsUp() const { return this->isUp; }

  /** Sets the factor by which the service time is multiplied. */
  void SetSlowdown(unsigned aFactor) { this->slowdown = aFactor; }

  /** Returns whether a request that arrives at a leaving server after its
   * deadline is excused. */
  using ExcuseFunction = std::function<bool(const std::string& aRequestId)>;

  /** Starts draining. A request that arrives after `aDeadline` is a violation
   * unless `aIsExcused` returns true. This changes `Registration`, which must
   * then be written to the store. */
  void Drain(std::chrono::steady_clock::time_point aDeadline,
             ExcuseFunction aIsExcused);

  /** As `Drain`, but the server reports nothing: its object is removed from the
   * store while it serves on. */
  void LeaveSilently(std::chrono::steady_clock::time_point aDeadline,
                     ExcuseFunction aIsExcused);

  /**
   * Names a limit, in requests a second from all daemons together, in all
   * responses until `ClearLimit`. More requests than the platform allows are a
   * violation.
   */
  void SetLimit(double aRequestsPerSecond);

  void ClearLimit();

  /**
   * Refuses all requests for a time and states that the server wants none until
   * then. Further requests than the platform allows `aDaemons` daemons are a
   * violation.
   */
  void Pause(std::chrono::milliseconds aTime, std::size_t aDaemons);

  /** Permits the requests of one more daemon during the pause, which it does
   * not know when it starts. */
  void PermitStartedDaemon();

  /** Checks neither the limit nor the pause that are in force now; call if a
   * fault may delay the daemons or make them decide alone. */
  void WaiveNotices();

  const std::string& Id() const { return this->id; }
  const std::string& Service() const { return this->service; }

  /** Returns the number of requests that this object has started to run. */
  std::size_t RunCount() const { return this->runCount; }

  /** Whether it is leaving: reported or silently. */
  bool IsLeaving() const { return this->drainDeadline.has_value(); }

  /** Whether it takes requests without a limit of its own, now. */
  bool IsUnrestricted() const;

  FaultLink& Link() { return *this->link; }

  /** Returns the `Spec` of the server's object in the store. */
  boost::json::value Registration() const;

private:
  boost::asio::awaitable<std::optional<HttpResponse>> Handle(
    HttpRequest aRequest);
  /** Sets the load report and the notices of a response. */
  void SetStateHeaders(HttpResponse& aResponse) const;
  /** Counts a request against the limit and the pause. */
  void CheckNotices(const std::string& aRequestId);

  boost::asio::io_context& context;
  RequestHistory& history;
  std::string service;
  std::string domain;
  std::mt19937_64 random;
  std::function<void(const HttpRequest&)> runObserver;
  std::shared_ptr<HttpService> http;
  std::shared_ptr<FaultLink> link;
  std::string id;
  std::uint64_t createdAtMs = 0;
  bool isUp = false;
  unsigned slowdown = 1;
  unsigned running = 0;
  std::size_t runCount = 0;
  /** Incremented by each start and crash, so that a request that began before
   * gets no response. */
  unsigned generation = 0;
  std::optional<std::chrono::steady_clock::time_point> drainDeadline;
  ExcuseFunction isLateExcused;
  bool isDraining = false;
  std::optional<double> limit;
  /** Time from which the limit and the pause are checked. */
  std::chrono::steady_clock::time_point limitCheckedFrom;
  std::chrono::steady_clock::time_point pauseCheckedFrom;
  std::chrono::steady_clock::time_point pausedUntil;
  /** Number of requests that the daemons may send during the pause. */
  std::size_t allowedDuringPause = 0;
  std::size_t arrivedDuringPause = 0;
  /** Arrivals of the last seconds while a limit is in force. */
  std::deque<std::chrono::steady_clock::time_point> arrivals;
};

} // namespace fireflytrail::soak
