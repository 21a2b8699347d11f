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

/** What a daemon knows about the issuing process of a ticket. */
enum class IssuerState : std::uint8_t
{
  /** It may be alive, so the call can be forwarded. */
  Reachable,
  /** There is no way to it now. */
  Unreachable,
  /** It has ended for good, for example its host runs a newer process. */
  Gone,
};

/** Behaviour that a call needs from its surroundings. */
struct CallHooks
{
  core::NowFunction now;
  /**
   * Chooses a server that is not in the list to avoid, or returns an error
   * whose outcome is "not run". If it is not set, the flow asks with a
   * `ChooseStep` instead, whose answer may take time.
   */
  std::function<core::Result<ServerHandle>(std::span<const std::uint64_t>)>
    chooseServer;
  /** Takes the cost of one retry from the budgets; see `RetryBudget`. */
  std::function<bool()> takeRetry;
  std::function<IssuerState(const core::DaemonId&)> issuerState;
  /**
   * Passes on the outcome of a joined call to `TicketFinished` of this flow,
   * on the flow's own thread and only while the flow exists.
   */
  TicketFinishedFunction joinedFinished;
};

/** Tunable times of a call. */
struct CallTimes
{
  /** Kept back from the server's deadline for the way of its answer. */
  std::chrono::milliseconds answerMargin{ 1 };
  /** How long a call with a ticket may run on after its caller's deadline. */
  std::chrono::milliseconds goOnFor{ 30'000 };
  /** Answer delays after the first and after a later death of a server. */
  std::chrono::milliseconds holdFirst{ 100 };
  std::chrono::milliseconds holdLater{ 1'000 };
};

/**
 * One call from begin to answer, as a state machine without I/O. Each input
 * returns the next step. It alone decides on retries and on the error kind.
 *
 * "Not run" is answered only if no byte of any attempt could have reached a
 * server's application or each server reached refused before running. A call
 * with a ticket is never sent again after an attempt of unknown outcome, and
 * its ticket is closed with the outcome.
 *
 * Not thread-safe: all inputs come from one thread.
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
   * Closes the ticket if the call has not ended: as of unknown outcome if an
   * attempt was started.
   */
  ~CallFlow();

  CallFlow(const CallFlow&) = delete;
  CallFlow& operator=(const CallFlow&) = delete;

  /** Starts the call. Must be the first input. */
  CallStep Begin();

  /**
   * The answer to the last `ChooseStep`: a server, `RequestCrashesServers`, or
   * an error whose outcome is "not run".
   */
  CallStep ServerChosen(core::Result<ServerHandle> aChosen);

  /** The attempt of the last `SendStep` or `ForwardStep` has ended. */
  CallStep AttemptEnded(const AttemptResult& aResult);

  /**
   * The call's deadline, or the time `goOnFor`, has passed. `aProgress` tells
   * how far the running attempt has got; it is ignored if there is none.
   */
  CallStep DeadlineReached(AttemptProgress aProgress);

  /** The caller has closed its connection. See `DeadlineReached`. */
  CallStep CallerGone(AttemptProgress aProgress);

  /** The joined call of the same ticket has ended. */
  CallStep TicketFinished(const TicketOutcome& aOutcome);

  /** Returns whether the flow accepts no more inputs. */
  bool HasEnded() const { return this->state == State::Ended; }

  /**
   * Returns the kind with which a call may be refused before its flow begins.
   * A call with a ticket may be a resend, so only the issuing process may say
   * "not run". `aTicket` is the header's value or empty. Thread-safe.
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
    /** The caller was answered or has gone; the attempt goes on. */
    GoingOn,
    Ended,
  };

  CallStep BeginWithTicket();
  CallStep Send(core::ErrorKind aKindIfNone);
  CallStep RelayFromIssuer(const AttemptResult& aResult);
  CallStep End(core::ErrorKind aKind,
               std::shared_ptr<const Answer> aAnswer = nullptr);
  CallStep GoOn(core::ErrorKind aKind, bool aDeliver);
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
  /** Set while this flow runs the work of a ticket of its own process. */
  std::optional<Ticket> running;
  /** Set while this flow waits for another one of the same ticket. */
  std::optional<Ticket> joined;
  std::uint64_t joinId = 0;
  std::vector<std::uint64_t> avoid;
  /** Kind to answer with if no server is chosen; `None` for the choice's. */
  core::ErrorKind kindIfNone = core::ErrorKind::None;
  /** A server's own failure, passed on if the retry brings nothing better. */
  std::shared_ptr<const Answer> failedAnswer;
  /** Kind of an attempt that may have run; `None` if there is none. */
  core::ErrorKind unknownKind = core::ErrorKind::None;
  std::chrono::milliseconds hold{ 0 };
  unsigned retries = 0;
  bool hasCaller = true;
};

} // namespace fireflytrail::calls
