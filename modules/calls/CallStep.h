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
  /** Key of the server, the same for each choice of this server. */
  std::uint64_t server = 0;
  /** Held during the attempt: releases the server's slot when destroyed. */
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
  /** Keys of the servers that were tried. */
  std::vector<std::uint64_t> avoid;
  bool isRetry = false;
};

/** Forward the whole call to a ticket's issuer, then report `AttemptEnded`. */
struct ForwardStep
{
  core::DaemonId issuer;
  std::chrono::milliseconds timeLeft{ 0 };
};

/** Wait for an input. */
struct WaitStep
{};

/**
 * Answer the caller. The flow accepts no more inputs, unless `attemptGoesOn`.
 */
struct AnswerStep
{
  /** `None` if the server's answer is to be passed on. */
  core::ErrorKind kind = core::ErrorKind::Internal;
  /** Set if and only if the kind is `None`. */
  std::shared_ptr<const Answer> answer;
  /** False if the caller has gone or has been answered before. */
  bool deliver = true;
  /**
   * Hold the answer back for this time, so that the news of a server's death
   * reaches the other daemons before the caller sends the request again.
   */
  std::chrono::milliseconds hold{ 0 };
  /**
   * The attempt must go on, so that its answer is kept for resends: report
   * `AttemptEnded`, or `DeadlineReached` after `goOnFor`. If false, a running
   * attempt must be cancelled and no further byte of it may be sent.
   */
  bool attemptGoesOn = false;
  std::chrono::milliseconds goOnFor{ 0 };
};

/** What the owner of a `CallFlow` must do next. */
using CallStep =
  std::variant<ChooseStep, SendStep, ForwardStep, WaitStep, AnswerStep>;

} // namespace fireflytrail::calls
