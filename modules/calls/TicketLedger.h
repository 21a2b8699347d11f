#pragma once

#include "calls/Answer.h"
#include "calls/Ticket.h"
#include "core/Hooks.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace fireflytrail::calls {

/** Final outcome of the request of a ticket. */
struct TicketOutcome
{
  /** `None` if there is an answer. */
  core::ErrorKind kind = core::ErrorKind::Internal;
  /** Set if and only if the kind is `None`. */
  std::shared_ptr<const Answer> answer;
};

/** Receives the outcome of the running call that a resend has joined. */
using TicketFinishedFunction = std::function<void(const TicketOutcome&)>;

/** How to proceed with a call that carries a ticket. */
struct TicketDecision
{
  enum class Action : std::uint8_t
  {
    /** First use of the ticket: run the request, then call `Finish`. */
    Run,
    /** The request is already running: wait for the callback. */
    Join,
    /** Answer with `outcome`. */
    Reply,
  };

  Action action = Action::Reply;
  /** Set for `Reply`. */
  TicketOutcome outcome;
  /** Set for `Join`: the argument for `CancelJoin`. */
  std::uint64_t joinId = 0;
};

/** Limits of a ledger. */
struct TicketLimits
{
  /** Time from the issue of a ticket to its expiry. */
  std::chrono::milliseconds lifetime{ std::chrono::minutes(5) };
  /** Maximum number of unexpired tickets, used or not. */
  std::size_t tickets = 65536;
  /** Maximum bytes of answers kept for resends; drops the oldest first. */
  std::size_t answerBytes = std::size_t{ 8 } << 20;
};

/**
 * Issues tickets and is the only authority on whether the request of a ticket
 * was sent to a server. The outcome "not run" is final: once it has been
 * reported for a ticket, delayed copies of the request do not run either, so
 * the caller can safely send the request again with another ticket. If a
 * finished request may have run, a resend gets the kept answer or an error that
 * allows no further resend.
 *
 * Memory is bounded by `kBytesPerTicket` for each unexpired ticket, plus the
 * limit for answers, plus the callbacks of joined calls.
 */
class TicketLedger
{
public:
  /**
   * `aSecret` is the key of the tickets' check values and must not leave the
   * process.
   */
  TicketLedger(core::DaemonId aIssuer,
               std::uint64_t aSecret,
               core::NowFunction aNow,
               TicketLimits aLimits = {});

  /**
   * Issues a ticket, or returns `Overloaded` if the maximum number of unexpired
   * tickets is reached. Thread-safe.
   */
  core::Result<Ticket> Issue();

  /** Returns whether `aIssuer` is this process. Thread-safe. */
  bool Owns(const core::DaemonId& aIssuer) const;

  /** Returns the identity of the issuing process. Thread-safe. */
  const core::DaemonId& Issuer() const { return this->issuer; }

  /**
   * Starts a call with a ticket. For `Join`, the callback is called once, by
   * the thread that calls `Finish` and without a lock held, unless `CancelJoin`
   * is called first. The ticket's issuer must be this process; see `Owns`.
   * Thread-safe.
   */
  TicketDecision Begin(const Ticket& aTicket,
                       std::uint64_t aDigest,
                       TicketFinishedFunction aOnFinished);

  /** Removes the callback, which may already be running. Thread-safe. */
  void CancelJoin(const Ticket& aTicket, std::uint64_t aJoinId);

  /**
   * Records the final outcome of a ticket and passes it to the joined calls.
   * Must be called at most once for each ticket, after `Begin` returned `Run`.
   * Thread-safe.
   */
  void Finish(const Ticket& aTicket, TicketOutcome aOutcome);

  /**
   * Refuses a call instead of calling `Begin`. `aKind` must have the outcome
   * "not run". An unused ticket gets `aKind` as its final outcome. Returns the
   * kind to report: `aKind`, the error of an invalid or expired ticket, the
   * "not run" outcome that the ticket already has, or `IssuerUnreachable` if
   * the request may have run. The ticket's issuer must be this process; see
   * `Owns`. Thread-safe.
   */
  core::ErrorKind Refuse(const Ticket& aTicket, core::ErrorKind aKind);

  /** Returns the memory use of the kept answers in bytes. Thread-safe. */
  std::size_t KeptBytes() const;

  /** Returns the number of unexpired tickets. Thread-safe. */
  std::size_t UnexpiredCount() const;

private:
  enum class State : std::uint8_t
  {
    Unused,
    Running,
    Finished,
  };

  struct Entry
  {
    std::uint64_t digest = 0;
    std::int64_t expiryMs = 0;
    std::shared_ptr<const Answer> answer;
    State state = State::Unused;
    core::ErrorKind kind = core::ErrorKind::None;
    /** False if the ticket was refused before its request was known. */
    bool hasDigest = false;
  };

public:
  /** Memory for one unexpired ticket, without its answer. */
  static constexpr std::size_t kBytesPerTicket =
    sizeof(Entry) + sizeof(std::uint64_t);

private:
  std::int64_t NowMs() const;
  /** Returns the entry of a valid, unexpired ticket, or an error. */
  core::Result<Entry*> Find(const Ticket& aTicket);
  TicketOutcome OutcomeOf(const Entry& aEntry) const;
  void KeepAnswer(std::uint64_t aSequence,
                  Entry& aEntry,
                  std::shared_ptr<const Answer> aAnswer);
  void DropAnswer(Entry& aEntry);
  void RemoveExpired();

  core::DaemonId issuer;
  std::uint64_t secret;
  core::NowFunction now;
  TicketLimits limits;
  mutable std::mutex mutex;
  /** Entries by sequence number, starting at `firstSequence`. */
  std::deque<Entry> entries;
  std::uint64_t firstSequence = 1;
  /** Sequence numbers of the kept answers, oldest answer first. */
  std::deque<std::uint64_t> keptSequences;
  std::size_t keptBytes = 0;
  std::uint64_t nextJoinId = 1;
  /** Join ids and callbacks of the joined calls, by sequence number. */
  std::unordered_map<
    std::uint64_t,
    std::vector<std::pair<std::uint64_t, TicketFinishedFunction>>>
    joinedCalls;
};

} // namespace fireflytrail::calls
