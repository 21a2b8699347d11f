#include "scenario/SimulatedSession.h"

#include "scenario/World.h"

#include <algorithm>
#include <utility>

namespace fireflytrail::scenario {

using calls::AttemptProgress;
using core::ErrorKind;

SimulatedSession::SimulatedSession(World& aWorld,
                                   SimulatedDaemon& aDaemon,
                                   std::shared_ptr<DaemonProcess> aProcess,
                                   std::uint64_t aId,
                                   const SimulatedRequest& aRequest,
                                   SimulatedDaemon::ReplyFunction aReply)
  : world(aWorld)
  , daemon(aDaemon)
  , process(std::move(aProcess))
  , id(aId)
  , request(aRequest)
  , reply(std::move(aReply))
{
}

void
SimulatedSession::Begin()
{

  // After a pause, calls are refused until gossip is no longer stale.
  auto& exchanger = this->process->gossip->Exchanger();
  exchanger.CheckPause();
  const std::optional<ErrorKind> refusal =
    this->daemon.isReady && !exchanger.IsStale()
      ? this->daemon.refusal
      : std::optional(ErrorKind::NoConfiguration);
  if (refusal) {
    const ErrorKind kind = calls::CallFlow::RefusalKind(
      *refusal, this->request.ticket, this->process->ticketLedger);
    ++this->world.record.ended[kind];
    this->Reply({ .kind = kind });
    this->process->sessions.erase(this->id);
    return;
  }
  if (this->request.attempt == 0 && !this->request.forwarded) {
    this->process->retryBudgets.at(this->request.call->service)
      ->CountFirstAttempt();
  }
  calls::CallRequest call;
  call.digest = this->request.digest;
  call.deadline = this->request.deadline;
  call.repeatable = this->request.call->repeatable;
  call.atMostOnce = this->request.call->atMostOnce;
  call.ticket = this->request.ticket;
  call.attempt = this->request.attempt;
  call.forwarded = this->request.forwarded;
  this->flow.emplace(std::move(call),
                     this->Hooks(),
                     this->process->ticketLedger,
                     this->process->crashGuard);
  this->ArmDeadline(std::chrono::duration_cast<microseconds>(
    this->request.deadline - this->world.clock.Now()));
  this->Execute(this->flow->Begin());
}

void
SimulatedSession::CallerGone()
{
  this->reply = {};
  if (this->flow && !this->flow->HasEnded()) {
    this->Execute(this->flow->CallerGone(this->progress));
  }
}

void
SimulatedSession::ProcessEnded()
{
  this->CloseAttempt();
  this->Reply({ .isLost = true });
}

void
SimulatedSession::Drop()
{
  this->CloseAttempt();
  ++this->deadlineTimerId;
  this->flow.reset();
  ++this->world.record.ended[ErrorKind::Internal];
  this->Reply({ .kind = ErrorKind::Internal });
  this->process->sessions.erase(this->id);
}

calls::CallHooks
SimulatedSession::Hooks()
{
  calls::CallHooks hooks;
  hooks.now = this->world.clock.NowHook();
  hooks.chooseServer = [this](std::span<const std::uint64_t> aAvoid) {
    return this->Choose(aAvoid);
  };
  hooks.tryChargeRetry = [this] { return this->TryChargeRetry(); };
  hooks.issuerState = [this](const core::DaemonId& aIssuer) {
    return this->daemon.IssuerStateOf(aIssuer);
  };
  hooks.onTicketFinished = [this, weak = this->weak_from_this()](
                             const calls::TicketOutcome& aOutcome) {
    this->daemon.Post(microseconds(0), [weak, aOutcome] {
      const auto self = weak.lock();
      if (self && self->flow && !self->flow->HasEnded()) {
        self->Execute(self->flow->TicketFinished(aOutcome));
      }
    });
  };
  return hooks;
}

core::Result<calls::ServerHandle>
SimulatedSession::Choose(std::span<const std::uint64_t> aAvoid)
{
  if (this->daemon.choiceError) {
    return core::Error{ *this->daemon.choiceError, "set by the scenario" };
  }
  return this->world.chooseServer(
    *this->process, this->request.call->service, aAvoid);
}

bool
SimulatedSession::TryChargeRetry()
{
  const std::string& service = this->request.call->service;
  std::vector<calls::RetryBudget*> reachableBudgets;
  for (const auto& name : this->world.services.at(service).reachableServices) {
    reachableBudgets.push_back(this->process->retryBudgets.at(name).get());
  }
  return this->process->retryBudgets.at(service)->TryCharge(reachableBudgets);
}

void
SimulatedSession::Execute(calls::CallStep aStep)
{
  if (auto* send = std::get_if<calls::SendStep>(&aStep)) {
    this->Send(std::move(*send));
  } else if (const auto* forward = std::get_if<calls::ForwardStep>(&aStep)) {
    this->Forward(*forward);
  } else if (const auto* answer = std::get_if<calls::AnswerStep>(&aStep)) {
    this->Answer(*answer);
  }
}

void
SimulatedSession::Send(calls::SendStep aStep)
{
  const std::uint64_t current = this->attemptId = this->world.NextId();
  this->progress = AttemptProgress::NothingSent;
  this->server = this->world.ServerByKey(aStep.server.server);
  this->attemptBegin = this->world.clock.Now();
  this->lease = std::move(aStep.server.lease);
  SimulatedRequest sent = this->request;
  sent.attempt = aStep.attempt;
  sent.deadline = this->world.clock.Now() + aStep.timeLeft;
  this->world.record.attempts[this->request.call->service].push_back(
    { this->world.clock.Elapsed(), aStep.attempt > 0 });
  const auto failAtByte =
    this->world.DrawConnectionFailure(*this->request.call);
  SimulatedServer& target = *this->server;
  const auto kept = this->process->connections.find(target.key);
  const auto self = this->shared_from_this();
  if (kept != this->process->connections.end()) {
    this->WriteRequest(current, target, sent, failAtByte);
    return;
  }
  const auto latency = this->world.Latency(this->daemon.domain, target.domain);
  this->world.clock.After(
    latency + target.service.connectTime,
    [self, current, &target, sent, failAtByte, latency] {
      if (!target.isAlive) {
        self->daemon.Post(latency, [self, current] {
          self->EndAttempt(current, AttemptProgress::NothingSent);
        });
        return;
      }
      const std::uint64_t startId = target.startId;
      self->daemon.Post(latency,
                        [self, current, &target, sent, failAtByte, startId] {
                          self->process->connections[target.key] = startId;
                          self->WriteRequest(current, target, sent, failAtByte);
                        });
    });
}

void
SimulatedSession::WriteRequest(std::uint64_t aAttemptId,
                               SimulatedServer& aServer,
                               const SimulatedRequest& aRequest,
                               std::optional<unsigned> aFailAtByte)
{

  // If the daemon was paused after it connected, the deadline may have passed:
  // the deadline timer ends the call, and nothing must be sent.
  if (aAttemptId != this->attemptId ||
      this->world.clock.Now() >= aRequest.deadline) {
    return;
  }
  const auto self = this->shared_from_this();
  const auto latency = this->world.Latency(this->daemon.domain, aServer.domain);
  const unsigned requestBytes = aRequest.call->requestBytes;
  if (aFailAtByte == 0U) {
    this->daemon.Post(latency, [self, aAttemptId] {
      self->EndAttempt(aAttemptId, AttemptProgress::NothingSent);
    });
    return;
  }
  this->progress = AttemptProgress::SentNoAnswer;
  if (aFailAtByte && *aFailAtByte < requestBytes) {
    this->daemon.Post(latency, [self, aAttemptId] {
      self->EndAttempt(aAttemptId, AttemptProgress::SentNoAnswer);
    });
    return;
  }
  const std::uint64_t startId = this->process->connections[aServer.key];
  const auto onServerReply = [=, this](const ServerReply& aReply) {
    auto end = AttemptProgress::SentNoAnswer;
    if (aReply.kind == ServerReply::Kind::Answered && aFailAtByte &&
        *aFailAtByte > requestBytes) {
      end = AttemptProgress::AnswerTruncated;
    } else if (!aFailAtByte && aReply.kind == ServerReply::Kind::Answered) {
      end = this->world.answersAreInvalid ? AttemptProgress::AnswerInvalid
                                          : AttemptProgress::Answered;
    } else if (!aFailAtByte && aReply.kind == ServerReply::Kind::Refused) {
      end = AttemptProgress::Refused;
    }
    this->daemon.Post(latency, [self, aAttemptId, end, aReply] {
      self->EndAttempt(aAttemptId, end, aReply);
    });
  };
  this->world.clock.After(latency, [=, this, &aServer] {
    if (!aServer.isAlive || aServer.startId != startId) {

      // The server process at the other end of the open connection ended while
      // the request was on the wire.
      ++this->world.record.collateralCalls;

      this->process->connections.erase(aServer.key);
      onServerReply({ ServerReply::Kind::Reset,
                      0,
                      calls::CrashGuard::DeathIdOf(aServer.name, startId, 0) });
      return;
    }
    aServer.Receive(aRequest, aAttemptId, onServerReply);
  });
}

void
SimulatedSession::Forward(const calls::ForwardStep& aStep)
{
  const std::uint64_t current = this->attemptId = this->world.NextId();
  this->progress = AttemptProgress::NothingSent;
  const auto self = this->shared_from_this();
  SimulatedDaemon* peer = this->world.FindDaemon(aStep.issuer.name);
  if (peer == nullptr || !peer->IsAlive() ||
      this->world.IsPartitioned(this->daemon, *peer)) {
    this->daemon.Post(std::chrono::milliseconds(2), [self, current] {
      self->EndAttempt(current, AttemptProgress::NothingSent);
    });
    return;
  }
  this->progress = AttemptProgress::SentNoAnswer;
  // Peer connections are ordered and lose no messages. A partition that starts
  // during the forward leaves the call without an answer until its deadline.
  SimulatedRequest sent = this->request;
  sent.forwarded = true;
  const auto latency =
    this->world.MessageDelay(this->daemon.domain, peer->domain);
  this->world.clock.After(latency, [=, this] {
    if (this->world.IsPartitioned(this->daemon, *peer)) {
      return;
    }
    SimulatedRequest arrived = sent;
    arrived.deadline = this->world.clock.Now() + aStep.timeLeft;
    self->closeForward =
      peer->Handle(arrived, [=, this](const SimulatedReply& aReply) {
        if (this->world.IsPartitioned(this->daemon, *peer)) {
          return;
        }
        const auto end = aReply.isLost ? AttemptProgress::SentNoAnswer
                                       : AttemptProgress::Answered;
        this->daemon.Post(
          this->world.MessageDelay(peer->domain, this->daemon.domain), [=] {
            self->EndAttempt(current,
                             end,
                             { ServerReply::Kind::Answered, aReply.status, 0 },
                             aReply.kind);
          });
      });
  });
}

void
SimulatedSession::EndAttempt(std::uint64_t aAttemptId,
                             calls::AttemptProgress aProgress,
                             const ServerReply& aReply,
                             core::ErrorKind aIssuerKind)
{
  if (aAttemptId != this->attemptId || !this->flow) {
    return;
  }

  this->attemptId = 0;
  if (this->server != nullptr && this->world.attemptEnded) {
    this->world.attemptEnded(*this->process,
                             this->server->key,
                             aProgress,
                             aReply,
                             std::chrono::duration_cast<microseconds>(
                               this->world.clock.Now() - this->attemptBegin));
  }
  this->lease.reset();
  if (this->server != nullptr && aProgress == AttemptProgress::SentNoAnswer) {
    this->process->connections.erase(this->server->key);
  }
  if (this->server != nullptr && aProgress == AttemptProgress::NothingSent) {
    this->process->lastConnectFailure[this->server->key] =
      this->world.clock.Now();
  }
  calls::AttemptResult result;
  result.progress = aProgress;
  result.issuerKind = aIssuerKind;
  if (aProgress == AttemptProgress::Answered &&
      aIssuerKind == ErrorKind::None) {
    auto answer = std::make_shared<calls::Answer>();
    answer->status = aReply.status;
    answer->body.resize(this->request.call->answerBytes);
    result.answer = std::move(answer);
  }
  result.death = aReply.death;
  this->Execute(this->flow->AttemptEnded(result));
}

void
SimulatedSession::Answer(const calls::AnswerStep& aStep)
{
  ++this->world.record.ended[aStep.kind];
  const SimulatedReply out{ aStep.kind,
                            aStep.answer ? aStep.answer->status : 0 };
  if (!aStep.attemptContinues) {
    this->CloseAttempt();
    ++this->deadlineTimerId;
  } else {
    this->ArmDeadline(aStep.continuationTimeout);
  }
  const auto self = this->shared_from_this();
  if (aStep.deliver && aStep.answerDelay.count() > 0) {
    this->daemon.Post(aStep.answerDelay, [self, out] {
      self->Reply(out);
      self->process->sessions.erase(self->id);
    });
    return;
  }
  if (aStep.deliver) {
    this->Reply(out);
  }
  if (!aStep.attemptContinues) {
    this->process->sessions.erase(this->id);
  }
}

void
SimulatedSession::ArmDeadline(microseconds aDelay)
{
  const std::uint64_t timerId = ++this->deadlineTimerId;
  this->daemon.Post(
    std::max(aDelay, microseconds(0)),
    [weak = this->weak_from_this(), timerId] {
      const auto self = weak.lock();
      if (self && timerId == self->deadlineTimerId && !self->flow->HasEnded()) {
        self->Execute(self->flow->DeadlineReached(self->progress));
      }
    });
}

void
SimulatedSession::CloseAttempt()
{
  const std::uint64_t closed = std::exchange(this->attemptId, 0);
  this->lease.reset();
  if (closed != 0 && this->closeForward) {
    this->closeForward();
  }
  if (closed != 0 && this->server != nullptr) {
    SimulatedServer& target = *this->server;
    this->world.clock.After(
      this->world.Latency(this->daemon.domain, target.domain),
      [&target, closed] { target.Cancel(closed); });
  }
}

void
SimulatedSession::Reply(const SimulatedReply& aReply)
{
  if (const auto out = std::exchange(this->reply, {})) {
    out(aReply);
  }
}

} // namespace fireflytrail::scenario
