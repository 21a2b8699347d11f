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

  // After a pause, the daemon takes calls again once it has heard of others.
  auto& exchanger = this->process->gossip->Exchanger();
  exchanger.CheckPause();
  const std::optional<ErrorKind> refusal =
    this->daemon.isReady && !exchanger.IsStale()
      ? this->daemon.refusal
      : std::optional(ErrorKind::NoConfiguration);
  if (refusal) {
    const ErrorKind kind = calls::CallFlow::RefusalKind(
      *refusal, this->request.ticket, this->process->ledger);
    ++this->world.record.ended[kind];
    this->Reply({ .kind = kind });
    this->process->sessions.erase(this->id);
    return;
  }
  if (this->request.attempt == 0 && !this->request.forwarded) {
    this->process->budgets.at(this->request.call->service)->CountFirstAttempt();
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
                     this->process->ledger,
                     this->process->guard);
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
  ++this->deadlineTimer;
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
  std::vector<calls::RetryBudget*> below;
  for (const auto& name : this->world.services.at(service).servicesBelow) {
    below.push_back(this->process->budgets.at(name).get());
  }
  return this->process->budgets.at(service)->TryCharge(below);
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
  const std::uint64_t current = this->token = this->world.NextId();
  this->progress = AttemptProgress::NothingSent;
  this->server = this->world.ServerOf(aStep.server.server);
  this->attemptBegin = this->world.clock.Now();
  this->lease = std::move(aStep.server.lease);
  SimulatedRequest sent = this->request;
  sent.attempt = aStep.attempt;
  sent.deadline = this->world.clock.Now() + aStep.timeLeft;
  this->world.record.attempts[this->request.call->service].push_back(
    { this->world.clock.Elapsed(), aStep.attempt > 0 });
  const auto cut = this->world.DrawCut(*this->request.call);
  SimulatedServer& target = *this->server;
  const auto kept = this->process->connections.find(target.key);
  const auto self = this->shared_from_this();
  if (kept != this->process->connections.end()) {
    this->WriteRequest(current, target, sent, cut);
    return;
  }
  const auto latency = this->world.Latency(this->daemon.domain, target.domain);
  this->world.clock.After(
    latency + target.service.connectTime,
    [self, current, &target, sent, cut, latency] {
      if (!target.isAlive) {
        self->daemon.Post(latency, [self, current] {
          self->EndAttempt(current, AttemptProgress::NothingSent);
        });
        return;
      }
      const std::uint64_t start = target.start;
      self->daemon.Post(latency, [self, current, &target, sent, cut, start] {
        self->process->connections[target.key] = start;
        self->WriteRequest(current, target, sent, cut);
      });
    });
}

void
SimulatedSession::WriteRequest(std::uint64_t aToken,
                               SimulatedServer& aServer,
                               const SimulatedRequest& aRequest,
                               std::optional<unsigned> aCut)
{

  // A daemon that was paused since the connect may be past the deadline: the
  // timer ends the call, and nothing must be sent.
  if (aToken != this->token || this->world.clock.Now() >= aRequest.deadline) {
    return;
  }
  const auto self = this->shared_from_this();
  const auto latency = this->world.Latency(this->daemon.domain, aServer.domain);
  const unsigned requestBytes = aRequest.call->requestBytes;
  if (aCut == 0U) {
    this->daemon.Post(latency, [self, aToken] {
      self->EndAttempt(aToken, AttemptProgress::NothingSent);
    });
    return;
  }
  this->progress = AttemptProgress::SentNoAnswer;
  if (aCut && *aCut < requestBytes) {
    this->daemon.Post(latency, [self, aToken] {
      self->EndAttempt(aToken, AttemptProgress::SentNoAnswer);
    });
    return;
  }
  const std::uint64_t start = this->process->connections[aServer.key];
  const auto back = [=, this](const ServerReply& aReply) {
    auto end = AttemptProgress::SentNoAnswer;
    if (aReply.kind == ServerReply::Kind::Answered && aCut &&
        *aCut > requestBytes) {
      end = AttemptProgress::AnswerTruncated;
    } else if (!aCut && aReply.kind == ServerReply::Kind::Answered) {
      end = this->world.answersAreInvalid ? AttemptProgress::AnswerInvalid
                                          : AttemptProgress::Answered;
    } else if (!aCut && aReply.kind == ServerReply::Kind::Refused) {
      end = AttemptProgress::Refused;
    }
    this->daemon.Post(latency, [self, aToken, end, aReply] {
      self->EndAttempt(aToken, end, aReply);
    });
  };
  this->world.clock.After(latency, [=, this, &aServer] {
    if (!aServer.isAlive || aServer.start != start) {

      // The kept connection led to a process that ended while the request was
      // on the wire.
      ++this->world.record.besideDeaths;

      this->process->connections.erase(aServer.key);
      back({ ServerReply::Kind::Reset,
             0,
             calls::CrashGuard::DeathIdOf(aServer.name, start, 0) });
      return;
    }
    aServer.Receive(aRequest, aToken, back);
  });
}

void
SimulatedSession::Forward(const calls::ForwardStep& aStep)
{
  const std::uint64_t current = this->token = this->world.NextId();
  this->progress = AttemptProgress::NothingSent;
  const auto self = this->shared_from_this();
  SimulatedDaemon* peer = this->world.DaemonOf(aStep.issuer.name);
  if (peer == nullptr || !peer->IsAlive() ||
      this->world.IsCut(this->daemon, *peer)) {
    this->daemon.Post(std::chrono::milliseconds(2), [self, current] {
      self->EndAttempt(current, AttemptProgress::NothingSent);
    });
    return;
  }
  this->progress = AttemptProgress::SentNoAnswer;
  // A peer connection is ordered and not lossy; a cut on the way leaves the
  // call without an answer until its deadline.
  SimulatedRequest sent = this->request;
  sent.forwarded = true;
  const auto latency =
    this->world.MessageDelay(this->daemon.domain, peer->domain);
  this->world.clock.After(latency, [=, this] {
    if (this->world.IsCut(this->daemon, *peer)) {
      return;
    }
    SimulatedRequest arrived = sent;
    arrived.deadline = this->world.clock.Now() + aStep.timeLeft;
    self->closeForward =
      peer->Handle(arrived, [=, this](const SimulatedReply& aReply) {
        if (this->world.IsCut(this->daemon, *peer)) {
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
SimulatedSession::EndAttempt(std::uint64_t aToken,
                             calls::AttemptProgress aProgress,
                             const ServerReply& aReply,
                             core::ErrorKind aIssuerKind)
{
  if (aToken != this->token || !this->flow) {
    return;
  }

  this->token = 0;
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
    this->process->connectFailed[this->server->key] = this->world.clock.Now();
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
    ++this->deadlineTimer;
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
  const std::uint64_t timer = ++this->deadlineTimer;
  this->daemon.Post(
    std::max(aDelay, microseconds(0)), [weak = this->weak_from_this(), timer] {
      const auto self = weak.lock();
      if (self && timer == self->deadlineTimer && !self->flow->HasEnded()) {
        self->Execute(self->flow->DeadlineReached(self->progress));
      }
    });
}

void
SimulatedSession::CloseAttempt()
{
  const std::uint64_t closed = std::exchange(this->token, 0);
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
