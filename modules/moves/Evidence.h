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
 * The counters of all daemons for one version move. Each daemon is the single
 * writer of its own; merging is independent of the order of messages.
 */
class Evidence
{
public:
  static constexpr std::size_t kWindows = EvidenceWindow::kWindows;

  /** Sums over all daemons by window. */
  using Totals = std::array<EvidenceWindow, kWindows>;

  /**
   * Takes over a daemon's state of one window unless a newer one is known.
   * Returns whether anything changed. Not thread-safe.
   */
  bool Merge(const core::DaemonId& aOrigin, const EvidenceWindow& aSnapshot);

  /** Returns the sums. The reference holds until `Merge`. Not thread-safe. */
  const Totals& Sums() const;

  /**
   * Returns the calls of the new version by route since the start of the move,
   * including windows that this daemon never got. Not thread-safe.
   */
  const std::map<std::string, std::uint64_t>& NewCalls() const;

  /** Returns the number of daemons that contributed. Not thread-safe. */
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
