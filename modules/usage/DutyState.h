#pragma once

#include "usage/Figures.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace fireflytrail::usage {

/**
 * What the store keeps of the duty to report: the lease and the figures that
 * are fixed and not yet reported, in one object, so that one conditional write
 * renews the first and fixes the second.
 */
struct DutyState
{
  /** Name of the daemon that holds the duty. */
  std::string holder;
  /** Random number of the holder's process. */
  std::uint64_t process = 0;
  /** Greater at each change of holder. */
  std::uint64_t fence = 0;
  /** Number of the write. */
  std::uint64_t sequence = 0;
  /** Era of the store (see `store::StoreResponse::era`) that the writer knew.
   * The state may be older than a later one if the store is in another era. */
  std::uint64_t era = 0;
  /** The holder has stopped before its lease ended. */
  bool isReleased = false;
  /** Up to this window, each is reported, given up or among `pending`. */
  WindowNumber fixedThrough = 0;
  /** Figures that are fixed and have not been reported as far as known. */
  std::map<WindowNumber, Figures> pending;
  /** Windows whose figures the store has lost; the next holder says so. */
  std::set<WindowNumber> lost;

  bool operator==(const DutyState&) const = default;

  /** Returns the window up to which all are reported or given up.
   * Thread-safe. */
  WindowNumber DoneThrough() const
  {
    return this->pending.empty() ? this->fixedThrough
                                 : this->pending.begin()->first - 1;
  }

  /** Returns the state as text. Thread-safe. */
  std::string ToText() const;

  /** Parses the text of a state; nothing if it is malformed. Thread-safe. */
  static std::optional<DutyState> Parse(std::string_view aText);
};

} // namespace fireflytrail::usage
