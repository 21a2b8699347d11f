#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <limits>

namespace fireflytrail::routing {

/**
 * Load of one service as this daemon sees it. Traffic threads count calls in
 * flight; the control thread writes the averages over the servers. It outlives
 * routing snapshots. All members are thread-safe and lock-free.
 */
class ServiceLoad
{
public:
  /** Counts a call of this daemon in or out. */
  void AddInFlight(std::int32_t aCount)
  {
    this->inFlight.fetch_add(aCount, std::memory_order_relaxed);
  }

  /** Returns this daemon's calls in flight. */
  std::int32_t InFlight() const
  {
    return this->inFlight.load(std::memory_order_relaxed);
  }

  /** Counts a call that a caller wants of the service, admitted or not. */
  void CountDemand() { this->demand.fetch_add(1, std::memory_order_relaxed); }

  /** Returns the calls that callers wanted since the start. */
  std::uint64_t Demand() const
  {
    return this->demand.load(std::memory_order_relaxed);
  }

  /** Sets the median of the servers' smoothed service times. */
  void SetTypicalServiceTime(std::chrono::nanoseconds aTime)
  {
    this->typicalServiceTime.store(aTime.count(), std::memory_order_relaxed);
  }

  /** Returns the median of the servers' service times; 0 if not known. */
  std::chrono::nanoseconds TypicalServiceTime() const
  {
    return std::chrono::nanoseconds(
      this->typicalServiceTime.load(std::memory_order_relaxed));
  }

  /** Sets the calls in flight of all daemons per slot, by the reports. */
  void SetUtilization(double aUtilization)
  {
    this->utilization.store(aUtilization, std::memory_order_relaxed);
  }

  /** Returns the calls in flight of all daemons per slot, by the reports. */
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

  /** Sets whether this daemon's limit of any server is between none and all. */
  void SetRamping(bool aRamping)
  {
    this->ramping.store(aRamping, std::memory_order_relaxed);
  }

  /** Whether this daemon's limit of any server is between none and all. */
  bool Ramping() const { return this->ramping.load(std::memory_order_relaxed); }

  /** Sets the level of `ShedController`. */
  void SetShedLevel(double aLevel)
  {
    this->shedLevel.store(aLevel, std::memory_order_relaxed);
  }

  /** Returns the level of `ShedController`, from 0 to 3. */
  double ShedLevel() const
  {
    return this->shedLevel.load(std::memory_order_relaxed);
  }

  /** Sets the calls in flight of this daemon from which calls that are not
   * urgent are shed; infinite for no bound. */
  void SetBound(double aBound)
  {
    this->bound.store(aBound, std::memory_order_relaxed);
  }

  /** Returns the bound of this daemon's calls in flight. */
  double Bound() const { return this->bound.load(std::memory_order_relaxed); }

  /** Counts a call that was compared with the bound. */
  void CountBoundCheck(bool aHit)
  {
    this->boundChecks.fetch_add(1, std::memory_order_relaxed);
    if (aHit) {
      this->boundHits.fetch_add(1, std::memory_order_relaxed);
    }
  }

  /** Returns the share of calls that hit the bound since the last call of this
   * method, which only the control thread may call. */
  double TakeBoundHitRatio()
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
