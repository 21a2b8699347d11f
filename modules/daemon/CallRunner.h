#pragma once

#include "calls/CallFlow.h"
#include "gateway/CallAnswer.h"
#include "gateway/CallRequest.h"
#include "gateway/PeerHub.h"
#include "gateway/ServerExchange.h"
#include "routing/Selection.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::gateway {
class ServerConnection;
class ServerPool;
}

namespace fireflytrail::routing {
struct CallRoute;
}

namespace fireflytrail::daemon {

class TrafficThread;

/**
 * Runs one call: executes the steps of its `CallFlow` on the connections of a
 * traffic thread. Pending operations share its ownership, so that it lives
 * until the flow has ended. Use on its traffic thread only.
 */
class CallRunner : public std::enable_shared_from_this<CallRunner>
{
public:
  using AnswerFunction = std::function<void(gateway::CallAnswer)>;

  /**
   * `aThread` must outlive the call. `aIsForwarded` is true if another daemon
   * forwarded the call to this one. `aGuard` is released when the flow has
   * ended, which may be after the answer.
   */
  CallRunner(TrafficThread& aThread,
             gateway::CallRequest aCall,
             const routing::CallRoute& aRoute,
             bool aIsForwarded,
             std::shared_ptr<void> aGuard,
             AnswerFunction aOnAnswer);
  ~CallRunner();
  CallRunner(const CallRunner&) = delete;
  CallRunner& operator=(const CallRunner&) = delete;

  /** Starts the call. Call once. */
  void Begin();

  /** To be called when the caller has closed its connection. */
  void CallerGone();

private:
  void Execute(calls::CallStep aStep);
  void ExecuteSend(calls::SendStep aStep);
  void ExecuteForward(const calls::ForwardStep& aStep);
  void ExecuteAnswer(const calls::AnswerStep& aStep);
  void DeliverAfterDelay(const calls::AnswerStep& aStep);
  void Deliver(const calls::AnswerStep& aStep);
  core::Result<calls::ServerHandle> ChooseServer(
    std::span<const std::uint64_t> aAvoid);
  bool TryChargeRetry();
  calls::IssuerState StateOfIssuer(const core::DaemonId& aIssuer) const;
  void OnExchangeEnded(const gateway::ServerExchange& aExchange);
  void ReleaseSelection(const gateway::ServerExchange& aExchange);
  void RecordAttempt(bool aIsFailure,
                     std::chrono::steady_clock::duration aDuration);
  void OnConnectionLost(const gateway::ServerExchange& aExchange);
  void OnForwardEnded(gateway::PeerHub::ForwardProgress aProgress,
                      std::optional<wire::ForwardAnswer> aAnswer);
  /** Cancels a running attempt by closing its connection. `aIsDeadline` is
   * true if the reason is the call's deadline; the attempt then counts as
   * evidence about the server's version, by its duration and not as a failure.
   */
  void CancelAttempt(bool aIsDeadline);
  void SetTimer(std::chrono::steady_clock::duration aTime);
  calls::AttemptProgress Progress() const;

  TrafficThread& thread;
  gateway::CallRequest call;
  std::string callName;
  std::shared_ptr<void> guard;
  AnswerFunction onAnswer;
  core::TimePoint begin;
  boost::asio::steady_timer timer;
  boost::asio::steady_timer answerDelayTimer;
  calls::CallRequest request;
  std::optional<calls::CallFlow> flow;
  std::shared_ptr<routing::Selection> selection;
  /** Server of the running or last attempt. */
  std::shared_ptr<routing::ServerLoad> server;
  std::shared_ptr<gateway::ServerPool> pool;
  std::shared_ptr<gateway::ServerConnection> connection;
  /** Identifies the current attempt, so that late results of ended and
   * cancelled ones are ignored. */
  unsigned attemptNumber = 0;
  core::TimePoint attemptBegin;
};

} // namespace fireflytrail::daemon
