#include "calls/RetryBudget.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>
#include <vector>

namespace fireflytrail::calls {

namespace {

constexpr std::uint64_t kMilli = 1000;

// A word holds the low 32 bits of the span's number and a 32-bit count.
constexpr unsigned kCountBits = 32;
constexpr std::uint64_t kCountMask = (std::uint64_t{ 1 } << kCountBits) - 1;

std::uint64_t
EmptyWord(std::int64_t aSpan)
{
  return static_cast<std::uint64_t>(aSpan) << kCountBits;
}

std::uint64_t
CountIn(std::uint64_t aWord, std::int64_t aSpan)
{
  return (aWord & ~kCountMask) == EmptyWord(aSpan) ? aWord & kCountMask : 0;
}

void
AddTo(std::atomic<std::uint64_t>& aWord,
      std::int64_t aSpan,
      std::uint64_t aCount)
{
  std::uint64_t seen = aWord.load(std::memory_order_relaxed);
  while (true) {
    const auto age =
      static_cast<std::int32_t>(static_cast<std::uint32_t>(aSpan) -
                                static_cast<std::uint32_t>(seen >> kCountBits));
    if (age < 0) {
      // The word already belongs to a newer span.
      return;
    }
    const std::uint64_t base = age == 0 ? seen : EmptyWord(aSpan);
    const std::uint64_t count =
      std::min((base & kCountMask) + aCount, kCountMask);
    if (aWord.compare_exchange_weak(seen, (base & ~kCountMask) | count)) {
      return;
    }
  }
}

class FlagGuard
{
public:
  explicit FlagGuard(std::atomic_flag& aFlag)
    : flag(aFlag)
  {
    while (this->flag.test_and_set(std::memory_order_acquire)) {
    }
  }
  ~FlagGuard() { this->flag.clear(std::memory_order_release); }
  FlagGuard(const FlagGuard&) = delete;
  FlagGuard& operator=(const FlagGuard&) = delete;

private:
  std::atomic_flag& flag;
};

// Part of a fleet's retries that is given out: the daemons' windows end at
// different times.
constexpr double kFleetShare = 0.8;

// Ratio below which the fleet has no retries to speak of.
constexpr double kLeastRatio = 1e-3;

} // namespace

RetryBudget::Allowance
RetryBudget::Allowance::OfFleet(double aRatio, double aFree, std::size_t aHosts)
{
  assert(aHosts > 0);
  return { .firstsPerRetry = static_cast<std::uint64_t>(
             std::ceil(1 / std::max(aRatio * kFleetShare, kLeastRatio))),
           .freeRetries = static_cast<std::uint64_t>(
             aFree * kFleetShare / static_cast<double>(aHosts)) };
}

RetryBudget::RetryBudget(core::NowFunction aNow)
  : RetryBudget(std::move(aNow), Allowance{})
{
}

RetryBudget::RetryBudget(core::NowFunction aNow, Allowance aAllowance)
  : now(std::move(aNow))
  , allowance(aAllowance)
{
  assert(this->now);
}

void
RetryBudget::CountFirstAttempt()
{
  const std::int64_t span = this->CurrentSpan();
  AddTo(this->buckets[span % this->buckets.size()].firsts, span, 1);
}

bool
RetryBudget::TryTake(std::span<RetryBudget* const> aBelow)
{
  const std::int64_t span = this->CurrentSpan();
  if (!this->Charge(kMilli)) {
    return false;
  }
  const std::uint64_t ownFirsts =
    std::max<std::uint64_t>(this->FirstAttempts(), 1);
  std::vector<std::pair<RetryBudget*, std::uint64_t>> charged;
  charged.reserve(aBelow.size());
  for (RetryBudget* below : aBelow) {
    assert(below != nullptr && below != this);
    // A call causes as many calls there as the traffic shows, on average.

    const std::uint64_t ratio =
      (below->FirstAttempts() * kMilli + ownFirsts - 1) / ownFirsts;
    // A ratio near one counts as one: this daemon's sample of the traffic is
    // noisy, and 18 levels reached 10.14 % with the plain ratio (scenario
    // retry-18-deep-deepest-fails, seed 1).
    const std::uint64_t milli =
      ratio >= kMilli / 2 ? std::max(ratio, kMilli) : ratio;
    if (!below->Charge(milli)) {
      this->Refund(kMilli, span);
      for (const auto& [budget, amount] : charged) {
        budget->Refund(amount, span);
      }
      return false;
    }
    charged.emplace_back(below, milli);
  }
  return true;
}

std::uint64_t
RetryBudget::FirstAttempts() const
{
  const std::int64_t current = this->CurrentSpan();
  std::uint64_t sum = 0;
  for (std::int64_t age = 0; age < kFirstBuckets && age <= current; ++age) {
    const std::int64_t span = current - age;
    sum += CountIn(this->buckets[span % this->buckets.size()].firsts, span);
  }
  return sum;
}

std::uint64_t
RetryBudget::ChargedMilli() const
{
  const std::int64_t current = this->CurrentSpan();
  std::uint64_t sum = 0;
  for (std::int64_t age = 0; age < kRetryBuckets && age <= current; ++age) {
    const std::int64_t span = current - age;
    sum +=
      CountIn(this->buckets[span % this->buckets.size()].chargedMilli, span);
  }
  return sum;
}

std::int64_t
RetryBudget::CurrentSpan() const
{
  return this->now().time_since_epoch() / kBucketLength;
}

bool
RetryBudget::Charge(std::uint64_t aMilli)
{
  const FlagGuard guard(this->charging);
  const std::uint64_t freeMilli = this->allowance.freeRetries * kMilli;
  const std::uint64_t wanted = this->ChargedMilli() + aMilli;
  if (wanted > freeMilli &&
      (wanted - freeMilli) * this->allowance.firstsPerRetry >
        this->FirstAttempts() * kMilli) {
    return false;
  }
  const std::int64_t span = this->CurrentSpan();
  AddTo(this->buckets[span % this->buckets.size()].chargedMilli, span, aMilli);
  return true;
}

void
RetryBudget::Refund(std::uint64_t aMilli, std::int64_t aSpan)
{
  const FlagGuard guard(this->charging);
  auto& word = this->buckets[aSpan % this->buckets.size()].chargedMilli;
  const std::uint64_t seen = word.load();
  // The charge may have fallen into the next span; then it is not refunded,
  // which only makes the budget smaller.
  if (CountIn(seen, aSpan) >= aMilli) {
    word.store(seen - aMilli);
  }
}

} // namespace fireflytrail::calls
