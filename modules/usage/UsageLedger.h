#pragma once

#include "usage/UsageCounters.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace fireflytrail::usage {

/**
 * Copies of the counters of many daemons, each under the random number that
 * names its lifetime. A daemon that was restarted counts under a new number, so
 * that what it counted before stays in the sum. Bounded; not thread-safe.
 */
class UsageLedger
{
public:
  static constexpr std::size_t kMaxLifetimes = 4096;

  /** The counters of one lifetime. */
  struct Entry
  {
    /** Hash of the host's name. */
    std::uint64_t host = 0;
    UsageCounters counters;
  };

  /**
   * Returns the counters of a lifetime, which are created if they are not
   * known; null if `kMaxLifetimes` are known already.
   */
  UsageCounters* Of(std::uint64_t aLifetime, std::uint64_t aHost);

  /** Returns the hosts of which a lifetime has stated that a window is
   * complete. */
  std::set<std::uint64_t> CompleteHosts(WindowNumber aWindow) const;

  /** Returns the sum over all lifetimes. */
  Figures SumOf(WindowNumber aWindow) const;

  /** Drops the windows up to one, and lifetimes of which nothing is left. */
  void Forget(WindowNumber aWindow);

  const std::map<std::uint64_t, Entry>& Lifetimes() const
  {
    return this->lifetimes;
  }

private:
  std::map<std::uint64_t, Entry> lifetimes;
  WindowNumber forgottenThrough = 0;
};

} // namespace fireflytrail::usage
