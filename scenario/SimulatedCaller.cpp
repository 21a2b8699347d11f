#include "scenario/SimulatedCaller.h"

#include "core/ErrorTable.h"
#include "core/Hash.h"
#include "scenario/World.h"

#include <fmt/format.h>

#include <utility>

namespace fireflytrail::scenario {

namespace {

constexpr unsigned kTicketsAhead = 8;
constexpr std::chrono::milliseconds kBackoff{ 20 };
/** A daemon that does not issue tickets by then is left for another one. */
constexpr std::chrono::milliseconds kTicketTimeout{ 200 };

} // namespace

SimulatedCaller::SimulatedCaller(World& aWorld,
                                 const boost::json::object& aLoad)
  : world(aWorld)
{
  Fields load(aLoad, "load");
  const std::string name = load.Text("call");
  if (!aWorld.calls.contains(name)) {
    throw std::runtime_error("load: no such call: " + name);
  }
  this->call = &aWorld.calls.at(name);
  this->perSecond = load.Number("per_second");
  this->from = load.Milliseconds("from_ms", 0);
  this->to = load.Milliseconds("to_ms", 1e9);
  this->resends = static_cast<unsigned>(load.Number("resends", 0));
  this->count = static_cast<std::uint64_t>(load.Number("count", 1e9));
  this->impatience = load.Milliseconds("impatience_ms", 0);
  this->isSameRequest = load.Flag("same_request");
  this->isStubborn = load.Flag("stubborn");
  this->changesRequest = load.Flag("changes_request");
  this->withoutTicket = load.Flag("without_ticket");
  this->fixedTicket = load.Text("ticket", "");
  this->ticketAge = load.Milliseconds("ticket_age_ms", 0);
  // Without its own limit, a caller waits a little longer than the deadline.
  this->patience = load.Milliseconds(
    "patience_ms",
    std::chrono::duration<double, std::milli>(this->call->deadline).count() +
      100.0);
  load.Finish();
  if (this->isStubborn && this->call->atMostOnce) {
    throw std::runtime_error("load: stubborn callers run a call twice");
  }
}

void
SimulatedCaller::Start()
{
  this->world.clock.After(
    this->from + this->world.random.Exponential(1e6 / this->perSecond),
    [this] { this->StartSale(); });
}

void
SimulatedCaller::StartSale()
{
  if (this->world.clock.Elapsed() >= this->to || this->count == 0) {
    return;
  }
  --this->count;
  this->world.clock.After(this->world.random.Exponential(1e6 / this->perSecond),
                          [this] { this->StartSale(); });
  auto sale = std::make_shared<Sale>();
  sale->id = this->world.NextId();
  sale->digest = core::HashOf(this->call->name + " request",
                              this->isSameRequest ? 0 : sale->id);
  sale->resendsLeft = this->resends;
  ++this->world.record.startedCalls[this->call->name];
  this->SendWithTicket(sale, true);
}

void
SimulatedCaller::TakeTickets(std::function<void()> aThen)
{
  auto then = std::make_shared<std::function<void()>>(std::move(aThen));
  const auto proceed = [then] {
    if (const auto function = std::exchange(*then, {})) {
      function();
    }
  };
  this->world.clock.After(kTicketTimeout, proceed);
  this->world.clock.After(this->world.clientLatency, [this, proceed] {
    this->world.AnyDaemon().HandleTickets(
      kTicketsAhead, [this, proceed](const std::vector<std::string>& aTickets) {
        this->world.clock.After(
          this->world.clientLatency, [this, proceed, aTickets] {
            this->tickets.insert(
              this->tickets.end(), aTickets.begin(), aTickets.end());
            proceed();
          });
      });
  });
}

void
SimulatedCaller::SendWithTicket(const std::shared_ptr<Sale>& aSale,
                                bool aIsFirst)
{
  if (!this->call->atMostOnce || this->withoutTicket) {
    this->Send(aSale, aIsFirst);
    return;
  }
  if (!this->fixedTicket.empty()) {
    aSale->ticket = this->fixedTicket;
    this->Send(aSale, aIsFirst);
    return;
  }
  if (this->tickets.empty()) {
    this->TakeTickets(
      [this, aSale, aIsFirst] { this->SendWithTicket(aSale, aIsFirst); });
    return;
  }
  aSale->ticket = this->tickets.front();
  this->tickets.pop_front();
  this->world.clock.After(
    this->ticketAge, [this, aSale, aIsFirst] { this->Send(aSale, aIsFirst); });
}

void
SimulatedCaller::Send(const std::shared_ptr<Sale>& aSale, bool aIsFirst)
{
  SimulatedRequest request;
  request.call = this->call;
  request.sale = aSale->id;
  request.ticket = aSale->ticket;
  request.digest = aSale->digest;
  if (this->changesRequest && !aIsFirst) {
    request.digest = this->world.NextId();
  }
  request.runKey = aSale->ticket.empty() || this->changesRequest
                     ? fmt::format("send-{}", this->world.NextId())
                     : aSale->ticket;
  const auto sentAt = this->world.clock.Elapsed();
  // The answer, a broken connection and the caller's own limit race.
  auto isOpen = std::make_shared<bool>(true);
  auto close = std::make_shared<std::function<void()>>();
  const auto heard = [=, this](const SimulatedReply& aReply) {
    if (!std::exchange(*isOpen, false)) {
      return;
    }
    this->world.record.replies.push_back({ this->world.clock.Elapsed(),
                                           sentAt,
                                           aSale->id,
                                           request.runKey,
                                           this->call->name,
                                           aReply,
                                           aIsFirst });
    this->Answered(aSale, request.ticket, aReply);
  };
  const auto latency = [this] {
    return this->world.clientLatency +
           this->world.random.Time(this->world.clientJitter);
  };
  this->world.clock.After(latency(), [=, this]() mutable {
    request.deadline = this->world.clock.Now() + this->call->deadline;
    *close = this->world.AnyDaemon().Handle(
      request, [=, this](const SimulatedReply& aReply) {
        this->world.clock.After(latency(), [heard, aReply] { heard(aReply); });
      });
  });
  this->world.clock.After(this->patience, [=] {
    if (*isOpen && *close) {
      (*close)();
    }
    heard({ .isLost = true });
  });
  if (this->impatience.count() > 0 && aIsFirst) {
    this->world.clock.After(this->impatience, [=, this] {
      if (*isOpen) {
        this->Send(aSale, false);
      }
    });
  }
}

void
SimulatedCaller::Answered(const std::shared_ptr<Sale>& aSale,
                          const std::string& aTicket,
                          const SimulatedReply& aReply)
{
  const core::ErrorRow& row = core::ErrorTable::RowOf(aReply.kind);
  if (aSale->isDone ||
      (!aReply.isLost && row.outcome == core::CallOutcome::Complete)) {
    aSale->isDone = true;
    return;
  }
  const bool isNotRun =
    !aReply.isLost && row.outcome == core::CallOutcome::NotRun;

  if (aTicket != aSale->ticket) {
    // This answers an earlier ticket: the present one has its own answer.
    return;
  }
  const bool isSafe = this->call->repeatable || !aSale->ticket.empty();
  const bool mayResend =
    aReply.isLost
      ? isSafe
      : row.callerMayResend == core::ResendRule::Always ||
          (row.callerMayResend == core::ResendRule::IfSafe && isSafe);
  if (mayResend || this->isStubborn) {
    this->Resend(aSale, isNotRun);
  } else {
    aSale->isDone = true;
  }
}

void
SimulatedCaller::Resend(const std::shared_ptr<Sale>& aSale, bool aWithNewTicket)
{
  if (aSale->resendsLeft == 0) {
    return;
  }

  --aSale->resendsLeft;
  if (aWithNewTicket) {
    // Late answers for the old ticket no longer count.
    aSale->ticket.clear();
  }
  this->world.clock.After(kBackoff, [=, this, ticket = aSale->ticket] {
    if (aWithNewTicket) {
      this->SendWithTicket(aSale, false);
    } else if (ticket == aSale->ticket) {
      this->Send(aSale, false);
    }
  });
}

} // namespace fireflytrail::scenario
