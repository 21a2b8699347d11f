#pragma once

#include "moves/CallCounters.h"
#include "moves/ComparedVersion.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace fireflytrail::moves {

/**
 * Counters of one route within one time window. A route is an entry of a
 * service's `calls` in the operators' text.
 */
struct RouteEvidence
{
  /**
   * Number of groups to which time is assigned pseudo-randomly. All daemons
   * assign the same 100 ms interval to the same group, so that calls delayed by
   * one slow period of a server fall into one group. The variance between
   * groups shows how much such clusters increase the variance of the counts.
   * More groups would show it sooner, but each costs 3 bytes or more of a
   * gossip record.
   */
  static constexpr std::size_t kGroups = 4;

  /**
   * Number of time groups, assigned in the same way, for failures of the new
   * version, which need one bit each.
   */
  static constexpr std::size_t kFailureGroups = 8;

  /** Counters of both versions on the servers of one failure domain. */
  struct Domain
  {
    CallCounters oldVersion;
    CallCounters newVersion;

    /** Returns the counters of one version. Not thread-safe. */
    CallCounters& Of(ComparedVersion aSide)
    {
      return aSide == ComparedVersion::Old ? this->oldVersion
                                           : this->newVersion;
    }

    bool operator==(const Domain&) const = default;
  };

  std::map<std::string, Domain> domains;
  /**
   * The old version's timed, slow and very slow calls by time group. Failures
   * are not counted here, and `calls` is not sent to other daemons.
   */
  std::array<CallCounters, kGroups> oldGroups;
  /** Bit set of the failure groups in which calls of the new version failed. */
  std::uint64_t newFailureGroups = 0;
  /**
   * Calls of the new version in this and all earlier windows, for daemons that
   * join late and do not receive the earlier windows.
   */
  std::uint64_t newCallsSoFar = 0;

  /** Adds the counts of other calls or of other recorders. Not thread-safe. */
  RouteEvidence& operator+=(const RouteEvidence& aOther);

  /**
   * Subtracts counts that were added before. The set of groups with failures is
   * kept, since it only grows. Not thread-safe.
   */
  RouteEvidence& operator-=(const RouteEvidence& aOther);

  bool operator==(const RouteEvidence&) const = default;
};

} // namespace fireflytrail::moves
