#pragma once

#include "moves/CallCounters.h"
#include "moves/VersionSide.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace fireflytrail::moves {

/** Counters of one call of a service within one time window. */
struct RouteEvidence
{
  /**
   * Number of groups into which the time is divided at random. All daemons
   * assign the same 100 ms to the same group, so calls that one slow moment of
   * a server delays fall into one group. The spread between groups shows how
   * much such clusters widen the spread of the counts. More groups would tell
   * it sooner, but each costs 3 bytes or more of a gossip record.
   */
  static constexpr std::size_t kGroups = 4;

  /** The same for failures of the new version, which need one bit each. */
  static constexpr std::size_t kFailureGroups = 8;

  /** Counters of both versions on the servers of one failure domain. */
  struct Domain
  {
    CallCounters oldVersion;
    CallCounters newVersion;

    /** Returns the counters of one version. Not thread-safe. */
    CallCounters& Of(VersionSide aSide)
    {
      return aSide == VersionSide::Old ? this->oldVersion : this->newVersion;
    }

    bool operator==(const Domain&) const = default;
  };

  std::map<std::string, Domain> domains;
  /** The old version's counters by time group. */
  std::array<CallCounters, kGroups> oldGroups;
  /** Bit set of the failure groups in which the new version failed. */
  std::uint64_t newFailureGroups = 0;
  /**
   * Calls of the new version in this and all earlier windows, for daemons that
   * join late and do not get the earlier windows.
   */
  std::uint64_t newCallsSoFar = 0;

  /** Adds the counts of other calls and other recorders. Not thread-safe. */
  RouteEvidence& operator+=(const RouteEvidence& aOther);

  /**
   * Removes counts that were added before. The set of groups with failures is
   * kept, since it only grows. Not thread-safe.
   */
  RouteEvidence& operator-=(const RouteEvidence& aOther);

  bool operator==(const RouteEvidence&) const = default;
};

} // namespace fireflytrail::moves
