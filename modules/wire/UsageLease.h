#pragma once

#include <cstdint>
#include <string>

namespace fireflytrail::wire {

/** The lease to report usage, from its holder after a renewal or release. */
struct UsageLease
{
  std::string holder;
  /** Random number of the holder's process. */
  std::uint64_t process = 0;
  std::uint64_t fence = 0;
  /** Number of the write. */
  std::uint64_t sequence = 0;
  /** Revision and era in which the store has it. */
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
  bool isReleased = false;
  /** The last window whose figures are fixed. */
  std::uint64_t fixedThrough = 0;
  /** Up to this window all are reported or given up. */
  std::uint64_t doneThrough = 0;

  bool operator==(const UsageLease&) const = default;
};

} // namespace fireflytrail::wire
