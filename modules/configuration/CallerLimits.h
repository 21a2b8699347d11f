#pragma once

#include <chrono>
#include <cstddef>

namespace fireflytrail::configuration {

/** What callers may send and how long they may take or stay idle. */
struct CallerLimits
{
  /** Usual limit of HTTP servers; longer headers are mistakes. */
  std::size_t maxHeaderBytes = 16 * 1024;
  /** Bodies are buffered whole, so this bounds the memory of a request. */
  std::size_t maxBodyBytes = 1024 * 1024;
  /** A sender that needs longer for a whole request is cut off, so that slow
   * senders cannot hold connections for ever. */
  std::chrono::milliseconds requestTimeout{ 15'000 };
  /** Above the reuse time of usual HTTP clients, so that they close first. */
  std::chrono::milliseconds idleTimeout{ 75'000 };
};

} // namespace fireflytrail::configuration
