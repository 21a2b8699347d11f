#pragma once

#include <chrono>

namespace fireflytrail::store {

/** Limits of one client of the store. */
struct StoreClientSettings
{
  /**
   * Call budget. The platform accepts about 2,000 reads a second for all
   * clients; 2 a second leave room for several hundred daemons.
   */
  double callsPerSecond = 2;
  double burst = 10;
  /** Time for one request, except a watch. */
  std::chrono::milliseconds requestTimeout{ 2000 };
  /** How long the platform holds a watch. */
  std::chrono::milliseconds watchTime{ 30'000 };
  /** Time for one operation with all its requests, except a watch. */
  std::chrono::milliseconds operationLimit{ 10'000 };
  /**
   * Delay after the first failure; doubles with each further one. Each delay
   * is drawn between half and all of it, so that clients spread out.
   */
  std::chrono::milliseconds firstBackoff{ 100 };
  std::chrono::milliseconds longestBackoff{ 10'000 };
  /** Reads in a row that may be older than what was seen. */
  unsigned staleReads = 3;
};

} // namespace fireflytrail::store
