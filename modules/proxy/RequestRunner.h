#pragma once

#include "calls/CallFlow.h"
#include "configuration/HttpRoute.h"
#include "gateway/CallAnswer.h"
#include "gateway/CallRequest.h"
#include "gateway/ServerExchange.h"
#include "proxy/SlotBroker.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::gateway {
class ServerConnection;
class ServerPool;
}

namespace fireflytrail::proxy {

struct ProxyShared;

/**
 * Runs one request of a route: executes the steps of its `CallFlow` with slots
 * and connections. It keeps itself alive by shared ownership until the request
 * has ended. For use on the daemon's thread only.
 */
class RequestRunner : public std::enable_shared_from_this<RequestRunner>
{
public:
  using AnswerFunction = std::function<void(gateway::CallAnswer)>;

  /**
   * `aShared` must outlive the request. `aService` is the service selected from
   * those of the route, `aConfigurationVersion` the version of the
   * configuration that defines the route. The request counts as in progress
   * until `aCountHolder` is released, which is when the request has ended.
   */
  RequestRunner(ProxyShared& aShared,
                gateway::CallRequest aCall,
                const configuration::HttpRoute& aRoute,
                std::string aService,
                std::uint64_t aConfigurationVersion,
                std::shared_ptr<void> aCountHolder,
                AnswerFunction aOnAnswer);
  ~RequestRunner();
  RequestRunner(const RequestRunner&) = delete;
  RequestRunner& operator=(const RequestRunner&) = delete;

  /** Starts the request. Call once. */
  void Begin();

  /**
   * Ends the request at a time if its deadline is later. Call before `Begin`,
   * or while the request runs; a server that already runs it is not told.
   */
  void LimitDeadline(core::TimePoint aDeadline);

  /**
   * Ends the request because its caller has closed the connection, or only its
   * sending side. A request that is not idempotent and already has a slot runs
   * to its end at the instance. Either way it is answered.
   */
  void CallerGone();

  /**
   * Looks the caller's key up once more, after a change of the configuration,
   * and ends the request if it waits and must not be run any more.
   */
  void CheckKey();

  /** Refuses the request if it waits for a server and may not be sent to one
   * any more, since the daemon stops (see `ProxyShared::mayStart`). */
  void CheckStart();

  /** Logs that the end of the process cuts the request, unless it has ended. */
  void ReportCut() const;

private:
  void StartDeadlineTimer();
  void RunStep(calls::CallStep aStep);
  void ChooseInstance(calls::ChooseStep aStep);
  /** Whether the request may be sent to a server now. */
  bool MayStart() const;
  /** Ends the request, which waits for a server, without sending it. */
  void EndUnsent(core::ErrorKind aKind);
  /** Ends the wait for a slot; returns the number of its request, or 0. */
  std::uint64_t EndWaiting();
  void OnDecided(const routing::DispatchResult& aResult,
                 std::optional<Slot> aSlot);
  /** Returns the priority for the order of service: the organisation's goes
   * before the route's. */
  unsigned Priority() const;
  void SendAttempt(const calls::SendStep& aStep);
  void OnExchange(const gateway::ServerExchange& aExchange);
  void OnConnectionLost(const gateway::ServerExchange& aExchange);
  void EndAttempt(const calls::AttemptResult& aResult);
  /** Calls `onRunBegan` if the server of an attempt that ends with a progress
   * began to run the request. */
  void ReportRun(calls::AttemptProgress aProgress) const;
  void SendAnswer(const calls::AnswerStep& aStep);
  void CancelAttempt(routing::AttemptOutcome aOutcome);
  calls::AttemptProgress Progress() const;
  void LogEnd(const calls::AnswerStep& aStep) const;

  ProxyShared& shared;
  gateway::CallRequest call;
  configuration::HttpRoute route;
  std::string service;
  std::uint64_t configurationVersion;
  std::shared_ptr<void> countHolder;
  AnswerFunction onAnswer;
  boost::asio::steady_timer timer;
  core::TimePoint begin;
  core::TimePoint deadline;
  /** The deadline without a limit by a stop. */
  core::TimePoint fullDeadline;
  std::unique_ptr<calls::CallFlow> flow;
  std::uint64_t digest = 0;
  std::uint32_t routeKey = 0;
  /**
   * Number of the slot request that has not been decided; 0 if there is none.
   */
  std::uint64_t slotRequest = 0;
  std::optional<Slot> slot;
  std::shared_ptr<gateway::ServerPool> pool;
  std::shared_ptr<gateway::ServerConnection> connection;
  core::TimePoint attemptBegin{};
  /**
   * Incremented when an attempt starts or is cancelled, so that late callbacks
   * of earlier attempts can be ignored.
   */
  unsigned attemptNumber = 0;
  unsigned attempts = 0;
  std::chrono::nanoseconds slotWaitTime{ 0 };
  std::chrono::milliseconds retryAfter{ 0 };
  std::string lastInstance;
  bool isCallerGone = false;
};

} // namespace fireflytrail::proxy
