#pragma once

#include "core/Result.h"
#include "moves/RouteEvidence.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fireflytrail::moves {

/** One daemon's counters of one time window of a version move. */
struct EvidenceWindow
{
  /**
   * Limits on the number of routes and of failure domains, which bound the size
   * of a window.
   */
  static constexpr std::size_t kMaxRoutes = 64;
  static constexpr std::size_t kMaxDomains = 64;

  /**
   * Maximum number of windows of a move and of the monitoring period after it;
   * see `MoveSchedule`.
   */
  static constexpr std::size_t kWindows = 48;

  /** Index of the window, below `kWindows`. */
  std::size_t window = 0;
  /**
   * Sequence number, which increases with every change; of two snapshots the
   * one with the higher number is newer.
   */
  std::uint64_t sequence = 0;
  /** Counters by name of the route. */
  std::map<std::string, RouteEvidence> routes;

  /**
   * Adds the counts of other calls and their sequence number, for example to
   * sum the recorders of one daemon's threads. Both must be of the same window.
   * Not thread-safe.
   */
  EvidenceWindow& operator+=(const EvidenceWindow& aOther);

  /**
   * Subtracts counts and a sequence number that were added before. Not
   * thread-safe.
   */
  EvidenceWindow& operator-=(const EvidenceWindow& aOther);

  /** Returns the FlexBuffers encoding for a gossip record. Thread-safe. */
  std::string Serialize() const;

  /** Parses the encoding that `Serialize` returns. Thread-safe. */
  static core::Result<EvidenceWindow> Parse(std::string_view aBytes);

  bool operator==(const EvidenceWindow&) const = default;
};

} // namespace fireflytrail::moves
