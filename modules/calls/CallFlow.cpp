#include "calls/CallFlow.h"

#include "core/ErrorTable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::calls {

namespace {

using core::CallOutcome;
using core::ErrorKind;
using core::ErrorTable;

/**
 * Maximum number of retries of a call that has had an attempt of unknown
 * outcome. Retries before that attempt count too. Retries after an answer that
 * counts as a failure are not subject to this maximum.
 */
constexpr unsigned kMaxRetriesAfterUnknownOutcome = 1;

} // namespace

CallFlow::CallFlow(CallRequest aRequest,
                   CallHooks aHooks,
                   TicketLedger& aLedger,
                   CrashGuard& aGuard,
                   CallTimes aTimes)
  : request(std::move(aRequest))
  , hooks(std::move(aHooks))
  , ledger(aLedger)
  , guard(aGuard)
  , times(aTimes)
{
  assert(this->hooks.now && this->hooks.tryChargeRetry);
  assert(this->hooks.issuerState && this->hooks.onTicketFinished);
}

CallFlow::~CallFlow()
{
  if (this->joinedTicket) {
    this->ledger.CancelJoin(*this->joinedTicket, this->joinId);
  }
  if (this->runningTicket) {
    this->ledger.Finish(*this->runningTicket, { ErrorKind::Internal, nullptr });
  }
}

CallStep
CallFlow::Begin()
{
  assert(this->state == State::New);
  if (!this->request.ticket.empty()) {
    return this->BeginWithTicket();
  }
  if (this->request.atMostOnce) {
    return this->End(ErrorKind::TicketRequired);
  }
  return this->StartAttempt(ErrorKind::None);
}

CallStep
CallFlow::BeginWithTicket()
{
  const core::Result<Ticket> parsed = Ticket::Parse(this->request.ticket);
  if (!parsed) {
    return this->End(ErrorKind::TicketInvalid);
  }
  const Ticket& ticket = parsed.value();
  if (this->ledger.Owns(ticket.issuer)) {
    const TicketDecision decision = this->ledger.Begin(
      ticket, this->request.digest, this->hooks.onTicketFinished);
    switch (decision.action) {
      case TicketDecision::Action::Run:
        this->runningTicket = ticket;
        return this->StartAttempt(ErrorKind::None);
      case TicketDecision::Action::Join:
        this->joinedTicket = ticket;
        this->joinId = decision.joinId;
        this->state = State::Joined;
        return WaitStep{};
      case TicketDecision::Action::Reply:
        return this->End(decision.outcome.kind, decision.outcome.answer);
    }
  }
  // If the names are equal, this process has replaced the issuing process. A
  // call is forwarded only once, so that daemons cannot forward it in a loop.
  if (ticket.issuer.name == this->ledger.Issuer().name ||
      this->request.forwarded) {
    return this->End(ErrorKind::IssuerGone);
  }
  switch (this->hooks.issuerState(ticket.issuer)) {
    case IssuerState::Gone:
      return this->End(ErrorKind::IssuerGone);
    case IssuerState::Unreachable:
      return this->End(ErrorKind::IssuerUnreachable);
    case IssuerState::Reachable:
      break;
  }
  const auto timeLeft = this->TimeLeft() - this->times.answerMargin;
  if (timeLeft.count() <= 0) {
    return this->End(ErrorKind::IssuerUnreachable);
  }
  this->state = State::Forwarding;
  return ForwardStep{ ticket.issuer, timeLeft };
}

CallStep
CallFlow::StartAttempt(core::ErrorKind aKindIfNoServer)
{
  if (this->guard.IsBlocked(this->request.digest)) {
    return this->End(ErrorKind::RequestCrashesServers);
  }
  const auto timeLeft = this->TimeLeft() - this->times.answerMargin;
  if (timeLeft.count() <= 0) {
    return this->End(ErrorKind::DeadlineBeforeSend);
  }
  this->kindIfNoServer = aKindIfNoServer;
  if (!this->hooks.chooseServer) {
    this->state = State::Choosing;
    return ChooseStep{ this->avoid, this->retries > 0 };
  }
  return this->SendTo(this->hooks.chooseServer(this->avoid));
}

CallStep
CallFlow::ServerChosen(core::Result<ServerHandle> aChosen)
{
  assert(this->state == State::Choosing);
  return this->SendTo(std::move(aChosen));
}

CallStep
CallFlow::SendTo(core::Result<ServerHandle> aChosen)
{
  if (!aChosen) {
    const ErrorKind kind = aChosen.error().kind;
    assert(ErrorTable::RowOf(kind).outcome == CallOutcome::NotRun ||
           kind == ErrorKind::RequestCrashesServers);
    return this->End(
      this->kindIfNoServer != ErrorKind::None ? this->kindIfNoServer : kind);
  }
  const auto timeLeft = this->TimeLeft() - this->times.answerMargin;
  if (timeLeft.count() <= 0) {
    return this->End(ErrorKind::DeadlineBeforeSend);
  }
  this->state = State::Sending;
  this->avoid.push_back(aChosen.value().server);
  return SendStep{ std::move(aChosen).value(),
                   timeLeft,
                   this->request.attempt + this->retries };
}

CallStep
CallFlow::AttemptEnded(const AttemptResult& aResult)
{
  assert(this->state == State::Sending || this->state == State::Forwarding ||
         this->state == State::Continuing);
  assert((aResult.progress == AttemptProgress::Answered) ==
           (aResult.answer != nullptr) ||
         this->state == State::Forwarding);
  if (this->state == State::Forwarding) {
    return this->RelayFromIssuer(aResult);
  }
  if (aResult.progress == AttemptProgress::Answered) {
    this->guard.RecordCompletion(this->request.digest);
    if (aResult.isFailure && this->MayRetryFailure() &&
        this->hooks.tryChargeRetry()) {
      this->failedAnswer = aResult.answer;
      ++this->retries;
      return this->StartAttempt(ErrorKind::None);
    }
    return this->End(ErrorKind::None, aResult.answer);
  }
  const ErrorKind kind = KindOf(aResult.progress);
  if (MayHaveRun(aResult.progress)) {
    this->unknownOutcomeKind = kind;
    if (aResult.death != 0) {
      this->guard.RecordDeath(this->request.digest, aResult.death);
      const std::size_t deaths = this->guard.DeathCount(this->request.digest);
      this->answerDelay = deaths > 1 ? this->times.laterDeathAnswerDelay
                                     : this->times.firstDeathAnswerDelay;
      if (deaths >= CrashGuard::kDeathsToBlock) {
        return this->End(ErrorKind::RequestCrashesServers);
      }
    }
  }
  if (this->MayRetry(kind) && this->hooks.tryChargeRetry()) {
    ++this->retries;
    return this->StartAttempt(kind);
  }
  return this->End(kind);
}

CallStep
CallFlow::DeadlineReached(AttemptProgress aProgress)
{
  switch (this->state) {
    case State::New:
    case State::Choosing:
    case State::Sending:
      if (!MayHaveRun(aProgress) || this->state != State::Sending) {
        return this->End(ErrorKind::DeadlineBeforeSend);
      }
      if (this->runningTicket) {
        return this->ContinueAttempt(ErrorKind::DeadlineAfterSend,
                                     this->hasCaller);
      }
      this->unknownOutcomeKind = ErrorKind::DeadlineAfterSend;
      return this->End(ErrorKind::DeadlineAfterSend);
    case State::Forwarding:
      return this->End(aProgress == AttemptProgress::NothingSent
                         ? ErrorKind::IssuerUnreachable
                         : ErrorKind::DeadlineAfterSend);
    case State::Joined:
    case State::Continuing:
      return this->End(ErrorKind::DeadlineAfterSend);
    case State::Ended:
      break;
  }
  assert(false);
  return WaitStep{};
}

CallStep
CallFlow::CallerGone(AttemptProgress aProgress)
{
  if (this->state == State::Continuing || this->state == State::Ended) {
    return WaitStep{};
  }
  // The caller may resend the request with its ticket: continue the attempt.
  if (this->runningTicket && this->state == State::Sending) {
    return WaitStep{};
  }
  const bool hasNotRun =
    this->state == State::New || this->state == State::Choosing ||
    (this->state == State::Sending && !MayHaveRun(aProgress));
  return this->End(hasNotRun ? ErrorKind::CallerClosed : ErrorKind::CallerGone);
}

CallStep
CallFlow::TicketFinished(const TicketOutcome& aOutcome)
{
  if (this->state != State::Joined) {
    // The deadline was reached before the outcome was delivered.
    return WaitStep{};
  }
  this->joinedTicket.reset();
  return this->End(aOutcome.kind, aOutcome.answer);
}

core::ErrorKind
CallFlow::RefusalKind(core::ErrorKind aKind,
                      std::string_view aTicket,
                      TicketLedger& aLedger)
{
  if (aTicket.empty() ||
      ErrorTable::RowOf(aKind).outcome != CallOutcome::NotRun) {
    return aKind;
  }
  const core::Result<Ticket> ticket = Ticket::Parse(aTicket);
  if (!ticket) {
    return ErrorKind::TicketInvalid;
  }
  if (aLedger.Owns(ticket.value().issuer)) {
    return aLedger.Refuse(ticket.value(), aKind);
  }
  return ticket.value().issuer.name == aLedger.Issuer().name
           ? ErrorKind::IssuerGone
           : ErrorKind::IssuerUnreachable;
}

CallStep
CallFlow::RelayFromIssuer(const AttemptResult& aResult)
{
  if (aResult.progress == AttemptProgress::Answered) {
    return this->End(aResult.issuerKind, aResult.answer);
  }
  return this->End(ErrorKind::IssuerUnreachable);
}

CallStep
CallFlow::End(core::ErrorKind aKind, std::shared_ptr<const Answer> aAnswer)
{
  assert(this->state != State::Ended);
  if (aKind != ErrorKind::None && this->failedAnswer && this->hasCaller) {
    return this->End(ErrorKind::None, std::exchange(this->failedAnswer, {}));
  }
  ErrorKind kind = aKind;
  if (this->unknownOutcomeKind != ErrorKind::None &&
      ErrorTable::RowOf(kind).outcome == CallOutcome::NotRun) {
    // An earlier attempt of this call may have run.
    kind = this->unknownOutcomeKind;
  }
  if (this->joinedTicket) {
    this->ledger.CancelJoin(*this->joinedTicket, this->joinId);
    this->joinedTicket.reset();
  }
  AnswerStep step;
  step.kind = kind;
  step.answer = kind == ErrorKind::None ? aAnswer : nullptr;
  step.deliver = this->hasCaller;
  step.answerDelay = kind == ErrorKind::None
                       ? std::chrono::milliseconds(0)
                       : std::clamp(this->TimeLeft(),
                                    std::chrono::milliseconds(0),
                                    this->answerDelay);
  this->state = State::Ended;
  if (this->runningTicket) {
    const Ticket ticket = *std::exchange(this->runningTicket, std::nullopt);
    this->ledger.Finish(ticket, { kind, step.answer });
  }
  return step;
}

CallStep
CallFlow::ContinueAttempt(core::ErrorKind aKind, bool aDeliver)
{
  this->state = State::Continuing;
  this->hasCaller = false;
  AnswerStep step;
  step.kind = aKind;
  step.deliver = aDeliver;
  step.attemptContinues = true;
  step.continuationTimeout = this->times.continuationTimeout;
  return step;
}

bool
CallFlow::MayRetry(core::ErrorKind aKind) const
{
  if (this->state == State::Continuing || this->request.attempt > 0 ||
      this->retries >= this->request.maxRetries) {
    return false;
  }
  const bool hasTicket = !this->request.ticket.empty();
  if (this->unknownOutcomeKind != ErrorKind::None &&
      (hasTicket || !this->request.repeatable || this->request.atMostOnce ||
       this->retries >= kMaxRetriesAfterUnknownOutcome)) {
    return false;
  }
  switch (ErrorTable::RowOf(aKind).gatewayMayRetry) {
    case core::RetryRule::Never:
      return false;
    case core::RetryRule::IfRepeatable:
      return this->request.repeatable && !hasTicket;
    case core::RetryRule::Always:
      return true;
  }
  return false;
}

bool
CallFlow::MayRetryFailure() const
{
  return this->state == State::Sending && this->request.attempt == 0 &&
         this->request.repeatable && this->request.ticket.empty() &&
         this->retries < this->request.maxRetries;
}

std::chrono::milliseconds
CallFlow::TimeLeft() const
{
  return std::chrono::floor<std::chrono::milliseconds>(this->request.deadline -
                                                       this->hooks.now());
}

} // namespace fireflytrail::calls
