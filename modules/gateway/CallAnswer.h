#pragma once

#include "calls/Answer.h"
#include "core/ErrorKind.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::gateway {

/**
 * The answer to one call. If `kind` is `None`, it is a server's complete answer
 * or comes from `OfText`; otherwise it is the answer that the error table gives
 * for the kind.
 */
struct CallAnswer
{
  core::ErrorKind kind = core::ErrorKind::None;
  /** Never null. */
  std::shared_ptr<const calls::Answer> answer;
  /** True if the call is repeatable or carries a ticket. */
  bool isSafeToResend = false;
  /** For a refusal: time after which the caller may retry. */
  std::optional<std::chrono::milliseconds> retryAfter;

  /** Creates the answer for an error kind, with a one-line body. */
  static CallAnswer OfError(core::ErrorKind aKind, std::string aDetail = {});

  /** Creates an answer that comes from this daemon, not from a server. */
  static CallAnswer OfText(unsigned aStatus,
                           std::string aBody,
                           std::string aContentType = "text/plain");
};

} // namespace fireflytrail::gateway
