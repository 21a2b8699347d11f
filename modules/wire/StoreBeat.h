#pragma once

#include <cstdint>
#include <vector>

namespace fireflytrail::wire {

/**
 * Tells whether the store answers the sender, and the revision of the last
 * change that it knows of each kind, in the order that all daemons use.
 */
struct StoreBeat
{
  std::vector<std::uint64_t> lastChanges;
  /** The store does not answer the sender, which goes on trying. */
  bool isLost = false;
  /** Whether the sender's host can carry work for all others. */
  bool isStrong = false;

  bool operator==(const StoreBeat&) const = default;
};

} // namespace fireflytrail::wire
