#pragma once

#include "calls/Answer.h"
#include "core/ErrorKind.h"

#include <cstdint>
#include <memory>

namespace fireflytrail::calls {

/** How far an attempt to send a request got. */
enum class AttemptProgress : std::uint8_t
{
  /** No byte of the request was handed to the operating system. */
  NothingSent,
  /** The server answered that it refused the request before running it. */
  Refused,
  /** At least one byte may have left; no byte of an answer arrived. */
  SentNoAnswer,
  /** The answer started and ended before its announced length. */
  AnswerTruncated,
  /** The bytes that arrived are no valid answer. */
  AnswerInvalid,
  /** A complete answer arrived. */
  Answered,
};

/** Result of one attempt at a server or at the issuer of a ticket. */
struct AttemptResult
{
  AttemptProgress progress = AttemptProgress::NothingSent;
  /** Set if and only if the progress is `Answered`. */
  std::shared_ptr<const Answer> answer;
  /** The complete answer tells that the server failed to do the work. */
  bool isFailure = false;
  /**
   * For an answer forwarded by the issuer of a ticket: the kind that the
   * issuer reports. `None` for an answer from a server.
   */
  core::ErrorKind issuerKind = core::ErrorKind::None;
  /**
   * Nonzero if the server process seems to have died during the attempt: an
   * identity of this death, equal for all attempts that it ended. See
   * `CrashGuard::DeathOf`. Left at zero when this side closed the connection.
   */
  std::uint64_t death = 0;
};

/**
 * Returns the error kind of an attempt at a server that ended with this
 * progress; `None` for `Answered`. Thread-safe.
 */
core::ErrorKind
KindOf(AttemptProgress aProgress);

/**
 * Returns whether a server's application could have run the request. It is
 * false only if no byte left or the server itself refused. Thread-safe.
 */
bool
MayHaveRun(AttemptProgress aProgress);

} // namespace fireflytrail::calls
