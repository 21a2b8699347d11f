#pragma once

#include "calls/Answer.h"
#include "core/ErrorKind.h"

#include <cstdint>
#include <memory>

namespace fireflytrail::calls {

/** How far an attempt to send a request has progressed. */
enum class AttemptProgress : std::uint8_t
{
  /** No byte of the request was passed to the operating system. */
  NothingSent,
  /** The server answered that it rejected the request without running it. */
  Refused,
  /** At least one byte may have been sent; no byte of an answer arrived. */
  SentNoAnswer,
  /** The answer started but ended before its announced length. */
  AnswerTruncated,
  /** The bytes received are not a valid answer. */
  AnswerInvalid,
  /** A complete answer arrived. */
  Answered,
};

/**
 * Result of one attempt: either a request sent to a server or a call forwarded
 * to the daemon that issued its ticket.
 */
struct AttemptResult
{
  AttemptProgress progress = AttemptProgress::NothingSent;
  /** Set if and only if the progress is `Answered`. */
  std::shared_ptr<const Answer> answer;
  /** The answer is complete but reports that the server failed. */
  bool isFailure = false;
  /**
   * Error kind reported by the issuer of the ticket, for a forwarded call.
   * `None` for an answer from a server.
   */
  core::ErrorKind issuerKind = core::ErrorKind::None;
  /**
   * Nonzero if the server process appears to have died during the attempt. The
   * value identifies this death and is the same for all attempts that it ended;
   * see `CrashGuard::DeathIdOf`. Zero if the daemon itself closed the
   * connection.
   */
  std::uint64_t death = 0;
};

/**
 * Returns the error kind of an attempt to a server that ended with this
 * progress; `None` for `Answered`. Thread-safe.
 */
core::ErrorKind
KindOf(AttemptProgress aProgress);

/**
 * Returns whether a server's application may have run the request. False only
 * if no byte was sent or the server itself refused the request. Thread-safe.
 */
bool
MayHaveRun(AttemptProgress aProgress);

} // namespace fireflytrail::calls
