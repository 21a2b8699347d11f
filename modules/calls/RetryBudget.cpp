#include "calls/RetryBudget.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>
#include <vector>

namespace fireflytrail::calls {

namespace {

// Charges and call ratios are in thousandths.
constexpr std::uint64_t kMilliPerUnit = 1000;

// The upper half of a word holds the low 32 bits of the interval's number, the
// lower half a 32-bit count.
constexpr unsigned kCountBits = 32;
constexpr std::uint64_t kCountMask = (std::uint64_t{ 1 } << kCountBits) - 1;

std::uint64_t
EmptyWord(std::int64_t aInterval)
{
  return static_cast<std::uint64_t>(aInterval) << kCountBits;
}

std::uint64_t
CountIn(std::uint64_t aWord, std::int64_t aInterval)
{
  return (aWord & ~kCountMask) == EmptyWord(aInterval) ? aWord & kCountMask : 0;
}

void
AddTo(std::atomic<std::uint64_t>& aWord,
      std::int64_t aInterval,
      std::uint64_t aCount)
{
  std::uint64_t seen = aWord.load(std::memory_order_relaxed);
  while (true) {
    const auto age =
      static_cast<std::int32_t>(static_cast<std::uint32_t>(aInterval) -
                                static_cast<std::uint32_t>(seen >> kCountBits));
    if (age < 0) {
      // The word already belongs to a newer interval.
      return;
    }
    const std::uint64_t base = age == 0 ? seen : EmptyWord(aInterval);
    const std::uint64_t count =
      std::min((base & kCountMask) + aCount, kCountMask);
    if (aWord.compare_exchange_weak(seen, (base & ~kCountMask) | count)) {
      return;
    }
  }
}

class SpinLockGuard
{
public:
  explicit SpinLockGuard(std::atomic_flag& aFlag)
    : flag(aFlag)
  {
    while (this->flag.test_and_set(std::memory_order_acquire)) {
    }
  }
  ~SpinLockGuard() { this->flag.clear(std::memory_order_release); }
  SpinLockGuard(const SpinLockGuard&) = delete;
  SpinLockGuard& operator=(const SpinLockGuard&) = delete;

private:
  std::atomic_flag& flag;
};

// Fraction of the fleet's retries that is allocated to daemons. The rest is a
// margin, since the windows of the daemons end at different times.
constexpr double kAllocatedFraction = 0.8;

// Lower limit of the ratio, at which retries are practically disabled; avoids a
// division by zero.
constexpr double kMinRatio = 1e-3;

} // namespace

RetryBudget::Allowance
RetryBudget::Allowance::OfFleet(double aRetryRatio,
                                double aFreeRetries,
                                std::size_t aHosts)
{
  assert(aHosts > 0);
  return { .firstAttemptsPerRetry =
             1 / std::max(aRetryRatio * kAllocatedFraction, kMinRatio),
           .freeRetries =
             aFreeRetries * kAllocatedFraction / static_cast<double>(aHosts) };
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
  const std::int64_t interval = this->CurrentInterval();
  AddTo(
    this->buckets[interval % this->buckets.size()].firstAttempts, interval, 1);
}

bool
RetryBudget::TryCharge(std::span<RetryBudget* const> aDependencies)
{
  const std::int64_t interval = this->CurrentInterval();
  if (!this->Charge(kMilliPerUnit)) {
    return false;
  }
  const std::uint64_t ownFirstAttempts =
    std::max<std::uint64_t>(this->FirstAttempts(), 1);
  std::vector<std::pair<RetryBudget*, std::uint64_t>> charged;
  charged.reserve(aDependencies.size());
  for (RetryBudget* dependency : aDependencies) {
    assert(dependency != nullptr && dependency != this);
    // Average number of calls to the dependency for each call to this service,
    // estimated from the first attempts at both, in thousandths.
    const std::uint64_t ratio =
      (dependency->FirstAttempts() * kMilliPerUnit + ownFirstAttempts - 1) /
      ownFirstAttempts;
    // A ratio from a half up to one is rounded up to one, since the estimate of
    // a single daemon is noisy: with the unrounded ratio, 18 levels reached
    // 10.14 % (scenario retry-18-deep-deepest-fails, seed 1).
    const std::uint64_t milliRetries =
      ratio >= kMilliPerUnit / 2 ? std::max(ratio, kMilliPerUnit) : ratio;
    if (!dependency->Charge(milliRetries)) {
      this->Refund(kMilliPerUnit, interval);
      for (const auto& [budget, amount] : charged) {
        budget->Refund(amount, interval);
      }
      return false;
    }
    charged.emplace_back(dependency, milliRetries);
  }
  return true;
}

std::uint64_t
RetryBudget::FirstAttempts() const
{
  const std::int64_t current = this->CurrentInterval();
  std::uint64_t sum = 0;
  for (std::int64_t age = 0; age < kFirstAttemptBuckets && age <= current;
       ++age) {
    const std::int64_t interval = current - age;
    sum += CountIn(this->buckets[interval % this->buckets.size()].firstAttempts,
                   interval);
  }
  return sum;
}

std::uint64_t
RetryBudget::ChargedMilliRetries() const
{
  const std::int64_t current = this->CurrentInterval();
  std::uint64_t sum = 0;
  for (std::int64_t age = 0; age < kRetryBuckets && age <= current; ++age) {
    const std::int64_t interval = current - age;
    sum += CountIn(
      this->buckets[interval % this->buckets.size()].chargedMilliRetries,
      interval);
  }
  return sum;
}

std::int64_t
RetryBudget::CurrentInterval() const
{
  return this->now().time_since_epoch() / kBucketLength;
}

bool
RetryBudget::Charge(std::uint64_t aMilliRetries)
{
  const SpinLockGuard guard(this->chargeLock);
  const double beyondFree =
    static_cast<double>(this->ChargedMilliRetries() + aMilliRetries) /
      kMilliPerUnit -
    this->allowance.freeRetries;
  if (beyondFree > 0 && beyondFree * this->allowance.firstAttemptsPerRetry >
                          static_cast<double>(this->FirstAttempts())) {
    return false;
  }
  const std::int64_t interval = this->CurrentInterval();
  AddTo(this->buckets[interval % this->buckets.size()].chargedMilliRetries,
        interval,
        aMilliRetries);
  return true;
}

void
RetryBudget::Refund(std::uint64_t aMilliRetries, std::int64_t aInterval)
{
  const SpinLockGuard guard(this->chargeLock);
  auto& word =
    this->buckets[aInterval % this->buckets.size()].chargedMilliRetries;
  const std::uint64_t seen = word.load();
  // The charge may have been counted in the next interval. It is then not
  // refunded, which only makes the budget stricter.
  if (CountIn(seen, aInterval) >= aMilliRetries) {
    word.store(seen - aMilliRetries);
  }
}

} // namespace fireflytrail::calls
