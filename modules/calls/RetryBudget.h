#pragma once

#include "core/Hooks.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <span>

namespace fireflytrail::calls {

/**
 * Limits the retries of one service to a fraction of its first attempts in any
 * 10 s: by default an eleventh, so that the fleet stays within a tenth. A retry
 * of a call also repeats the nested calls that it makes to other services.
 * Therefore a retry is charged to the budgets of the service and of every
 * service that it depends on, directly or indirectly: with independent budgets,
 * 18 levels of 10 % each would add 180 % at the deepest level.
 *
 * Only requests with `Attempt: 0` count as first attempts. Retries, and nested
 * calls caused by a retry, do not; `CallFlow` never retries them.
 */
class RetryBudget
{
public:
  /** The retries that a budget allows in any 10 s. */
  struct Allowance
  {
    /**
     * First attempts needed for each retry. Each daemon limits its own retries
     * over a window that ends at its latest retry, and these windows differ
     * between daemons. With exactly ten, the fleet therefore reached 10.25 %
     * over a common window (scenario retry-everything-fails-reset, seed 1).
     */
    double firstAttemptsPerRetry = 11;
    /** Retries of this daemon that need no first attempts. A fraction shortens
     * the number of first attempts needed for the next one. */
    double freeRetries = 0;

    /**
     * Divides the allowance of a fleet of `aHosts` > 0 daemons and returns the
     * part of one daemon. The fleet may make `aRetryRatio` retries for each
     * first attempt, plus `aFreeRetries`, in any 10 s. A safety margin is
     * deducted, since the windows of the daemons end at different times.
     */
    static Allowance OfFleet(double aRetryRatio,
                             double aFreeRetries,
                             std::size_t aHosts);

    bool operator==(const Allowance&) const = default;
  };

  explicit RetryBudget(core::NowFunction aNow);
  RetryBudget(core::NowFunction aNow, Allowance aAllowance);

  /** Replaces the allowance. Not thread-safe. */
  void SetAllowance(const Allowance& aAllowance)
  {
    this->allowance = aAllowance;
  }

  /** Counts a call that neither is nor was caused by a retry. Thread-safe. */
  void CountFirstAttempt();

  /**
   * Charges one retry to this budget and its expected nested calls to the
   * budgets of the services it depends on. If any budget is exhausted, returns
   * false and charges nothing. `aDependencies` holds the budgets of all
   * services that a call to this one can reach, each once and without this one.
   * Thread-safe.
   */
  bool TryCharge(std::span<RetryBudget* const> aDependencies = {});

  /** Returns the number of first attempts in the last 10 s. Thread-safe. */
  std::uint64_t FirstAttempts() const;

  /**
   * Returns the retries charged in the last 10 s, in thousandths of a retry.
   * Thread-safe.
   */
  std::uint64_t ChargedMilliRetries() const;

private:
  static constexpr std::chrono::milliseconds kBucketLength{ 100 };
  /**
   * Retries are summed over this many buckets. They always cover at least 10 s,
   * although the current bucket is incomplete.
   */
  static constexpr std::int64_t kRetryBuckets = 101;
  /** First attempts are summed over this many buckets: at most 10 s. */
  static constexpr std::int64_t kFirstAttemptBuckets = 100;

  /**
   * Counters of one time interval of `kBucketLength`. Each atomic word holds
   * the number of its interval together with the count, so that a thread that
   * resumes after a long pause can neither add to nor clear the count of a
   * newer interval.
   */
  struct Bucket
  {
    std::atomic<std::uint64_t> firstAttempts{ 0 };
    std::atomic<std::uint64_t> chargedMilliRetries{ 0 };
  };

  std::int64_t CurrentInterval() const;
  bool Charge(std::uint64_t aMilliRetries);
  void Refund(std::uint64_t aMilliRetries, std::int64_t aInterval);

  core::NowFunction now;
  Allowance allowance;
  std::array<Bucket, 128> buckets;
  /**
   * Spin lock for charges and refunds, so that two threads cannot both spend
   * the last retry. It is held for a few hundred nanoseconds, and only when an
   * attempt has failed.
   */
  std::atomic_flag chargeLock;
};

} // namespace fireflytrail::calls
