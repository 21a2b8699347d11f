#pragma once

#include <chrono>
#include <cstdint>

namespace fireflytrail::wire {

/** Requests the counters of some windows and tells the time of day. */
struct UsageRequest
{
  /** The windows; none are requested if the first is greater than the last. */
  std::uint64_t first = 1;
  std::uint64_t last = 0;
  /** Windows up to this one need not be kept any more. */
  std::uint64_t fixedThrough = 0;
  /** Median of the corrected times of several daemons, since the epoch. */
  std::chrono::microseconds time{ 0 };

  bool operator==(const UsageRequest&) const = default;
};

} // namespace fireflytrail::wire
