#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <limits>

namespace fireflytrail::routing {

/**
 * Load of one service as seen by this daemon. Traffic threads count calls in
 * flight; the control thread writes averages over the servers. Outlives routing
 * snapshots. All members are thread-safe and lock-free.
 */
class ServiceLoad
{
public:
  /** Adds to the number of this daemon's calls in flight: 1 when a call starts,
   * -1 when it ends. */
  void AddInFlight(std::int32_t aCount)
  {
    this->inFlight.fetch_add(aCount, std::memory_order_relaxed);
  }

  /** Returns the number of this daemon's calls in flight. */
  std::int32_t InFlight() const
  {
    return this->inFlight.load(std::memory_order_relaxed);
  }

  /** Counts demand: once when a caller requests a call, admitted or not, and
   * once more for each selection of a server for it. */
  void CountDemand() { this->demand.fetch_add(1, std::memory_order_relaxed); }

  /** Returns the demand counted since construction. A call may be counted
   * several times, so only a change of the number has a meaning. */
  std::uint64_t Demand() const
  {
    return this->demand.load(std::memory_order_relaxed);
  }

  /** Sets the median of the servers' smoothed service times. */
  void SetTypicalServiceTime(std::chrono::nanoseconds aTime)
  {
    this->typicalServiceTime.store(aTime.count(), std::memory_order_relaxed);
  }

  /** Returns the median of the servers' smoothed service times; 0 if not known.
   */
  std::chrono::nanoseconds TypicalServiceTime() const
  {
    return std::chrono::nanoseconds(
      this->typicalServiceTime.load(std::memory_order_relaxed));
  }

  /** Sets the calls in flight of all daemons per slot, as the servers report.
   */
  void SetUtilization(double aUtilization)
  {
    this->utilization.store(aUtilization, std::memory_order_relaxed);
  }

  /** Returns the calls in flight of all daemons per slot, as the servers
   * report. */
  double Utilization() const
  {
    return this->utilization.load(std::memory_order_relaxed);
  }

  /** Sets whether the service has a server that may take calls. */
  void SetCanServe(bool aCanServe)
  {
    this->canServe.store(aCanServe, std::memory_order_relaxed);
  }

  /** Whether the service has a server that may take calls. */
  bool CanServe() const
  {
    return this->canServe.load(std::memory_order_relaxed);
  }

  /** Sets whether this daemon's limit for any server is neither 0 nor
   * unlimited, as while a server is ramped up. */
  void SetRamping(bool aRamping)
  {
    this->ramping.store(aRamping, std::memory_order_relaxed);
  }

  /** Whether this daemon's limit for any server is neither 0 nor unlimited. */
  bool Ramping() const { return this->ramping.load(std::memory_order_relaxed); }

  /** Sets the load shedding level; see `ShedController`. */
  void SetShedLevel(double aLevel)
  {
    this->shedLevel.store(aLevel, std::memory_order_relaxed);
  }

  /** Returns the load shedding level, from 0 to 3; see `ShedController`. */
  double ShedLevel() const
  {
    return this->shedLevel.load(std::memory_order_relaxed);
  }

  /** Sets the bound of this daemon's calls in flight. Above it, calls that are
   * not urgent are shed. Infinite if there is no bound. */
  void SetBound(double aBound)
  {
    this->bound.store(aBound, std::memory_order_relaxed);
  }

  /** Returns the bound of this daemon's calls in flight. */
  double Bound() const { return this->bound.load(std::memory_order_relaxed); }

  /** Counts a call that was compared with the bound. `aHit` tells whether it
   * was shed. */
  void CountBoundCheck(bool aHit)
  {
    this->boundChecks.fetch_add(1, std::memory_order_relaxed);
    if (aHit) {
      this->boundHits.fetch_add(1, std::memory_order_relaxed);
    }
  }

  /** Returns the share of the compared calls that hit the bound since this
   * method was last called, and resets the counts. Only the control thread may
   * call it. */
  double ReadAndResetBoundHitRatio()
  {
    const auto checks =
      this->boundChecks.exchange(0, std::memory_order_relaxed);
    const auto hits = this->boundHits.exchange(0, std::memory_order_relaxed);
    return checks == 0 ? 0 : static_cast<double>(hits) / checks;
  }

private:
  std::atomic<std::int32_t> inFlight{ 0 };
  std::atomic<std::uint64_t> demand{ 0 };
  std::atomic<bool> canServe{ true };
  std::atomic<bool> ramping{ false };
  std::atomic<std::int64_t> typicalServiceTime{ 0 };
  std::atomic<double> utilization{ 0 };
  std::atomic<double> shedLevel{ 0 };
  std::atomic<double> bound{ std::numeric_limits<double>::infinity() };
  std::atomic<std::uint32_t> boundChecks{ 0 };
  std::atomic<std::uint32_t> boundHits{ 0 };
};

} // namespace fireflytrail::routing
