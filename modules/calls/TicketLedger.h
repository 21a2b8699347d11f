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

/** How the work of a ticket ended. */
struct TicketOutcome
{

  /** `None` with an answer, or an error kind. */
  core::ErrorKind kind = core::ErrorKind::Internal;
  /** Set if and only if the kind is `None`. */
  std::shared_ptr<const Answer> answer;
};

/** Receives the outcome of the running call that a resend has joined. */
using TicketFinishedFunction = std::function<void(const TicketOutcome&)>;

/** What a call with a ticket must do. */
struct TicketUse
{
  enum class Action : std::uint8_t
  {
    /** This is the first use: send the work, then call `Finish`. */
    Run,
    /** The work is running: wait for the callback. */
    Join,
    /** Answer with the outcome. */
    Reply,
  };

  Action action = Action::Reply;
  /** For `Reply`. */
  TicketOutcome outcome;
  /** For `Join`: argument of `Leave`. */
  std::uint64_t joinId = 0;
};

/** Limits of a ledger. */
struct TicketLimits
{
  /** A ticket that is not used within this time cannot be used. */
  std::chrono::milliseconds lifetime{ std::chrono::minutes(5) };
  /** Tickets that are issued and not yet expired. */
  std::size_t tickets = 65536;
  /** Bytes of answers kept for resends; the oldest are dropped first. */
  std::size_t answerBytes = std::size_t{ 8 } << 20;
};

/**
 * Issues tickets and is the sole authority on whether the work of a ticket was
 * sent. An outcome is final: once a resend has been told "not run", no delayed
 * copy of the request runs either, and a caller may take another ticket.
 *
 * Memory is bounded by `kBytesPerTicket` for each unexpired ticket plus the
 * limit for answers plus the callbacks of joined calls.
 */
class TicketLedger
{
public:
  /** `aSecret` keys the check values and must not leave the process. */
  TicketLedger(core::DaemonId aIssuer,
               std::uint64_t aSecret,
               core::NowFunction aNow,
               TicketLimits aLimits = {});

  /**
   * Issues a ticket, or returns `Overloaded` when the limit of unexpired
   * tickets is reached. Thread-safe.
   */
  core::Result<Ticket> Issue();

  /** Returns whether this process issued tickets under that identity. */
  bool Owns(const core::DaemonId& aIssuer) const;

  /** Returns the identity of the issuing process. Thread-safe. */
  const core::DaemonId& Issuer() const { return this->issuer; }

  /**
   * Starts a call with a ticket of this ledger. For `Join`, the callback is
   * run once, by the thread that calls `Finish` and without a lock held,
   * unless `Leave` is called first. `aTicket` must be owned. Thread-safe.
   */
  TicketUse Begin(const Ticket& aTicket,
                  std::uint64_t aDigest,
                  TicketFinishedFunction aOnFinished);

  /** Gives up waiting. The callback may already be running. Thread-safe. */
  void Leave(const Ticket& aTicket, std::uint64_t aJoinId);

  /**
   * Records the final outcome after `Begin` returned `Run`, at most once for
   * each ticket, and passes it to the joined calls. Thread-safe.
   */
  void Finish(const Ticket& aTicket, TicketOutcome aOutcome);

  /**
   * Refuses a call before `Begin`, with a kind whose outcome is "not run".
   * Returns the kind that may truthfully be answered. An unused ticket is
   * closed with this kind. `aTicket` must be owned. Thread-safe.
   */
  core::ErrorKind Refuse(const Ticket& aTicket, core::ErrorKind aKind);

  /** Returns the bytes of kept answers. Thread-safe. */
  std::size_t KeptBytes() const;

  /** Returns the number of tickets issued and not expired. Thread-safe. */
  std::size_t Outstanding() const;

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
    /** False when the ticket was refused before its request was read. */
    bool hasDigest = false;
  };

public:
  /** Memory for one unexpired ticket without its answer. */
  static constexpr std::size_t kBytesPerTicket =
    sizeof(Entry) + sizeof(std::uint64_t);

private:
  std::int64_t NowMs() const;
  /** Returns the entry of a valid, unexpired ticket or the refusal. */
  core::Result<Entry*> Find(const Ticket& aTicket);
  TicketOutcome OutcomeOf(const Entry& aEntry) const;
  void Keep(std::uint64_t aSequence,
            Entry& aEntry,
            std::shared_ptr<const Answer> aAnswer);
  void DropAnswer(Entry& aEntry);
  void RemoveExpired();

  core::DaemonId issuer;
  std::uint64_t secret;
  core::NowFunction now;
  TicketLimits limits;
  mutable std::mutex mutex;
  /** Entries of the sequence numbers from `firstSequence` on. */
  std::deque<Entry> entries;
  std::uint64_t firstSequence = 1;
  /** Sequence numbers of kept answers in the order of their arrival. */
  std::deque<std::uint64_t> keptOrder;
  std::size_t keptBytes = 0;
  std::uint64_t nextJoinId = 1;
  std::unordered_map<
    std::uint64_t,
    std::vector<std::pair<std::uint64_t, TicketFinishedFunction>>>
    joined;
};

} // namespace fireflytrail::calls
