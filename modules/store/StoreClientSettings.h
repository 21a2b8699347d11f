#pragma once

#include <chrono>

namespace fireflytrail::store {

/** Limits of one client of the store. */
struct StoreClientSettings
{
  /**
   * Rate and capacity of the token bucket that limits requests. The platform
   * accepts about 2,000 reads per second from all clients; 2 per second leave
   * room for several hundred daemons.
   */
  double requestsPerSecond = 2;
  double burst = 10;
  /** Timeout of one request, except a watch. */
  std::chrono::milliseconds requestTimeout{ 2000 };
  /** How long the platform holds a watch open. */
  std::chrono::milliseconds watchTime{ 30'000 };
  /** Time limit of one operation with all its requests, except a watch. */
  std::chrono::milliseconds operationLimit{ 10'000 };
  /**
   * Backoff after the first failure; doubles with each consecutive failure. The
   * actual delay is random between half and all of it, so that clients do not
   * retry at the same time.
   */
  std::chrono::milliseconds firstBackoff{ 100 };
  std::chrono::milliseconds longestBackoff{ 10'000 };
  /** Limit on the retries of one operation after answers that are older than a
   * version already seen. */
  unsigned maxStaleRetries = 3;
};

} // namespace fireflytrail::store
