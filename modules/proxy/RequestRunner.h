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
 * Runs one request of a route: carries out the steps of its `CallFlow` with
 * slots and connections. It keeps itself alive by shared ownership until the
 * request has ended. Belongs to the daemon's thread.
 */
class RequestRunner : public std::enable_shared_from_this<RequestRunner>
{
public:
  using AnswerFunction = std::function<void(gateway::CallAnswer)>;

  /**
   * `aShared` must outlive the request. `aService` is the service of the route
   * that was drawn for it, `aConfigurationVersion` the version that named it.
   * `aGuard` is released when the request has ended.
   */
  RequestRunner(ProxyShared& aShared,
                gateway::CallRequest aCall,
                const configuration::HttpRoute& aRoute,
                std::string aService,
                std::uint64_t aConfigurationVersion,
                std::shared_ptr<void> aGuard,
                AnswerFunction aOnAnswer);
  ~RequestRunner();
  RequestRunner(const RequestRunner&) = delete;
  RequestRunner& operator=(const RequestRunner&) = delete;

  /** Starts the request. Call once. */
  void Begin();

  /**
   * Ends the request, whose caller has closed its connection. One that must
   * not be repeated is left to end at its instance.
   */
  void CallerGone();

private:
  void Do(calls::CallStep aStep);
  void DoChoose(calls::ChooseStep aStep);
  void OnDecided(const routing::DispatchResult& aResult,
                 std::optional<Slot> aSlot);
  void DoSend(const calls::SendStep& aStep);
  void OnExchange(const gateway::ServerExchange& aExchange);
  void OnLost(const gateway::ServerExchange& aExchange);
  void EndAttempt(const calls::AttemptResult& aResult);
  void DoAnswer(const calls::AnswerStep& aStep);
  void Abandon(routing::UseOutcome aOutcome);
  calls::AttemptProgress Progress() const;
  void LogEnd(const calls::AnswerStep& aStep) const;

  ProxyShared& shared;
  gateway::CallRequest call;
  configuration::HttpRoute route;
  std::string service;
  std::uint64_t configurationVersion;
  std::shared_ptr<void> guard;
  AnswerFunction onAnswer;
  boost::asio::steady_timer timer;
  core::TimePoint begin;
  core::TimePoint deadline;
  std::unique_ptr<calls::CallFlow> flow;
  std::uint64_t digest = 0;
  std::uint32_t routeKey = 0;
  /** Number of the request for a slot that is not decided yet; 0 for none. */
  std::uint64_t slotRequest = 0;
  std::optional<Slot> slot;
  std::shared_ptr<gateway::ServerPool> pool;
  std::shared_ptr<gateway::ServerConnection> connection;
  core::TimePoint attemptBegin{};
  /** Grows when an attempt ends, so that late callbacks are told apart. */
  unsigned attemptNumber = 0;
  unsigned attempts = 0;
  std::chrono::nanoseconds waited{ 0 };
  std::chrono::milliseconds retryAfter{ 0 };
  std::string lastInstance;
  bool isCallerGone = false;
};

} // namespace fireflytrail::proxy
