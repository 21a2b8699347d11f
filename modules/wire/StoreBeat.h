#pragma once

#include <cstdint>
#include <vector>

namespace fireflytrail::wire {

/**
 * Tells that the store answers the sender, and the revision of the last change
 * that it knows of each kind, in the order that all daemons use.
 */
struct StoreBeat
{
  std::vector<std::uint64_t> lastChanges;

  bool operator==(const StoreBeat&) const = default;
};

} // namespace fireflytrail::wire
