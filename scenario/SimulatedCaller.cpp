#include "scenario/SimulatedCaller.h"

#include "core/ErrorTable.h"
#include "core/Hash.h"
#include "scenario/World.h"

#include <fmt/format.h>

#include <utility>

namespace fireflytrail::scenario {

namespace {

constexpr unsigned kTicketBatchSize = 8;
constexpr std::chrono::milliseconds kBackoff{ 20 };
/** If a daemon issues no tickets within this time, another one is asked. */
constexpr std::chrono::milliseconds kTicketTimeout{ 200 };

} // namespace

SimulatedCaller::SimulatedCaller(World& aWorld,
                                 const boost::json::object& aLoad)
  : world(aWorld)
{
  Fields load(aLoad, "load");
  const std::string name = load.String("call");
  if (!aWorld.calls.contains(name)) {
    throw std::runtime_error("load: unknown call: " + name);
  }
  this->call = &aWorld.calls.at(name);
  this->perSecond = load.Number("per_second");
  this->from = load.Milliseconds("from_ms", 0);
  this->to = load.Milliseconds("to_ms", 1e9);
  this->resends = static_cast<unsigned>(load.Number("resends", 0));
  this->count = static_cast<std::uint64_t>(load.Number("count", 1e9));
  this->hedgeDelay = load.Milliseconds("impatience_ms", 0);
  this->isSameRequest = load.Flag("same_request");
  this->alwaysResends = load.Flag("stubborn");
  this->changesRequest = load.Flag("changes_request");
  this->withoutTicket = load.Flag("without_ticket");
  this->fixedTicket = load.String("ticket", "");
  this->ticketAge = load.Milliseconds("ticket_age_ms", 0);
  // By default, a caller waits 100 ms longer than the deadline of the call.
  this->replyTimeout = load.Milliseconds(
    "patience_ms",
    std::chrono::duration<double, std::milli>(this->call->deadline).count() +
      100.0);
  load.CheckAllRead();
  if (this->alwaysResends && this->call->atMostOnce) {
    throw std::runtime_error(
      "load: \"stubborn\" would run an at-most-once call twice");
  }
}

void
SimulatedCaller::Start()
{
  this->world.clock.After(
    this->from + this->world.random.Exponential(1e6 / this->perSecond),
    [this] { this->StartCall(); });
}

void
SimulatedCaller::StartCall()
{
  if (this->world.clock.Elapsed() >= this->to || this->count == 0) {
    return;
  }
  --this->count;
  this->world.clock.After(this->world.random.Exponential(1e6 / this->perSecond),
                          [this] { this->StartCall(); });
  auto logicalCall = std::make_shared<LogicalCall>();
  logicalCall->id = this->world.NextId();
  logicalCall->digest = core::HashOf(this->call->name + " request",
                                     this->isSameRequest ? 0 : logicalCall->id);
  logicalCall->resendsLeft = this->resends;
  ++this->world.record.startedCalls[this->call->name];
  this->SendWithTicket(logicalCall, true);
}

void
SimulatedCaller::FetchTickets(std::function<void()> aContinuation)
{
  auto continuation =
    std::make_shared<std::function<void()>>(std::move(aContinuation));
  const auto proceed = [continuation] {
    if (const auto function = std::exchange(*continuation, {})) {
      function();
    }
  };
  this->world.clock.After(kTicketTimeout, proceed);
  this->world.clock.After(this->world.clientLatency, [this, proceed] {
    this->world.RandomDaemon().HandleTickets(
      kTicketBatchSize,
      [this, proceed](const std::vector<std::string>& aTickets) {
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
SimulatedCaller::SendWithTicket(
  const std::shared_ptr<LogicalCall>& aLogicalCall,
  bool aIsFirstSend)
{
  if (!this->call->atMostOnce || this->withoutTicket) {
    this->Send(aLogicalCall, aIsFirstSend);
    return;
  }
  if (!this->fixedTicket.empty()) {
    aLogicalCall->ticket = this->fixedTicket;
    this->Send(aLogicalCall, aIsFirstSend);
    return;
  }
  if (this->tickets.empty()) {
    this->FetchTickets([this, aLogicalCall, aIsFirstSend] {
      this->SendWithTicket(aLogicalCall, aIsFirstSend);
    });
    return;
  }
  aLogicalCall->ticket = this->tickets.front();
  this->tickets.pop_front();
  this->world.clock.After(this->ticketAge, [this, aLogicalCall, aIsFirstSend] {
    this->Send(aLogicalCall, aIsFirstSend);
  });
}

void
SimulatedCaller::Send(const std::shared_ptr<LogicalCall>& aLogicalCall,
                      bool aIsFirstSend)
{
  SimulatedRequest request;
  request.call = this->call;
  request.logicalCall = aLogicalCall->id;
  request.ticket = aLogicalCall->ticket;
  request.digest = aLogicalCall->digest;
  if (this->changesRequest && !aIsFirstSend) {
    request.digest = this->world.NextId();
  }
  request.runKey = aLogicalCall->ticket.empty() || this->changesRequest
                     ? fmt::format("send-{}", this->world.NextId())
                     : aLogicalCall->ticket;
  const auto sentAt = this->world.clock.Elapsed();
  // Of the reply, a broken connection and the timeout, only the first counts.
  auto isOpen = std::make_shared<bool>(true);
  auto close = std::make_shared<std::function<void()>>();
  const auto onReply = [=, this](const SimulatedReply& aReply) {
    if (!std::exchange(*isOpen, false)) {
      return;
    }
    this->world.record.replies.push_back({ this->world.clock.Elapsed(),
                                           sentAt,
                                           aLogicalCall->id,
                                           request.runKey,
                                           this->call->name,
                                           aReply,
                                           aIsFirstSend });
    this->HandleReply(aLogicalCall, request.ticket, aReply);
  };
  const auto latency = [this] {
    return this->world.clientLatency +
           this->world.random.Time(this->world.clientJitter);
  };
  this->world.clock.After(latency(), [=, this]() mutable {
    request.deadline = this->world.clock.Now() + this->call->deadline;
    *close = this->world.RandomDaemon().Handle(
      request, [=, this](const SimulatedReply& aReply) {
        this->world.clock.After(latency(),
                                [onReply, aReply] { onReply(aReply); });
      });
  });
  this->world.clock.After(this->replyTimeout, [=] {
    if (*isOpen && *close) {
      (*close)();
    }
    onReply({ .isLost = true });
  });
  if (this->hedgeDelay.count() > 0 && aIsFirstSend) {
    this->world.clock.After(this->hedgeDelay, [=, this] {
      if (*isOpen) {
        this->Send(aLogicalCall, false);
      }
    });
  }
}

void
SimulatedCaller::HandleReply(const std::shared_ptr<LogicalCall>& aLogicalCall,
                             const std::string& aTicket,
                             const SimulatedReply& aReply)
{
  const core::ErrorRow& row = core::ErrorTable::RowOf(aReply.kind);
  if (aLogicalCall->isDone ||
      (!aReply.isLost && row.outcome == core::CallOutcome::Complete)) {
    aLogicalCall->isDone = true;
    return;
  }
  const bool isNotRun =
    !aReply.isLost && row.outcome == core::CallOutcome::NotRun;

  if (aTicket != aLogicalCall->ticket) {
    // A reply for an earlier ticket is ignored: the current ticket gets its
    // own.
    return;
  }
  const bool isSafe = this->call->repeatable || !aLogicalCall->ticket.empty();
  const bool mayResend =
    aReply.isLost
      ? isSafe
      : row.callerMayResend == core::ResendRule::Always ||
          (row.callerMayResend == core::ResendRule::IfSafe && isSafe);
  if (mayResend || this->alwaysResends) {
    this->Resend(aLogicalCall, isNotRun);
  } else {
    aLogicalCall->isDone = true;
  }
}

void
SimulatedCaller::Resend(const std::shared_ptr<LogicalCall>& aLogicalCall,
                        bool aWithNewTicket)
{
  if (aLogicalCall->resendsLeft == 0) {
    return;
  }

  --aLogicalCall->resendsLeft;
  if (aWithNewTicket) {
    // Late replies for the old ticket are ignored.
    aLogicalCall->ticket.clear();
  }
  this->world.clock.After(kBackoff, [=, this, ticket = aLogicalCall->ticket] {
    if (aWithNewTicket) {
      this->SendWithTicket(aLogicalCall, false);
    } else if (ticket == aLogicalCall->ticket) {
      this->Send(aLogicalCall, false);
    }
  });
}

} // namespace fireflytrail::scenario
