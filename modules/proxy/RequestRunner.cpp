#include "proxy/RequestRunner.h"

#include "calls/RequestDigest.h"
#include "core/ErrorTable.h"
#include "core/Hash.h"
#include "gateway/ServerConnection.h"
#include "gateway/ServerPool.h"
#include "proxy/ProxyShared.h"

#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

namespace fireflytrail::proxy {

using namespace std::chrono_literals;
using calls::AttemptProgress;
using core::ErrorKind;
using routing::AttemptOutcome;
using std::chrono::milliseconds;

namespace {

// Minimum retry delay that is sent with an error. Most errors for which no
// delay was computed come from a single instance, while others have room.
constexpr milliseconds kDefaultRetryAfter = 100ms;

// First HTTP status that reports a failure of the server itself.
constexpr unsigned kFirstFailureStatus = 500;

// Lowest priority of an organisation, and of a route if there are any.
constexpr unsigned kMaxPriority = 15;

AttemptOutcome
OutcomeOf(const gateway::ServerExchange& aExchange)
{
  switch (aExchange.progress) {
    case AttemptProgress::Answered:
      return aExchange.answer->status >= kFirstFailureStatus
               ? AttemptOutcome::Failed
               : AttemptOutcome::Answered;
    case AttemptProgress::Refused:
      return aExchange.isWrongServer ? AttemptOutcome::WrongServer
                                     : AttemptOutcome::Refused;
    case AttemptProgress::NothingSent:
      return aExchange.isLocalFailure ? AttemptOutcome::Cancelled
                                      : AttemptOutcome::ConnectFailed;
    case AttemptProgress::SentNoAnswer:
    case AttemptProgress::AnswerTruncated:
    case AttemptProgress::AnswerInvalid:
      break;
  }
  return AttemptOutcome::Lost;
}

std::int64_t
MillisecondsOf(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

} // namespace

RequestRunner::RequestRunner(ProxyShared& aShared,
                             gateway::CallRequest aCall,
                             const configuration::HttpRoute& aRoute,
                             std::string aService,
                             std::uint64_t aConfigurationVersion,
                             std::shared_ptr<void> aCountHolder,
                             AnswerFunction aOnAnswer)
  : shared(aShared)
  , call(std::move(aCall))
  , route(aRoute)
  , service(std::move(aService))
  , configurationVersion(aConfigurationVersion)
  , countHolder(std::move(aCountHolder))
  , onAnswer(std::move(aOnAnswer))
  , timer(aShared.context)
  , begin(aShared.now() - this->call.bodyTime)
{
  assert(this->onAnswer);
  const milliseconds limit = std::min(
    this->call.deadline.value_or(this->route.timeout), this->route.timeout);
  this->deadline = this->begin + limit;
  this->fullDeadline = this->deadline;
}

RequestRunner::~RequestRunner() = default;

void
RequestRunner::Begin()
{
  calls::CallRequest request;
  this->digest =
    calls::RequestDigest(boost::beast::http::to_string(this->call.method),
                         this->call.host + this->call.target,
                         this->call.body);
  request.digest = this->digest;
  request.deadline = this->deadline;
  request.repeatable = this->route.isIdempotent;
  request.maxRetries = this->route.maxAttempts - 1;
  calls::CallHooks hooks;
  hooks.now = this->shared.now;
  hooks.tryChargeRetry = [this] {
    const bool isTaken = this->shared.budgetOf(this->service).TryCharge();
    this->shared.metrics.Count(isTaken ? "retries_total"
                                       : "retries_refused_total");
    return isTaken;
  };
  hooks.issuerState = [](const core::DaemonId&) {
    return calls::IssuerState::Gone;
  };
  hooks.onTicketFinished = [](const calls::TicketOutcome&) {};
  calls::CallTimes times;
  // A request that is given up after a server's death is answered without
  // delay.
  times.firstDeathAnswerDelay = 0ms;
  times.laterDeathAnswerDelay = 0ms;
  this->flow = std::make_unique<calls::CallFlow>(std::move(request),
                                                 std::move(hooks),
                                                 this->shared.ledger,
                                                 this->shared.guard,
                                                 times);
  // Half of the hash is enough to distinguish the routes of a service. The key
  // must differ from 0, which stands for any route.
  this->routeKey =
    static_cast<std::uint32_t>(core::HashOf(this->route.name)) | 1U;
  this->shared.budgetOf(this->service).CountFirstAttempt();
  this->StartDeadlineTimer();
  this->RunStep(this->flow->Begin());
}

void
RequestRunner::StartDeadlineTimer()
{
  this->timer.expires_at(this->deadline);
  this->timer.async_wait(
    [self = this->shared_from_this()](boost::system::error_code aError) {
      if (!aError && !self->flow->HasEnded()) {
        self->RunStep(self->flow->DeadlineReached(self->Progress()));
      }
    });
}

void
RequestRunner::LimitDeadline(core::TimePoint aDeadline)
{
  if (aDeadline >= this->deadline) {
    return;
  }
  this->deadline = aDeadline;
  if (this->flow && !this->flow->HasEnded()) {
    this->StartDeadlineTimer();
  }
}

void
RequestRunner::CallerGone()
{
  if (!this->flow || this->flow->HasEnded()) {
    return;
  }
  this->isCallerGone = true;
  if (this->slot && !this->route.isIdempotent) {
    // The end of the attempt releases the slot; no further attempt is made.
    return;
  }
  this->RunStep(this->flow->CallerGone(this->Progress()));
}

void
RequestRunner::ReportCut() const
{
  if (!this->flow || this->flow->HasEnded()) {
    return;
  }
  this->shared.log.Write(
    core::LogLevel::Warning,
    "request_cut",
    { { "id", this->call.id },
      { "route", this->route.name },
      { "service", this->service },
      { "stage", this->attempts > 0 ? "sent_to_server" : "waiting_for_server" },
      { "instance", this->lastInstance },
      { "attempts", static_cast<std::int64_t>(this->attempts) },
      { "limit_ms", MillisecondsOf(this->deadline - this->begin) },
      { "elapsed_ms", MillisecondsOf(this->shared.now() - this->begin) } });
}

void
RequestRunner::RunStep(calls::CallStep aStep)
{
  if (auto* choose = std::get_if<calls::ChooseStep>(&aStep)) {
    this->ChooseInstance(std::move(*choose));
  } else if (const auto* send = std::get_if<calls::SendStep>(&aStep)) {
    this->SendAttempt(*send);
  } else if (const auto* answer = std::get_if<calls::AnswerStep>(&aStep)) {
    this->SendAnswer(*answer);
  }
}

bool
RequestRunner::MayStart() const
{
  return !this->shared.mayStart ||
         this->shared.mayStart(
           this->route,
           this->shared.now() +
             std::min(this->route.latencyGoal, this->route.timeout),
           this->fullDeadline);
}

void
RequestRunner::EndUnsent(ErrorKind aKind)
{
  this->RunStep(this->flow->ServerChosen(core::Error{ aKind, {} }));
}

void
RequestRunner::ChooseInstance(calls::ChooseStep aStep)
{
  if (!this->MayStart()) {
    this->EndUnsent(ErrorKind::Stopping);
    return;
  }
  routing::DispatchRequest request;
  request.failureDomain = this->shared.failureDomain;
  request.goal =
    std::min(this->begin + this->route.latencyGoal, this->deadline);
  request.deadline = this->deadline;
  request.priority = this->Priority();
  request.route = this->routeKey;
  request.organisation = this->call.organisation.empty()
                           ? 0
                           : core::HashOf(this->call.organisation) | 1U;
  request.expectedBytes = this->shared.transferSizes.Expected(this->route.name);
  request.avoid = std::move(aStep.avoid);
  const core::TimePoint requestedAt = this->shared.now();
  // Most requests are decided before `Acquire` returns; nothing can be
  // withdrawn then.
  bool isDecided = false;
  const std::uint64_t number = this->shared.broker.Acquire(
    this->service,
    this->digest,
    std::move(request),
    [self = this->shared_from_this(), requestedAt, &isDecided, isFirst = true](
      const routing::DispatchResult& aResult,
      std::optional<Slot> aSlot) mutable {
      if (isFirst && self->slotRequest == 0) {
        isDecided = true;
      }
      isFirst = false;
      self->EndWaiting();
      self->slotWaitTime += self->shared.now() - requestedAt;
      self->OnDecided(aResult, std::move(aSlot));
    });
  if (!isDecided) {
    this->slotRequest = number;
    this->shared.callMetrics.AddWaiting(this->service, this->route.name, 1);
  }
}

std::uint64_t
RequestRunner::EndWaiting()
{
  if (this->slotRequest != 0) {
    this->shared.callMetrics.AddWaiting(this->service, this->route.name, -1);
  }
  return std::exchange(this->slotRequest, 0);
}

void
RequestRunner::OnDecided(const routing::DispatchResult& aResult,
                         std::optional<Slot> aSlot)
{
  if (!aSlot) {
    this->retryAfter = aResult.retryAfter;
    this->RunStep(this->flow->ServerChosen(core::Error{ aResult.kind, {} }));
    return;
  }
  // The key may have been withdrawn, or a stop have begun, while the request
  // waited.
  ErrorKind error = this->shared.identifyCaller(this->call, this->route);
  if (error == ErrorKind::None && !this->MayStart()) {
    error = ErrorKind::Stopping;
  }
  if (error != ErrorKind::None) {
    this->shared.broker.Release(
      *aSlot, AttemptOutcome::Cancelled, 0ns, std::nullopt, {});
    this->EndUnsent(error);
    return;
  }
  this->slot = std::move(aSlot);
  calls::ServerHandle handle;
  handle.server = routing::ServiceDispatcher::KeyOf(*this->slot->instance);
  this->RunStep(this->flow->ServerChosen(std::move(handle)));
}

void
RequestRunner::CheckKey()
{
  if (this->slotRequest == 0) {
    return;
  }
  const ErrorKind error = this->shared.identifyCaller(this->call, this->route);
  if (error != ErrorKind::UnknownKey) {
    return;
  }
  this->shared.broker.Withdraw(this->EndWaiting());
  this->EndUnsent(error);
}

void
RequestRunner::CheckStart()
{
  if (this->slotRequest == 0 || this->MayStart()) {
    return;
  }
  this->shared.broker.Withdraw(this->EndWaiting());
  this->EndUnsent(ErrorKind::Stopping);
}

unsigned
RequestRunner::Priority() const
{
  if (this->call.organisation.empty()) {
    return this->route.priority;
  }
  return std::min(this->call.organisationPriority, kMaxPriority) *
           (kMaxPriority + 1) +
         std::min(this->route.priority, kMaxPriority);
}

void
RequestRunner::SendAttempt(const calls::SendStep& aStep)
{
  assert(this->slot);
  this->attemptBegin = this->shared.now();
  this->lastInstance = this->slot->instance->id;
  this->pool = this->shared.poolOf(*this->slot->instance);
  const unsigned number = ++this->attemptNumber;
  ++this->attempts;
  if (!this->pool) {
    this->OnExchange({});
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
                         self->OnExchange(aExchange);
                       }
                     });
}

void
RequestRunner::OnExchange(const gateway::ServerExchange& aExchange)
{
  this->connection = nullptr;
  this->ReportRun(aExchange.progress);
  const AttemptOutcome outcome = OutcomeOf(aExchange);
  const Slot used = *std::exchange(this->slot, std::nullopt);
  this->shared.broker.Release(
    used, outcome, aExchange.duration, aExchange.loadSample, aExchange.notice);
  if (this->isCallerGone && aExchange.progress != AttemptProgress::Answered) {
    this->RunStep(this->flow->CallerGone(aExchange.progress));
    return;
  }
  if (outcome == AttemptOutcome::Lost &&
      aExchange.progress != AttemptProgress::AnswerInvalid) {
    this->slot = used;
    this->OnConnectionLost(aExchange);
    return;
  }
  if (aExchange.answer) {
    const std::size_t bytes =
      this->call.body.size() + aExchange.answer->body.size();
    this->shared.transferSizes.Record(this->route.name, bytes);
    if (used.instance->failureDomain != this->shared.failureDomain) {
      this->shared.crossDomainBodyBytes += bytes;
    }
  }
  calls::AttemptResult result{ .progress = aExchange.progress,
                               .answer = aExchange.answer };
  result.isFailure = outcome == AttemptOutcome::Failed;
  this->EndAttempt(result);
}

void
RequestRunner::OnConnectionLost(const gateway::ServerExchange& aExchange)
{
  // A lost connection alone does not prove that the server died, and a network
  // fault must not be counted against the request. A refused connection shows
  // that no process listens any more.
  const Slot used = *std::exchange(this->slot, std::nullopt);
  this->pool->CheckConnectRefused(
    [self = this->shared_from_this(),
     used,
     number = this->attemptNumber,
     progress = aExchange.progress](bool aIsRefused) {
      if (number != self->attemptNumber || self->flow->HasEnded()) {
        return;
      }
      calls::AttemptResult result{ .progress = progress, .answer = nullptr };
      if (aIsRefused) {
        result.death = calls::CrashGuard::DeathIdOf(
          used.instance->id, used.instance->startedAt, self->shared.random());
        self->shared.broker.ReportDeath(used, result.death);
      }
      self->EndAttempt(result);
    });
}

void
RequestRunner::EndAttempt(const calls::AttemptResult& aResult)
{
  if (aResult.progress != AttemptProgress::Answered || aResult.isFailure) {
    this->shared.log.Write(
      core::LogLevel::Info,
      "attempt_failed",
      { { "id", this->call.id },
        { "route", this->route.name },
        { "service", this->service },
        { "instance", this->lastInstance },
        { "attempt", static_cast<std::int64_t>(this->attempts) },
        { "kind",
          core::ErrorTable::RowOf(calls::KindOf(aResult.progress)).name },
        { "is_crash", aResult.death != 0 },
        { "elapsed_ms", MillisecondsOf(this->shared.now() - this->begin) } });
  }
  this->RunStep(this->flow->AttemptEnded(aResult));
}

void
RequestRunner::ReportRun(AttemptProgress aProgress) const
{
  if (this->shared.onRunBegan && calls::MayHaveRun(aProgress)) {
    this->shared.onRunBegan(this->call.organisation, this->attemptBegin);
  }
}

void
RequestRunner::SendAnswer(const calls::AnswerStep& aStep)
{
  this->timer.cancel();
  if (this->slotRequest != 0) {
    this->shared.broker.Withdraw(this->EndWaiting());
  }
  this->CancelAttempt(aStep.kind == ErrorKind::DeadlineAfterSend
                        ? AttemptOutcome::TimedOut
                        : AttemptOutcome::Cancelled);
  this->LogEnd(aStep);
  this->shared.callMetrics.Record(this->service,
                                  this->route.name,
                                  {},
                                  aStep.kind,
                                  this->shared.now() - this->begin);
  this->shared.organisationMetrics.Record(this->call.organisation, aStep.kind);
  if (aStep.kind == ErrorKind::None &&
      this->shared.now() - this->begin > this->route.latencyGoal) {
    this->shared.callMetrics.RecordLate(this->service, this->route.name);
  }
  this->countHolder.reset();
  const auto deliver = std::exchange(this->onAnswer, nullptr);
  if (!aStep.deliver || !deliver) {
    return;
  }
  gateway::CallAnswer answer;
  if (aStep.kind == ErrorKind::None) {
    answer.answer = aStep.answer;
  } else {
    answer = gateway::CallAnswer::OfError(aStep.kind);
    answer.retryAfter = std::max(this->retryAfter, kDefaultRetryAfter);
  }
  answer.isSafeToResend = this->route.isIdempotent;
  deliver(std::move(answer));
}

void
RequestRunner::CancelAttempt(AttemptOutcome aOutcome)
{
  ++this->attemptNumber;
  if (const auto running = std::exchange(this->connection, nullptr)) {
    this->ReportRun(running->Progress());
    this->pool->Cancel(*running);
  }
  if (const auto used = std::exchange(this->slot, std::nullopt)) {
    this->shared.broker.Release(*used,
                                aOutcome,
                                this->shared.now() - this->attemptBegin,
                                std::nullopt,
                                {});
  }
}

AttemptProgress
RequestRunner::Progress() const
{
  if (this->connection) {
    return this->connection->Progress();
  }
  // The connection of an earlier attempt was lost: the request has been sent.
  return this->attempts > 0 ? AttemptProgress::SentNoAnswer
                            : AttemptProgress::NothingSent;
}

void
RequestRunner::LogEnd(const calls::AnswerStep& aStep) const
{
  const core::ErrorRow& row = core::ErrorTable::RowOf(aStep.kind);
  const bool isFailure = aStep.kind != ErrorKind::None ||
                         aStep.answer->status >= kFirstFailureStatus;
  if (!isFailure && this->attempts <= 1) {
    return;
  }
  this->shared.log.Write(
    core::LogLevel::Info,
    "request_ended",
    { { "id", this->call.id },
      { "route", this->route.name },
      { "service", this->service },
      { "organisation", this->call.organisation },
      { "kind", row.name },
      { "outcome", core::ErrorTable::NameOf(row.outcome) },
      { "status",
        static_cast<std::int64_t>(aStep.answer ? aStep.answer->status
                                               : row.status) },
      { "instance", this->lastInstance },
      { "attempts", static_cast<std::int64_t>(this->attempts) },
      { "waited_ms", MillisecondsOf(this->slotWaitTime) },
      { "retry_after_ms", this->retryAfter.count() },
      { "limit_ms", MillisecondsOf(this->deadline - this->begin) },
      { "elapsed_ms", MillisecondsOf(this->shared.now() - this->begin) },
      { "configuration",
        static_cast<std::int64_t>(this->configurationVersion) } });
}

} // namespace fireflytrail::proxy
