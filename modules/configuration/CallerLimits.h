#pragma once

#include <chrono>
#include <cstddef>

namespace fireflytrail::configuration {

/** Size and time limits for callers' requests and connections. */
struct CallerLimits
{
  /** The usual limit of HTTP servers; longer headers indicate a mistake. */
  std::size_t maxHeaderBytes = 16 * 1024;
  /** Bodies are buffered completely, so this bounds the memory of a request. */
  std::size_t maxBodyBytes = 1024 * 1024;
  /** Time in which a caller must send the whole head of a request, and then
   * each further part of its body. A caller that needs longer is answered 408
   * and disconnected, so that it cannot occupy a connection indefinitely. */
  std::chrono::milliseconds requestTimeout{ 15'000 };
  /** Longer than common HTTP clients keep idle connections for reuse, so that
   * the client closes first. */
  std::chrono::milliseconds idleTimeout{ 75'000 };
};

} // namespace fireflytrail::configuration
