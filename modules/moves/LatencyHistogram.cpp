#include "moves/LatencyHistogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fireflytrail::moves {

namespace {

constexpr double kBucketsPerDoubling = 8;

} // namespace

void
LatencyHistogram::Add(std::chrono::microseconds aDuration)
{
  const double microseconds =
    std::max(1.0, static_cast<double>(aDuration.count()));
  const auto bucket = static_cast<std::size_t>(
    std::floor(std::log2(microseconds) * kBucketsPerDoubling));
  ++this->buckets[std::min(bucket, kBuckets - 1)];
  ++this->count;
}

std::uint64_t
LatencyHistogram::Count() const
{
  return this->count;
}

std::chrono::microseconds
LatencyHistogram::Quantile(double aShare) const
{
  assert(aShare >= 0 && aShare <= 1);
  assert(this->count > 0);
  const auto rank = static_cast<std::uint64_t>(
    std::ceil(aShare * static_cast<double>(this->count)));
  std::uint64_t below = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets) {
    below += this->buckets[bucket];
    if (below >= std::max<std::uint64_t>(rank, 1)) {
      break;
    }
    ++bucket;
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(std::ceil(
    std::exp2(static_cast<double>(bucket + 1) / kBucketsPerDoubling))));
}

} // namespace fireflytrail::moves
