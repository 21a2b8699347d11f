#pragma once

#include <cstdint>

namespace fireflytrail::moves {

/** Monotonic counters of the finished calls of one version. */
struct CallCounters
{
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  /** Calls whose duration was compared with the old version's quantiles. */
  std::uint64_t timed = 0;
  /** Timed calls above the old version's 75 % quantile. */
  std::uint64_t slow = 0;
  /** Timed calls above the old version's 95 % quantile. */
  std::uint64_t verySlow = 0;

  /** Adds the counts of other calls. Not thread-safe. */
  CallCounters& operator+=(const CallCounters& aOther)
  {
    this->calls += aOther.calls;
    this->failures += aOther.failures;
    this->timed += aOther.timed;
    this->slow += aOther.slow;
    this->verySlow += aOther.verySlow;
    return *this;
  }

  /** Subtracts counts that were added before. Not thread-safe. */
  CallCounters& operator-=(const CallCounters& aOther)
  {
    this->calls -= aOther.calls;
    this->failures -= aOther.failures;
    this->timed -= aOther.timed;
    this->slow -= aOther.slow;
    this->verySlow -= aOther.verySlow;
    return *this;
  }

  bool operator==(const CallCounters&) const = default;
};

} // namespace fireflytrail::moves
