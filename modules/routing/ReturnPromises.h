#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace fireflytrail::routing {

/**
 * Remembers which refused requests were told to return and when. It answers
 * this load pattern: callers of a burst are refused, return as told, and would
 * be refused again in favour of new ones, having waited for nothing.
 *
 * A request is recognized by its digest. One that returns clearly before its
 * time, or long after it, has no promise. The number of promises is bounded;
 * the oldest are forgotten.
 *
 * Not thread-safe.
 */
class ReturnPromises
{
public:
  static constexpr std::size_t kMaxPromises = 8192;

  /** Records that the caller of a request was told to return after a time.
   * Digest 0 stands for an unknown request and is ignored. */
  void Promise(std::uint64_t aDigest,
               std::chrono::nanoseconds aRetryAfter,
               core::TimePoint aNow);

  /** Whether a request that arrives was promised room; ends the promise. */
  bool Redeem(std::uint64_t aDigest, core::TimePoint aNow);

  /** Returns the number of promises that have not ended. */
  std::size_t Count() const { return this->entries.size(); }

private:
  struct Entry
  {
    core::TimePoint from;
    core::TimePoint until;
  };

  void DropExpired(core::TimePoint aNow);

  std::unordered_multimap<std::uint64_t, Entry> entries;
  /** In order of arrival, with the time at which each may be dropped. */
  std::deque<std::pair<std::uint64_t, core::TimePoint>> order;
};

} // namespace fireflytrail::routing
