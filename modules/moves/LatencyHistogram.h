#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

namespace fireflytrail::moves {

/**
 * Histogram of durations with buckets that grow by a factor of 2^(1/8), which
 * bounds the error of a quantile to 9 %.
 */
class LatencyHistogram
{
public:
  /** Adds one duration. Not thread-safe. */
  void Add(std::chrono::microseconds aDuration);

  /** Returns the number of durations. Not thread-safe. */
  std::uint64_t Count() const;

  /**
   * Returns the upper bound of the bucket that holds the quantile. `aShare`
   * must be between 0 and 1, and the histogram must not be empty. Not
   * thread-safe.
   */
  std::chrono::microseconds Quantile(double aShare) const;

private:
  /**
   * The buckets cover 1 microsecond to 2^27 microseconds, about 134 s; longer
   * durations are counted in the last bucket.
   */
  static constexpr std::size_t kBuckets = 27 * 8;

  std::array<std::uint32_t, kBuckets> buckets{};
  std::uint64_t count = 0;
};

} // namespace fireflytrail::moves
