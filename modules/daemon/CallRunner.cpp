#include "daemon/CallRunner.h"

#include "calls/RequestDigest.h"
#include "daemon/TrafficState.h"
#include "daemon/TrafficThread.h"
#include "gateway/HttpFields.h"
#include "gateway/ServerConnection.h"
#include "gateway/ServerPool.h"
#include "gateway/SocketAddress.h"
#include "routing/CallRoute.h"
#include "routing/LoadReport.h"
#include "routing/ServerSelector.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace fireflytrail::daemon {

using calls::AttemptProgress;
using core::ErrorKind;
using gateway::PeerHub;

namespace {

// Maximum number of tried servers that a selection avoids. A call is tried on
// its first server and on one more for each retry that `CallFlow` allows;
// servers beyond the limit are not avoided.
constexpr std::size_t kMaxAvoidedServers = 8;

constexpr unsigned kFirstServerErrorStatus = 500;

std::uint64_t
KeyOf(const routing::ServerLoad& aLoad)
{
  return reinterpret_cast<std::uintptr_t>(&aLoad);
}

routing::SelectionOutcome
OutcomeOf(const gateway::ServerExchange& aExchange)
{
  switch (aExchange.progress) {
    case AttemptProgress::Answered:
      return aExchange.answer->status >= kFirstServerErrorStatus
               ? routing::SelectionOutcome::Failed
               : routing::SelectionOutcome::Answered;
    case AttemptProgress::Refused:
      return routing::SelectionOutcome::Refused;
    case AttemptProgress::NothingSent:
      return routing::SelectionOutcome::ConnectFailed;
    case AttemptProgress::SentNoAnswer:
    case AttemptProgress::AnswerTruncated:
      return routing::SelectionOutcome::ConnectionLost;
    case AttemptProgress::AnswerInvalid:
      break;
  }
  return routing::SelectionOutcome::Failed;
}

std::vector<wire::Header>
HeadersOf(const boost::beast::http::fields& aFields)
{
  std::vector<wire::Header> headers;
  for (const auto& field : aFields) {
    headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return headers;
}

} // namespace

CallRunner::CallRunner(TrafficThread& aThread,
                       gateway::CallRequest aCall,
                       const routing::CallRoute& aRoute,
                       bool aIsForwarded,
                       std::shared_ptr<void> aGuard,
                       AnswerFunction aOnAnswer)
  : thread(aThread)
  , call(std::move(aCall))
  , callName(aRoute.name)
  , guard(std::move(aGuard))
  , onAnswer(std::move(aOnAnswer))
  , begin(std::chrono::steady_clock::now() - this->call.bodyTime)
  , timer(aThread.Context())
  , answerDelayTimer(aThread.Context())
{
  assert(this->onAnswer);
  const std::string_view method =
    boost::beast::http::to_string(this->call.method);
  this->request.digest = calls::RequestDigest(
    method, this->call.service + this->call.target, this->call.body);
  const std::chrono::milliseconds allowed = aRoute.deadline;
  this->request.deadline =
    this->begin + std::min(this->call.deadline.value_or(allowed), allowed);
  this->request.repeatable = aRoute.repeatable;
  this->request.atMostOnce = aRoute.atMostOnce;
  this->request.ticket = this->call.ticket.value_or("");
  this->request.attempt = this->call.attempt;
  this->request.forwarded = aIsForwarded;
}

CallRunner::~CallRunner() = default;

void
CallRunner::Begin()
{
  calls::CallHooks hooks;
  hooks.now = this->thread.Hooks().now;
  hooks.chooseServer = [this](std::span<const std::uint64_t> aAvoid) {
    return this->ChooseServer(aAvoid);
  };
  hooks.tryChargeRetry = [this] { return this->TryChargeRetry(); };
  hooks.issuerState = [this](const core::DaemonId& aIssuer) {
    return this->StateOfIssuer(aIssuer);
  };
  hooks.onTicketFinished = [weak = this->weak_from_this(),
                            executor = this->thread.Context().get_executor()](
                             const calls::TicketOutcome& aOutcome) {
    boost::asio::post(executor, [weak, aOutcome] {
      const auto self = weak.lock();
      if (self && self->flow && !self->flow->HasEnded()) {
        self->Execute(self->flow->TicketFinished(aOutcome));
      }
    });
  };
  this->flow.emplace(this->request,
                     std::move(hooks),
                     this->thread.Hooks().ledger,
                     this->thread.Hooks().guard);
  this->SetTimer(this->request.deadline - std::chrono::steady_clock::now());
  this->Execute(this->flow->Begin());
}

void
CallRunner::CallerGone()
{
  if (this->flow && !this->flow->HasEnded()) {
    this->Execute(this->flow->CallerGone(this->Progress()));
  }
}

void
CallRunner::Execute(calls::CallStep aStep)
{
  if (auto* send = std::get_if<calls::SendStep>(&aStep)) {
    this->ExecuteSend(std::move(*send));
  } else if (const auto* forward = std::get_if<calls::ForwardStep>(&aStep)) {
    this->ExecuteForward(*forward);
  } else if (const auto* answer = std::get_if<calls::AnswerStep>(&aStep)) {
    this->ExecuteAnswer(*answer);
  }
}

core::Result<calls::ServerHandle>
CallRunner::ChooseServer(std::span<const std::uint64_t> aAvoid)
{
  const auto* service = this->thread.State().table->Find(this->call.service);
  if (service == nullptr || service->versions.empty()) {
    return core::Error{ ErrorKind::NoServer, this->call.service };
  }
  std::array<const routing::ServerLoad*, kMaxAvoidedServers> tried{};
  std::size_t count = 0;
  for (const std::uint64_t key : aAvoid) {
    if (count < tried.size()) {
      tried[count++] = reinterpret_cast<const routing::ServerLoad*>(
        static_cast<std::uintptr_t>(key));
    }
  }
  std::optional<routing::Selection> selected =
    this->thread.Selector().Select(*service, { tried.data(), count });
  if (!selected) {
    return core::Error{ ErrorKind::Overloaded, this->call.service };
  }
  calls::ServerHandle handle;
  handle.server = KeyOf(*selected->Load());
  handle.lease = std::make_shared<routing::Selection>(std::move(*selected));
  return handle;
}

bool
CallRunner::TryChargeRetry()
{
  const auto budgets = this->thread.State().budgets.find(this->call.service);
  const bool isCharged = budgets != this->thread.State().budgets.end() &&
                         budgets->second.own->TryCharge(budgets->second.below);
  this->thread.Hooks().metrics.Count(isCharged ? "retries_total"
                                               : "retries_refused_total");
  return isCharged;
}

calls::IssuerState
CallRunner::StateOfIssuer(const core::DaemonId& aIssuer) const
{
  const auto& daemons = this->thread.State().daemons;
  const auto found = daemons.find(aIssuer.name);
  if (found == daemons.end()) {
    return calls::IssuerState::Unreachable;
  }
  if (found->second.start != aIssuer.start) {
    return calls::IssuerState::Gone;
  }
  return calls::IssuerState::Reachable;
}

void
CallRunner::ExecuteSend(calls::SendStep aStep)
{
  this->selection =
    std::static_pointer_cast<routing::Selection>(aStep.server.lease);
  this->server = this->selection->Load();
  this->attemptBegin = this->thread.Hooks().now();
  // First attempts are counted by the daemon that sends to the server, not by
  // one that forwards the call: otherwise a forwarded call would count twice
  // towards the retry budgets.
  const auto& budgets = this->thread.State().budgets;
  if (const auto budget = budgets.find(this->call.service);
      aStep.attempt == 0 && budget != budgets.end()) {
    budget->second.own->CountFirstAttempt();
  }
  this->pool = this->thread.PoolOf(this->server);
  const unsigned number = ++this->attemptNumber;
  if (!this->pool) {
    this->OnExchangeEnded({});
    return;
  }
  this->connection =
    this->pool->Send(std::shared_ptr<const gateway::CallRequest>(
                       this->shared_from_this(), &this->call),
                     aStep.timeLeft,
                     aStep.attempt,
                     [self = this->shared_from_this(),
                      number](const gateway::ServerExchange& aExchange) {
                       if (number == self->attemptNumber) {
                         self->OnExchangeEnded(aExchange);
                       }
                     });
}

void
CallRunner::OnExchangeEnded(const gateway::ServerExchange& aExchange)
{
  this->connection = nullptr;
  this->ReleaseSelection(aExchange);
  const bool isLost = aExchange.progress == AttemptProgress::SentNoAnswer ||
                      aExchange.progress == AttemptProgress::AnswerTruncated;
  if (isLost) {
    this->OnConnectionLost(aExchange);
    return;
  }
  this->Execute(this->flow->AttemptEnded(
    { .progress = aExchange.progress, .answer = aExchange.answer }));
}

void
CallRunner::ReleaseSelection(const gateway::ServerExchange& aExchange)
{
  const core::TimePoint now = this->thread.Hooks().now();
  if (aExchange.serverLoad) {
    if (const auto report = routing::LoadReport::Parse(*aExchange.serverLoad)) {
      this->selection->RecordReport(*report, now);
    }
  }
  const routing::SelectionOutcome outcome = OutcomeOf(aExchange);
  // A refusal or a failed connect is no evidence about the version, because its
  // code did not run the request.
  if (outcome != routing::SelectionOutcome::Refused &&
      outcome != routing::SelectionOutcome::ConnectFailed) {
    this->RecordAttempt(outcome != routing::SelectionOutcome::Answered,
                        aExchange.duration);
  }
  this->selection->Release(outcome, aExchange.duration, now);
}

void
CallRunner::RecordAttempt(bool aIsFailure,
                          std::chrono::steady_clock::duration aDuration)
{
  const routing::ServerIdentity& identity = this->server->Identity();
  this->thread.Hooks().recordAttempt({ .serverId = identity.id,
                                       .service = this->call.service,
                                       .call = this->callName,
                                       .version = identity.version,
                                       .failureDomain = identity.failureDomain,
                                       .isFailure = aIsFailure,
                                       .duration = aDuration });
}

void
CallRunner::OnConnectionLost(const gateway::ServerExchange& aExchange)
{
  // A lost connection alone does not prove that the server died, and after a
  // network fault the request must not be recorded as one that crashes servers.
  // A refused connect proves that no process listens any more.
  this->pool->CheckConnectRefused(
    [self = this->shared_from_this(),
     number = this->attemptNumber,
     progress = aExchange.progress](bool aIsRefused) {
      if (number != self->attemptNumber || self->flow->HasEnded()) {
        return;
      }
      calls::AttemptResult result{ .progress = progress, .answer = nullptr };
      if (aIsRefused) {
        result.death =
          calls::CrashGuard::DeathIdOf(self->server->Identity().id,
                                       self->server->ReportedStart(),
                                       self->thread.Hooks().random());
      }
      self->Execute(self->flow->AttemptEnded(result));
    });
}

void
CallRunner::ExecuteForward(const calls::ForwardStep& aStep)
{
  const auto& daemons = this->thread.State().daemons;
  const auto found = daemons.find(aStep.issuer.name);
  const unsigned number = ++this->attemptNumber;
  if (found == daemons.end()) {
    this->OnForwardEnded(PeerHub::ForwardProgress::NothingSent, std::nullopt);
    return;
  }
  wire::ForwardCall forwarded;
  forwarded.ticket = this->request.ticket;
  forwarded.service = this->call.service;
  forwarded.method =
    std::string(boost::beast::http::to_string(this->call.method));
  forwarded.target = this->call.target;
  forwarded.headers = HeadersOf(this->call.fields);
  forwarded.body = this->call.body;
  forwarded.deadline = aStep.timeLeft;
  forwarded.attempt = this->call.attempt;
  forwarded.callDepth = this->call.depth;
  this->thread.Hooks().forward(
    { aStep.issuer.name, found->second.address },
    std::move(forwarded),
    [self = this->shared_from_this(),
     number](PeerHub::ForwardProgress aProgress,
             std::optional<wire::ForwardAnswer> aAnswer) {
      boost::asio::post(self->thread.Context(),
                        [self, number, aProgress, aAnswer]() mutable {
                          if (number == self->attemptNumber) {
                            self->OnForwardEnded(aProgress, std::move(aAnswer));
                          }
                        });
    });
}

void
CallRunner::OnForwardEnded(PeerHub::ForwardProgress aProgress,
                           std::optional<wire::ForwardAnswer> aAnswer)
{
  if (this->flow->HasEnded()) {
    return;
  }
  calls::AttemptResult result;
  if (aAnswer) {
    result.progress = AttemptProgress::Answered;
    result.issuerKind = aAnswer->errorKind;
    auto answer = std::make_shared<calls::Answer>();
    answer->status = aAnswer->status;
    for (wire::Header& header : aAnswer->headers) {
      answer->headers.emplace_back(std::move(header.name),
                                   std::move(header.value));
    }
    answer->body = std::move(aAnswer->body);
    const bool isAnswer =
      gateway::IsFinalStatus(answer->status) &&
      (answer->body.empty() || !gateway::IsBodilessStatus(answer->status));
    if (result.issuerKind == ErrorKind::None && !isAnswer) {
      result.progress = AttemptProgress::AnswerInvalid;
    } else if (result.issuerKind == ErrorKind::None) {
      result.answer = std::move(answer);
    }
  } else if (aProgress == PeerHub::ForwardProgress::Sent) {
    result.progress = AttemptProgress::SentNoAnswer;
  }
  this->Execute(this->flow->AttemptEnded(result));
}

void
CallRunner::ExecuteAnswer(const calls::AnswerStep& aStep)
{
  if (aStep.attemptContinues) {
    this->SetTimer(aStep.continuationTimeout);
  } else {
    this->timer.cancel();
    this->CancelAttempt(aStep.kind == ErrorKind::DeadlineAfterSend);
  }
  if (!aStep.deliver || !this->onAnswer) {
    return;
  }
  if (aStep.answerDelay.count() == 0) {
    this->Deliver(aStep);
    return;
  }
  this->DeliverAfterDelay(aStep);
}

void
CallRunner::DeliverAfterDelay(const calls::AnswerStep& aStep)
{
  this->answerDelayTimer.expires_after(aStep.answerDelay);
  this->answerDelayTimer.async_wait(
    [self = this->shared_from_this(), aStep](boost::system::error_code aError) {
      if (!aError) {
        self->Deliver(aStep);
      }
    });
}

void
CallRunner::Deliver(const calls::AnswerStep& aStep)
{
  gateway::CallAnswer answer;
  if (aStep.kind == ErrorKind::None) {
    answer.answer = aStep.answer;
  } else {
    answer = gateway::CallAnswer::OfError(aStep.kind);
  }
  answer.isSafeToResend =
    this->request.repeatable || !this->request.ticket.empty();
  this->thread.CallSeries().Record(
    this->call.service,
    this->callName,
    this->server ? this->server->Identity().version : std::string(),
    aStep.kind,
    this->thread.Hooks().now() - this->begin);
  const auto deliver = std::exchange(this->onAnswer, nullptr);
  deliver(std::move(answer));
}

void
CallRunner::CancelAttempt(bool aIsDeadline)
{
  ++this->attemptNumber;
  const auto running = std::exchange(this->connection, nullptr);
  if (!running) {
    return;
  }
  const core::TimePoint now = this->thread.Hooks().now();
  this->pool->Cancel(*running);
  // The connection is closed now, so the server's slot counts as free.
  this->selection->Release(
    routing::SelectionOutcome::Cancelled, now - this->attemptBegin, now);
  // Without this record, there would be no evidence about a version that never
  // answers.
  if (aIsDeadline) {
    this->RecordAttempt(false, now - this->attemptBegin);
  }
}

void
CallRunner::SetTimer(std::chrono::steady_clock::duration aTime)
{
  this->timer.expires_after(aTime);
  this->timer.async_wait(
    [self = this->shared_from_this()](boost::system::error_code aError) {
      if (!aError && !self->flow->HasEnded()) {
        self->Execute(self->flow->DeadlineReached(self->Progress()));
      }
    });
}

AttemptProgress
CallRunner::Progress() const
{
  if (this->connection) {
    return this->connection->Progress();
  }
  // Without a server connection, the call is being forwarded to the issuer of
  // its ticket, or a lost connection is being checked. In both cases the
  // request may have been sent and counts as sent.
  return this->attemptNumber > 0 ? AttemptProgress::SentNoAnswer
                                 : AttemptProgress::NothingSent;
}

} // namespace fireflytrail::daemon
