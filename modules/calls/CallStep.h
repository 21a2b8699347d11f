#pragma once

#include "calls/Answer.h"
#include "core/DaemonId.h"
#include "core/ErrorKind.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace fireflytrail::calls {

/** A chosen backend server. */
struct ServerHandle
{
  /** Key of the server; the same each time this server is chosen. */
  std::uint64_t server = 0;
  /** Releases the server's slot when destroyed; held during the attempt. */
  std::shared_ptr<void> lease;
};

/** Send the request to a server, then report `AttemptEnded`. */
struct SendStep
{
  ServerHandle server;
  /** Value of `Deadline-Ms` for the server, above zero. */
  std::chrono::milliseconds timeLeft{ 0 };
  /** Value of the `Attempt` header for the server. */
  unsigned attempt = 0;
};

/** Choose a server, then report `ServerChosen`. */
struct ChooseStep
{
  /** Keys of the servers that were already tried and must not be chosen. */
  std::vector<std::uint64_t> avoid;
  bool isRetry = false;
};

/**
 * Forward the whole call to the issuer of its ticket, then report
 * `AttemptEnded`.
 */
struct ForwardStep
{
  core::DaemonId issuer;
  std::chrono::milliseconds timeLeft{ 0 };
};

/** Nothing to do until the next input. */
struct WaitStep
{};

/**
 * Answer the caller if `deliver` is set. The flow has ended and accepts no more
 * inputs, unless `attemptContinues` is set.
 */
struct AnswerStep
{
  /** Error kind of the answer; `None` if `answer` is to be passed on. */
  core::ErrorKind kind = core::ErrorKind::Internal;
  /** Set if and only if the kind is `None`. */
  std::shared_ptr<const Answer> answer;
  /** False if the caller has gone or was already answered. */
  bool deliver = true;
  /**
   * Delay the answer by this time, so that the record of a server's death
   * reaches the other daemons before the caller can send the request again.
   */
  std::chrono::milliseconds answerDelay{ 0 };
  /**
   * The running attempt must continue, so that its answer can be kept for
   * resends: report `AttemptEnded`, or `DeadlineReached` after
   * `continuationTimeout`. If false, a running attempt must be cancelled
   * without sending more bytes.
   */
  bool attemptContinues = false;
  std::chrono::milliseconds continuationTimeout{ 0 };
};

/** What the owner of a `CallFlow` must do next. */
using CallStep =
  std::variant<ChooseStep, SendStep, ForwardStep, WaitStep, AnswerStep>;

} // namespace fireflytrail::calls
