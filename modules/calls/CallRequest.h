#pragma once

#include "core/Hooks.h"

#include <cstdint>
#include <string>

namespace fireflytrail::calls {

/** The properties of a request that `CallFlow` needs. */
struct CallRequest
{
  /** Digest of the request; see `RequestDigest`. */
  std::uint64_t digest = 0;
  core::TimePoint deadline;
  /** The operators' text marks the call as safe to run more than once. */
  bool repeatable = false;
  /**
   * The operators' text requires that the call runs at most once, which needs a
   * ticket.
   */
  bool atMostOnce = false;
  /** Value of the `Ticket` header; empty if there is none. */
  std::string ticket;
  /**
   * Value of the `Attempt` header. Above zero if the request is a retry or was
   * caused by a retry further up the call chain.
   */
  unsigned attempt = 0;
  /** Maximum number of retries after the first attempt. */
  unsigned maxRetries = 2;
  /** The call was forwarded by another daemon (message `ForwardCall`). */
  bool forwarded = false;
};

} // namespace fireflytrail::calls
