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
  /** Bounds of a window, so that its size is bounded. */
  static constexpr std::size_t kMaxRoutes = 64;
  static constexpr std::size_t kMaxDomains = 64;

  /** Most windows of a move and of the watch after it; see `MoveSchedule`. */
  static constexpr std::size_t kWindows = 48;

  /** Index of the window, below `kWindows`. */
  std::size_t window = 0;
  /** Grows with every change; of two states the higher one is newer. */
  std::uint64_t sequence = 0;
  /** By the name of the call. */
  std::map<std::string, RouteEvidence> routes;

  /**
   * Adds the counts of other calls and their sequence, which sums the recorders
   * of one daemon's threads. The windows must be the same. Not thread-safe.
   */
  EvidenceWindow& operator+=(const EvidenceWindow& aOther);

  /** Removes what was added before. Not thread-safe. */
  EvidenceWindow& operator-=(const EvidenceWindow& aOther);

  /** Returns the FlexBuffers form for a gossip record. Thread-safe. */
  std::string Serialize() const;

  /** Parses the form that `Serialize` returns. Thread-safe. */
  static core::Result<EvidenceWindow> Parse(std::string_view aBytes);

  bool operator==(const EvidenceWindow&) const = default;
};

} // namespace fireflytrail::moves
