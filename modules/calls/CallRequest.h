#pragma once

#include "core/Hooks.h"

#include <cstdint>
#include <string>

namespace fireflytrail::calls {

/** What the decisions about a call need to know about its request. */
struct CallRequest
{
  /** See `RequestDigest`. */
  std::uint64_t digest = 0;
  core::TimePoint deadline;
  /** The text marks the call as safe to run more than once. */
  bool repeatable = false;
  /** The text marks the call as to be run at most once. */
  bool atMostOnce = false;
  /** Value of the `Ticket` header; empty if there is none. */
  std::string ticket;
  /** Value of the `Attempt` header. */
  unsigned attempt = 0;
  /** Retries that the call may have besides its first attempt. */
  unsigned mostRetries = 2;
  /** The call came from another daemon as `ForwardCall`. */
  bool forwarded = false;
};

} // namespace fireflytrail::calls
