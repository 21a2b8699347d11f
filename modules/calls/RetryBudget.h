#pragma once

#include "core/Hooks.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <span>

namespace fireflytrail::calls {

/**
 * Limits the retries of one service to a share of its first attempts in any
 * 10 s: by default an eleventh, so that the fleet stays within a tenth. A retry
 * of a call also repeats the calls below it, so a retry is paid from the
 * budgets of the service and of every service below it: with separate payment,
 * 18 levels of 10 % each would add 180 % at the deepest level.
 *
 * Only attempts with `Attempt: 0` fund retries, and calls below a retry are
 * never retried (`CallFlow` sees to that).
 */
class RetryBudget
{
public:
  /** What a budget allows in any 10 s. */
  struct Allowance
  {
    /**
     * First attempts that pay for one retry. Each daemon keeps its share in
     * windows that end with its own last retry. With exactly ten the fleet
     * reached 10.25 % over a common window (scenario
     * retry-everything-fails-reset, seed 1).
     */
    std::uint64_t firstsPerRetry = 11;
    /** Retries that need no first attempts, for this daemon alone. */
    std::uint64_t freeRetries = 0;

    /**
     * Returns one daemon's part of what a fleet of `aHosts` > 0 daemons may do
     * in any 10 s: `aRatio` retries for each first attempt and `aFree` besides.
     * A part is kept back, since daemons count in windows of their own.
     */
    static Allowance OfFleet(double aRatio, double aFree, std::size_t aHosts);

    bool operator==(const Allowance&) const = default;
  };

  explicit RetryBudget(core::NowFunction aNow);
  RetryBudget(core::NowFunction aNow, Allowance aAllowance);

  /** Replaces the allowance. Not thread-safe. */
  void SetAllowance(const Allowance& aAllowance)
  {
    this->allowance = aAllowance;
  }

  /** Counts a call that is not below a retry. Thread-safe. */
  void CountFirstAttempt();

  /**
   * Takes the cost of one retry, or returns false and takes nothing.
   * `aBelow` holds the budgets of all services that a call of this one can
   * reach, each once and without this one. Thread-safe.
   */
  bool TryTake(std::span<RetryBudget* const> aBelow = {});

  /** Returns the first attempts in the last 10 s. Thread-safe. */
  std::uint64_t FirstAttempts() const;

  /** Returns the thousandths of retries charged in the last 10 s. */
  std::uint64_t ChargedMilli() const;

private:
  static constexpr std::chrono::milliseconds kBucketLength{ 100 };
  /** Retries are summed over this many buckets, always at least 10 s. */
  static constexpr std::int64_t kRetryBuckets = 101;
  /** First attempts are summed over this many buckets, at most 10 s. */
  static constexpr std::int64_t kFirstBuckets = 100;

  /**
   * Counts of one span of time. The number of the span and a count share one
   * word, so that a thread that returns from a long pause cannot add to, or
   * clear, a newer span.
   */
  struct Bucket
  {
    std::atomic<std::uint64_t> firsts{ 0 };
    std::atomic<std::uint64_t> chargedMilli{ 0 };
  };

  std::int64_t CurrentSpan() const;
  bool Charge(std::uint64_t aMilli);
  void Refund(std::uint64_t aMilli, std::int64_t aSpan);

  core::NowFunction now;
  Allowance allowance;
  std::array<Bucket, 128> buckets;
  /**
   * Guards charges: two threads must not both take the last token. Held for a
   * few hundred nanoseconds, and only when an attempt has failed.
   */
  std::atomic_flag charging;
};

} // namespace fireflytrail::calls
