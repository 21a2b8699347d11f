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
 * What is believed of the instances, the failure domains that are out and the
 * rollouts, and which instances may get requests because of it.
 *
 * Entries of instances can lapse while the store is away although the instance
 * lives. An entry that disappears shortly after the store's return is therefore
 * kept for some time, in which its instance can write it again.
 *
 * Performs no I/O. Not thread-safe.
 */
class ServiceDirectory
{
public:
  /** Time after the store's return in which disappeared entries are kept, and
   * for which they are: instances write them again within two seconds. */
  static constexpr std::chrono::milliseconds kLapseTime{ 2200 };

  explicit ServiceDirectory(core::NowFunction aNow);

  /** Adds or replaces an instance. */
  void Put(BackendInstance aInstance);

  /** Removes an instance, or marks it as lapsed. Unknown ids are ignored. */
  void Remove(const std::string& aId);

  /** Notes that the store answers again. */
  void NoteStoreReturn();

  /** Removes lapsed instances whose time is over. Returns whether any was. */
  bool RemoveLapsed();

  /** Returns when `RemoveLapsed` has something to do, if ever. */
  std::optional<core::TimePoint> NextDue() const;

  //============================================================================
  /** Sets the failure domains that are out. */
  void SetDomainsOut(std::set<std::string, std::less<>> aDomains);

  /** Adds or replaces the order of its service. An order that has ended does
   * not become running again. */
  void PutRollout(const RolloutOrder& aOrder);

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

  /** Whether an instance is known and may get requests, on trial or not. */
  bool IsUsable(const BackendInstance& aInstance) const;

  /** Returns the number of instances. */
  std::size_t InstanceCount() const { return this->entries.size(); }

  /** Returns the failure domains that are out. */
  const std::set<std::string, std::less<>>& DomainsOut() const
  {
    return this->domainsOut;
  }

private:
  DispatchTarget TargetOf(
    const std::shared_ptr<const BackendInstance>& aInstance) const;

  struct Entry
  {
    std::shared_ptr<const BackendInstance> instance;
    /** When a lapsed entry is removed. */
    std::optional<core::TimePoint> removeAt;
  };

  core::NowFunction now;
  std::map<std::string, Entry, std::less<>> entries;
  std::set<std::string, std::less<>> domainsOut;
  std::map<std::string, RolloutOrder, std::less<>> rollouts;
  std::optional<core::TimePoint> storeReturnedAt;
};

} // namespace fireflytrail::routing
