#pragma once

#include "calls/AttemptResult.h"
#include "calls/CallRequest.h"
#include "calls/CallStep.h"
#include "calls/CrashGuard.h"
#include "calls/TicketLedger.h"
#include "core/Result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace fireflytrail::calls {

/** State of the process that issued a ticket, as known to this daemon. */
enum class IssuerState : std::uint8_t
{
  /** The process may be running; calls can be forwarded to it. */
  Reachable,
  /** The process cannot be reached at present. */
  Unreachable,
  /**
   * The process has ended permanently, for example because its host now runs a
   * newer process.
   */
  Gone,
};

/** Functions that the owner of a `CallFlow` provides. */
struct CallHooks
{
  core::NowFunction now;
  /**
   * Chooses a server other than those whose keys are passed, or returns an
   * error whose outcome is "not run". If not set, the flow returns a
   * `ChooseStep` instead, so that the choice can be made asynchronously.
   */
  std::function<core::Result<ServerHandle>(std::span<const std::uint64_t>)>
    chooseServer;
  /**
   * Charges one retry to the retry budgets. Returns false if a budget does not
   * allow it; see `RetryBudget`.
   */
  std::function<bool()> tryChargeRetry;
  std::function<IssuerState(const core::DaemonId&)> issuerState;
  /**
   * Called by the ledger when the running call that this one has joined has
   * ended, on the thread of that call. Must pass the outcome to
   * `TicketFinished` of this flow, on this flow's thread and only while this
   * flow exists.
   */
  TicketFinishedFunction onTicketFinished;
};

/** Time limits and delays of a call. */
struct CallTimes
{
  /**
   * Subtracted from the deadline that is sent to a server or issuer, to leave
   * time for its answer to arrive.
   */
  std::chrono::milliseconds answerMargin{ 1 };
  /**
   * How long the attempt of a call with a ticket may continue after the caller
   * was answered or has gone.
   */
  std::chrono::milliseconds continuationTimeout{ 30'000 };
  /**
   * How long an error answer is delayed after the first server death counted
   * against the request, and after a later one. See `AnswerStep::answerDelay`.
   */
  std::chrono::milliseconds firstDeathAnswerDelay{ 100 };
  std::chrono::milliseconds laterDeathAnswerDelay{ 1'000 };
};

/**
 * State machine of one call, from the request to the answer, without I/O. Each
 * input returns the next step for the owner to carry out. Retries and the error
 * kind of the answer are decided here only.
 *
 * The outcome "not run" is reported only if, for each attempt, no byte can have
 * reached a server's application or the server refused the request before
 * running it. A call with a ticket is never sent again after an attempt of
 * unknown outcome. When a call with a ticket ends, its outcome is recorded as
 * the final outcome of the ticket.
 *
 * Not thread-safe: all inputs must come from one thread.
 */
class CallFlow
{
public:
  /** The ledger and the guard must outlive the flow. */
  CallFlow(CallRequest aRequest,
           CallHooks aHooks,
           TicketLedger& aLedger,
           CrashGuard& aGuard,
           CallTimes aTimes = {});

  /**
   * If the call has not ended, finishes its ticket with an unknown outcome, or
   * stops waiting for the joined call.
   */
  ~CallFlow();

  CallFlow(const CallFlow&) = delete;
  CallFlow& operator=(const CallFlow&) = delete;

  /** Starts the call. Must be the first input, given once. */
  CallStep Begin();

  /**
   * Reports the result of the last `ChooseStep`: a server, the error
   * `RequestCrashesServers`, or an error whose outcome is "not run".
   */
  CallStep ServerChosen(core::Result<ServerHandle> aChosen);

  /**
   * Reports that the attempt of the last `SendStep` or `ForwardStep` has ended.
   */
  CallStep AttemptEnded(const AttemptResult& aResult);

  /**
   * Reports that the call's deadline, or the time `continuationTimeout`, has
   * passed. `aProgress` is the progress of the running attempt; it is ignored
   * if there is none.
   */
  CallStep DeadlineReached(AttemptProgress aProgress);

  /**
   * Reports that the caller has closed its connection, or only its sending
   * side, which cannot be told apart: the call is answered. For `aProgress` see
   * `DeadlineReached`.
   */
  CallStep CallerGone(AttemptProgress aProgress);

  /**
   * Reports the outcome of the running call with the same ticket that this flow
   * has joined.
   */
  CallStep TicketFinished(const TicketOutcome& aOutcome);

  /** Returns whether the flow accepts no more inputs. */
  bool HasEnded() const { return this->state == State::Ended; }

  /**
   * Returns the error kind to report for a call that is refused with `aKind`
   * before its flow begins. A call with a ticket may be a resend, so only the
   * issuing process may report "not run". `aTicket` is the value of the
   * `Ticket` header or empty. Thread-safe.
   */
  static core::ErrorKind RefusalKind(core::ErrorKind aKind,
                                     std::string_view aTicket,
                                     TicketLedger& aLedger);

private:
  enum class State : std::uint8_t
  {
    New,
    Choosing,
    Sending,
    Forwarding,
    Joined,
    /** The caller was answered or has gone; the attempt continues. */
    Continuing,
    Ended,
  };

  CallStep BeginWithTicket();
  CallStep StartAttempt(core::ErrorKind aKindIfNoServer);
  CallStep RelayFromIssuer(const AttemptResult& aResult);
  CallStep End(core::ErrorKind aKind,
               std::shared_ptr<const Answer> aAnswer = nullptr);
  CallStep ContinueAttempt(core::ErrorKind aKind, bool aDeliver);
  CallStep SendTo(core::Result<ServerHandle> aChosen);
  bool MayRetry(core::ErrorKind aKind) const;
  bool MayRetryFailure() const;
  std::chrono::milliseconds TimeLeft() const;

  CallRequest request;
  CallHooks hooks;
  TicketLedger& ledger;
  CrashGuard& guard;
  CallTimes times;
  State state = State::New;
  /** Ticket whose request this flow runs; issued by this process. */
  std::optional<Ticket> runningTicket;
  /** Ticket whose outcome this flow waits for while another flow runs it. */
  std::optional<Ticket> joinedTicket;
  std::uint64_t joinId = 0;
  std::vector<std::uint64_t> avoid;
  /**
   * Error kind to report if no server can be chosen for a retry: the kind of
   * the failed attempt. `None` to report the error of the choice.
   */
  core::ErrorKind kindIfNoServer = core::ErrorKind::None;
  /** A server's failure answer, passed on if the retry gets no answer. */
  std::shared_ptr<const Answer> failedAnswer;
  /**
   * Error kind of the last attempt that may have run; `None` if there was none.
   */
  core::ErrorKind unknownOutcomeKind = core::ErrorKind::None;
  std::chrono::milliseconds answerDelay{ 0 };
  unsigned retries = 0;
  bool hasCaller = true;
};

} // namespace fireflytrail::calls
