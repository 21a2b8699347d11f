#include "routing/ServiceDirectory.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::routing {

ServiceDirectory::ServiceDirectory(core::NowFunction aNow,
                                   std::chrono::milliseconds aReportInterval)
  : now(std::move(aNow))
  , reportInterval(aReportInterval)
{
  assert(this->now && aReportInterval.count() > 0);
}

void
ServiceDirectory::Put(BackendInstance aInstance)
{
  Entry& entry = this->entries[aInstance.id];
  entry.removeAt.reset();
  entry.instance =
    std::make_shared<const BackendInstance>(std::move(aInstance));
}

void
ServiceDirectory::Remove(const std::string& aId)
{
  const auto found = this->entries.find(aId);
  if (found == this->entries.end()) {
    return;
  }
  const core::TimePoint time = this->now();
  const bool mayHaveExpired =
    this->storeRegainedAt &&
    time - *this->storeRegainedAt < kExpiryGracePeriod &&
    !found->second.instance->isDraining;
  if (!mayHaveExpired) {
    this->entries.erase(found);
  } else if (!found->second.removeAt) {
    found->second.removeAt = *this->storeRegainedAt + kExpiryGracePeriod;
  }
}

void
ServiceDirectory::OnStoreRegained(std::chrono::nanoseconds aOutage)
{
  // The last report before the outage may be one interval old, and the outage
  // was noticed up to one interval after its start.
  if (aOutage >= (kReportsToExpiry - 2) * this->reportInterval) {
    this->storeRegainedAt = this->now();
  }
}

bool
ServiceDirectory::RemoveExpiredInstances()
{
  const core::TimePoint time = this->now();
  return std::erase_if(this->entries, [time](const auto& aEntry) {
           return aEntry.second.removeAt && *aEntry.second.removeAt <= time;
         }) > 0;
}

std::optional<core::TimePoint>
ServiceDirectory::NextDue() const
{
  std::optional<core::TimePoint> due;
  for (const auto& [id, entry] : this->entries) {
    if (entry.removeAt) {
      due = due ? std::min(*due, *entry.removeAt) : *entry.removeAt;
    }
  }
  return due;
}

void
ServiceDirectory::SetDomainsOut(std::set<std::string, std::less<>> aDomains)
{
  this->domainsOut = std::move(aDomains);
}

void
ServiceDirectory::PutRollout(const RolloutOrder& aOrder)
{
  const auto known = this->rollouts.find(aOrder.service);
  const bool isSameOrder =
    known != this->rollouts.end() &&
    known->second.createdRevision == aOrder.createdRevision &&
    known->second.targetVersion == aOrder.targetVersion;
  if (!isSameOrder) {
    RolloutOrder& order = this->rollouts[aOrder.service] = aOrder;
    order.firstSeenAt = this->now();
    return;
  }
  const bool hasStoredVerdict = known->second.hasStoredStatus &&
                                known->second.state != RolloutState::Running;
  if (hasStoredVerdict && !aOrder.hasStoredStatus) {
    return;
  }
  const RolloutState state = known->second.state;
  const core::TimePoint firstSeenAt = known->second.firstSeenAt;
  known->second = aOrder;
  known->second.firstSeenAt = firstSeenAt;
  if (aOrder.state == RolloutState::Running) {
    // This daemon's verdict has not reached the store yet.
    known->second.state = state;
    known->second.hasStoredStatus =
      aOrder.hasStoredStatus && state == RolloutState::Running;
  }
}

void
ServiceDirectory::RemoveRollout(const std::string& aService)
{
  this->rollouts.erase(aService);
}

std::vector<DispatchTarget>
ServiceDirectory::TargetsOf(std::string_view aService) const
{
  std::vector<DispatchTarget> targets;
  for (const auto& [id, entry] : this->entries) {
    if (entry.instance->service == aService) {
      targets.push_back(this->TargetOf(entry.instance));
    }
  }
  return targets;
}

bool
ServiceDirectory::IsUsable(const BackendInstance& aInstance) const
{
  const auto found = this->entries.find(aInstance.id);
  return found != this->entries.end() &&
         found->second.instance->service == aInstance.service &&
         found->second.instance->address == aInstance.address &&
         this->TargetOf(found->second.instance).isUsable;
}

DispatchTarget
ServiceDirectory::TargetOf(
  const std::shared_ptr<const BackendInstance>& aInstance) const
{
  DispatchTarget target{ aInstance,
                         !aInstance->isDraining &&
                           !this->domainsOut.contains(aInstance->failureDomain),
                         false };
  const auto rollout = this->rollouts.find(aInstance->service);
  if (rollout == this->rollouts.end()) {
    return target;
  }
  const bool isNew = aInstance->version == rollout->second.targetVersion;
  switch (rollout->second.state) {
    case RolloutState::Running:
      target.isOnTrial = isNew;
      break;
    case RolloutState::Completed:
      target.isUsable = target.isUsable && isNew;
      break;
    case RolloutState::RolledBack:
      target.isUsable = target.isUsable && !isNew;
      break;
  }
  return target;
}

} // namespace fireflytrail::routing
