#pragma once

#include "core/Hooks.h"
#include "routing/BackendInstance.h"
#include "routing/RolloutOrder.h"
#include "routing/ServiceDispatcher.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/**
 * Holds the known instances, the failure domains that are out and the rollouts,
 * and derives from them which instances may get requests.
 *
 * While the store is unavailable, the entry of a running instance can expire.
 * An entry that disappears shortly after the store is available again is
 * therefore kept for some time, in which its instance can write it again. The
 * same holds for an entry that is missing after the store came back from an
 * older copy. An instance that the copy shows in use, and of which it is known
 * that it was leaving or gone, is not used until its entry is written again.
 *
 * Performs no I/O. Not thread-safe.
 */
class ServiceDirectory
{
public:
  /** Grace period after the store is available again. An entry that disappears
   * within it is kept until it ends: instances write their entries again within
   * two seconds. */
  static constexpr std::chrono::milliseconds kExpiryGracePeriod{ 2200 };

  /** Intervals without a report after which the store removes an entry. */
  static constexpr int kReportsToExpiry = 3;

  /** Time for which the departure of an instance is remembered. A copy of the
   * store is seconds old. */
  static constexpr std::chrono::seconds kDepartureMemory{ 60 };

  /** `aReportInterval` is the time between two reports of an instance to the
   * store, above 0. */
  explicit ServiceDirectory(core::NowFunction aNow,
                            std::chrono::milliseconds aReportInterval =
                              std::chrono::milliseconds(1500));

  /** Adds or replaces an instance. */
  void Put(BackendInstance aInstance);

  /** Adds or replaces an instance as a copy of the store shows it, from which
   * the store came back. If the same process is known to be leaving or gone, it
   * is not used until `Put` or until entries of silent instances have expired.
   */
  void PutFromOlderCopy(BackendInstance aInstance);

  /** Removes an instance; if its entry may have expired while the store was
   * unavailable, only marks it for removal. Unknown ids are ignored. */
  void Remove(const std::string& aId);

  /**
   * Records that the store is available again after an outage that is known to
   * have lasted at least `aOutage`. Starts the grace period if entries can have
   * expired in that time; an outage is noticed up to one report interval late.
   */
  void OnStoreRegained(std::chrono::nanoseconds aOutage);

  /** Records that the store came back from an older copy, which may lack
   * entries of instances that run. Starts the grace period. */
  void OnOlderCopy();

  /** Removes marked instances whose grace period is over, and ends the times
   * for which instances of an older copy are not used. Returns whether any was
   * removed. */
  bool RemoveExpiredInstances();

  /** Returns when `RemoveExpiredInstances` next has an effect, if it has one.
   */
  std::optional<core::TimePoint> NextDue() const;

  //============================================================================
  /** Sets the failure domains that are out. */
  void SetDomainsOut(std::set<std::string, std::less<>> aDomains);

  /** Adds or replaces the order of its service. An order that has ended does
   * not become running again, and a verdict that is stored is not replaced by
   * one that is not. */
  void PutRollout(const RolloutOrder& aOrder);

  /** Like `PutRollout`, for an order that an older copy of the store shows or
   * that was written again after the store came back from one. It is the known
   * order if it names the same version, and a known verdict stays. */
  void PutRolloutAgain(const RolloutOrder& aOrder);

  /** Removes the order of a service. */
  void RemoveRollout(const std::string& aService);

  /** Returns the orders by service. */
  const std::map<std::string, RolloutOrder, std::less<>>& Rollouts() const
  {
    return this->rollouts;
  }

  //============================================================================
  /** Returns the instances of a service and whether they may get requests. */
  std::vector<DispatchTarget> TargetsOf(std::string_view aService) const;

  /** Whether an instance of its service is known at its address and may get
   * requests, on trial or not. */
  bool IsUsable(const BackendInstance& aInstance) const;

  /** Returns the number of instances. */
  std::size_t InstanceCount() const { return this->entries.size(); }

  /** Returns the failure domains that are out. */
  const std::set<std::string, std::less<>>& DomainsOut() const
  {
    return this->domainsOut;
  }

private:
  struct Entry
  {
    std::shared_ptr<const BackendInstance> instance;
    /** Time at which the instance is removed, if it is marked for removal. */
    std::optional<core::TimePoint> removeAt;
    /** Time until which the instance is not used, if an older copy shows it. */
    std::optional<core::TimePoint> unusedUntil;
  };

  struct Departure
  {
    core::TimePoint time;
    /** `BackendInstance::startedAt` of the process. */
    std::uint64_t startedAt = 0;
  };

  DispatchTarget TargetOf(const Entry& aEntry) const;
  /** Whether a process is known to be leaving or gone. */
  bool HasDeparted(const BackendInstance& aInstance) const;
  /** Takes over the stored form of a known order. */
  static void ReplaceRollout(RolloutOrder& aKnown, const RolloutOrder& aOrder);

  core::NowFunction now;
  std::chrono::milliseconds reportInterval;
  std::map<std::string, Entry, std::less<>> entries;
  std::map<std::string, Departure, std::less<>> departures;
  std::set<std::string, std::less<>> domainsOut;
  std::map<std::string, RolloutOrder, std::less<>> rollouts;
  /** `RolloutOrder::createdRevision` in the store of orders that were written
   * again; the orders themselves keep the one under which they are known. */
  std::map<std::string, std::uint64_t, std::less<>> writtenAgainAt;
  std::optional<core::TimePoint> storeRegainedAt;
};

} // namespace fireflytrail::routing
