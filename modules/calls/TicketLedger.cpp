#include "calls/TicketLedger.h"

#include "core/ErrorTable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::calls {

TicketLedger::TicketLedger(core::DaemonId aIssuer,
                           std::uint64_t aSecret,
                           core::NowFunction aNow,
                           TicketLimits aLimits)
  : issuer(std::move(aIssuer))
  , secret(aSecret)
  , now(std::move(aNow))
  , limits(aLimits)
{
  assert(!this->issuer.name.empty());
  assert(this->now);
  assert(this->limits.lifetime.count() > 0);
}

core::Result<Ticket>
TicketLedger::Issue()
{
  const std::lock_guard lock(this->mutex);
  this->RemoveExpired();
  if (this->entries.size() >= this->limits.tickets) {
    return core::Error{ core::ErrorKind::Overloaded,
                        "too many unexpired tickets" };
  }
  Ticket ticket;
  ticket.issuer = this->issuer;
  ticket.sequence = this->firstSequence + this->entries.size();
  ticket.expiry =
    std::chrono::milliseconds(this->NowMs()) + this->limits.lifetime;
  ticket.check = ticket.CheckFor(this->secret);
  Entry& entry = this->entries.emplace_back();
  entry.expiryMs = ticket.expiry.count();
  return ticket;
}

bool
TicketLedger::Owns(const core::DaemonId& aIssuer) const
{
  return aIssuer == this->issuer;
}

TicketDecision
TicketLedger::Begin(const Ticket& aTicket,
                    std::uint64_t aDigest,
                    TicketFinishedFunction aOnFinished)
{
  assert(this->Owns(aTicket.issuer));
  const std::lock_guard lock(this->mutex);
  TicketDecision decision;
  const core::Result<Entry*> found = this->Find(aTicket);
  if (!found) {
    decision.outcome.kind = found.error().kind;
    return decision;
  }
  Entry& entry = *found.value();
  if (entry.hasDigest && entry.digest != aDigest) {
    decision.outcome.kind = core::ErrorKind::TicketMismatch;
    return decision;
  }
  switch (entry.state) {
    case State::Unused:
      entry.state = State::Running;
      entry.digest = aDigest;
      entry.hasDigest = true;
      decision.action = TicketDecision::Action::Run;
      break;
    case State::Running:
      decision.action = TicketDecision::Action::Join;
      decision.joinId = this->nextJoinId++;
      this->joinedCalls[aTicket.sequence].emplace_back(decision.joinId,
                                                       std::move(aOnFinished));
      break;
    case State::Finished:
      decision.outcome = this->OutcomeOf(entry);
      break;
  }
  return decision;
}

void
TicketLedger::CancelJoin(const Ticket& aTicket, std::uint64_t aJoinId)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->joinedCalls.find(aTicket.sequence);
  if (found == this->joinedCalls.end()) {
    return;
  }
  std::erase_if(found->second, [aJoinId](const auto& aJoined) {
    return aJoined.first == aJoinId;
  });
  if (found->second.empty()) {
    this->joinedCalls.erase(found);
  }
}

void
TicketLedger::Finish(const Ticket& aTicket, TicketOutcome aOutcome)
{
  assert((aOutcome.kind == core::ErrorKind::None) ==
         (aOutcome.answer != nullptr));
  std::vector<std::pair<std::uint64_t, TicketFinishedFunction>> joins;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->joinedCalls.find(aTicket.sequence);
    if (found != this->joinedCalls.end()) {
      joins = std::move(found->second);
      this->joinedCalls.erase(found);
    }
    // If the request outlived its ticket, the entry was already removed and
    // resends get "ticket expired".
    if (aTicket.sequence >= this->firstSequence) {
      Entry& entry = this->entries[aTicket.sequence - this->firstSequence];
      assert(entry.state == State::Running);
      entry.state = State::Finished;
      entry.kind = aOutcome.kind;
      if (aOutcome.answer) {
        this->KeepAnswer(aTicket.sequence, entry, aOutcome.answer);
      }
    }
  }
  for (const auto& [joinId, callback] : joins) {
    callback(aOutcome);
  }
}

core::ErrorKind
TicketLedger::Refuse(const Ticket& aTicket, core::ErrorKind aKind)
{
  assert(core::ErrorTable::RowOf(aKind).outcome == core::CallOutcome::NotRun);
  const std::lock_guard lock(this->mutex);
  const core::Result<Entry*> found = this->Find(aTicket);
  if (!found) {
    return found.error().kind;
  }
  Entry& entry = *found.value();
  if (entry.state == State::Unused) {
    entry.state = State::Finished;
    entry.kind = aKind;
    return aKind;
  }
  if (entry.state == State::Finished) {
    const auto& row = core::ErrorTable::RowOf(entry.kind);
    if (row.outcome == core::CallOutcome::NotRun) {
      return entry.kind;
    }
  }
  // The request may have run, and a refused call does not get its outcome.
  return core::ErrorKind::IssuerUnreachable;
}

std::size_t
TicketLedger::KeptBytes() const
{
  const std::lock_guard lock(this->mutex);
  return this->keptBytes;
}

std::size_t
TicketLedger::UnexpiredCount() const
{
  const std::lock_guard lock(this->mutex);
  return this->entries.size();
}

std::int64_t
TicketLedger::NowMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           this->now().time_since_epoch())
    .count();
}

core::Result<TicketLedger::Entry*>
TicketLedger::Find(const Ticket& aTicket)
{
  if (aTicket.check != aTicket.CheckFor(this->secret)) {
    return core::Error{ core::ErrorKind::TicketInvalid,
                        "ticket check value does not match" };
  }
  this->RemoveExpired();
  if (aTicket.sequence < this->firstSequence ||
      aTicket.expiry.count() <= this->NowMs()) {
    return core::Error{ core::ErrorKind::TicketExpired, "ticket has expired" };
  }
  const std::uint64_t index = aTicket.sequence - this->firstSequence;
  if (index >= this->entries.size()) {
    return core::Error{ core::ErrorKind::TicketInvalid,
                        "ticket was never issued" };
  }
  return &this->entries[index];
}

TicketOutcome
TicketLedger::OutcomeOf(const Entry& aEntry) const
{
  const core::ErrorRow& row = core::ErrorTable::RowOf(aEntry.kind);
  if (row.outcome == core::CallOutcome::NotRun ||
      (row.outcome == core::CallOutcome::Unknown &&
       row.callerMayResend == core::ResendRule::Never)) {
    return { aEntry.kind, nullptr };
  }
  // An unknown outcome such as "connection lost" allows the caller to send the
  // request again. A resend gets a kind that allows no further ones, since the
  // outcome will never become known.
  if (!aEntry.answer) {
    return { core::ErrorKind::TicketAnswerDropped, nullptr };
  }
  return { core::ErrorKind::None, aEntry.answer };
}

void
TicketLedger::KeepAnswer(std::uint64_t aSequence,
                         Entry& aEntry,
                         std::shared_ptr<const Answer> aAnswer)
{
  const std::size_t bytes = aAnswer->Bytes();
  if (bytes > this->limits.answerBytes) {
    return;
  }
  aEntry.answer = std::move(aAnswer);
  this->keptBytes += bytes;
  this->keptSequences.push_back(aSequence);
  while (this->keptBytes > this->limits.answerBytes) {
    const std::uint64_t oldest = this->keptSequences.front();
    this->keptSequences.pop_front();
    if (oldest >= this->firstSequence) {
      this->DropAnswer(this->entries[oldest - this->firstSequence]);
    }
  }
}

void
TicketLedger::DropAnswer(Entry& aEntry)
{
  if (aEntry.answer) {
    this->keptBytes -= aEntry.answer->Bytes();
    aEntry.answer.reset();
  }
}

void
TicketLedger::RemoveExpired()
{
  // All tickets have the same lifetime, so the oldest expire first.
  const std::int64_t nowMs = this->NowMs();
  while (!this->entries.empty() && this->entries.front().expiryMs <= nowMs) {
    this->DropAnswer(this->entries.front());
    this->entries.pop_front();
    ++this->firstSequence;
  }
  while (!this->keptSequences.empty() &&
         this->keptSequences.front() < this->firstSequence) {
    this->keptSequences.pop_front();
  }
}

} // namespace fireflytrail::calls
