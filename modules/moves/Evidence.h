#pragma once

#include "core/DaemonId.h"
#include "moves/EvidenceWindow.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace fireflytrail::moves {

/**
 * Merged counters of all daemons for one version move. Each daemon is the
 * single writer of its counters. Merging is commutative and idempotent, so that
 * the order of messages and duplicates do not matter.
 */
class Evidence
{
public:
  static constexpr std::size_t kWindows = EvidenceWindow::kWindows;

  /** Sums over all daemons, indexed by window. */
  using Totals = std::array<EvidenceWindow, kWindows>;

  /**
   * Replaces the stored snapshot of a daemon's window if `aSnapshot` is newer.
   * Returns whether anything changed. Not thread-safe.
   */
  bool Merge(const core::DaemonId& aOrigin, const EvidenceWindow& aSnapshot);

  /**
   * Returns the sums over all daemons; the next `Merge` changes the referenced
   * object. Not thread-safe.
   */
  const Totals& Sums() const;

  /**
   * Returns the calls of the new version by route since the start of the move,
   * including those in windows that this daemon never received. Not
   * thread-safe.
   */
  const std::map<std::string, std::uint64_t>& NewCalls() const;

  /**
   * Returns the number of daemon processes whose counters were merged. Not
   * thread-safe.
   */
  std::size_t OriginCount() const;

private:
  static Totals EmptyTotals();

  std::map<core::DaemonId, Totals> origins;
  Totals sums = EmptyTotals();
  std::map<core::DaemonId, std::map<std::string, std::uint64_t>>
    newCallsByOrigin;
  std::map<std::string, std::uint64_t> newCalls;
};

} // namespace fireflytrail::moves
