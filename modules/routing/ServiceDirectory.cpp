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
  this->departures.erase(aInstance.id);
  Entry& entry = this->entries[aInstance.id];
  entry.removeAt.reset();
  entry.unusedUntil.reset();
  entry.instance =
    std::make_shared<const BackendInstance>(std::move(aInstance));
}

void
ServiceDirectory::PutFromOlderCopy(BackendInstance aInstance)
{
  if (!this->HasDeparted(aInstance)) {
    this->Put(std::move(aInstance));
    return;
  }
  Entry& entry = this->entries[aInstance.id];
  entry.removeAt.reset();
  entry.unusedUntil =
    this->now() + kExpiryGracePeriod + kReportsToExpiry * this->reportInterval;
  entry.instance =
    std::make_shared<const BackendInstance>(std::move(aInstance));
}

bool
ServiceDirectory::HasDeparted(const BackendInstance& aInstance) const
{
  const auto known = this->entries.find(aInstance.id);
  if (known != this->entries.end()) {
    const Entry& entry = known->second;
    return (entry.instance->isDraining || entry.unusedUntil) &&
           entry.instance->startedAt == aInstance.startedAt;
  }
  const auto departure = this->departures.find(aInstance.id);
  return departure != this->departures.end() &&
         departure->second.startedAt == aInstance.startedAt &&
         this->now() - departure->second.time <= kDepartureMemory;
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
    std::erase_if(this->departures, [time](const auto& aDeparture) {
      return time - aDeparture.second.time > kDepartureMemory;
    });
    this->departures[aId] = { time, found->second.instance->startedAt };
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

void
ServiceDirectory::OnOlderCopy()
{
  this->storeRegainedAt = this->now();
}

bool
ServiceDirectory::RemoveExpiredInstances()
{
  const core::TimePoint time = this->now();
  for (auto& [id, entry] : this->entries) {
    if (entry.unusedUntil && *entry.unusedUntil <= time) {
      entry.unusedUntil.reset();
    }
  }
  return std::erase_if(this->entries, [time](const auto& aEntry) {
           return aEntry.second.removeAt && *aEntry.second.removeAt <= time;
         }) > 0;
}

std::optional<core::TimePoint>
ServiceDirectory::NextDue() const
{
  std::optional<core::TimePoint> due;
  for (const auto& [id, entry] : this->entries) {
    for (const auto& time : { entry.removeAt, entry.unusedUntil }) {
      if (time) {
        due = due ? std::min(*due, *time) : *time;
      }
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
  const auto again = this->writtenAgainAt.find(aOrder.service);
  const bool isSameOrder =
    known != this->rollouts.end() &&
    (known->second.createdRevision == aOrder.createdRevision ||
     (again != this->writtenAgainAt.end() &&
      again->second == aOrder.createdRevision)) &&
    known->second.targetVersion == aOrder.targetVersion;
  if (!isSameOrder) {
    RolloutOrder& order = this->rollouts[aOrder.service] = aOrder;
    order.firstSeenAt = this->now();
    this->writtenAgainAt.erase(aOrder.service);
    return;
  }
  const bool hasStoredVerdict = known->second.hasStoredStatus &&
                                known->second.state != RolloutState::Running;
  if (hasStoredVerdict && !aOrder.hasStoredStatus) {
    return;
  }
  ReplaceRollout(known->second, aOrder);
}

void
ServiceDirectory::PutRolloutAgain(const RolloutOrder& aOrder)
{
  const auto known = this->rollouts.find(aOrder.service);
  if (known == this->rollouts.end() ||
      known->second.targetVersion != aOrder.targetVersion) {
    this->PutRollout(aOrder);
    return;
  }
  this->writtenAgainAt[aOrder.service] = aOrder.createdRevision;
  RolloutOrder& order = known->second;
  ReplaceRollout(order, aOrder);
  order.isVerdictLost =
    order.state != RolloutState::Running && !order.hasStoredStatus;
}

void
ServiceDirectory::ReplaceRollout(RolloutOrder& aKnown,
                                 const RolloutOrder& aOrder)
{
  const RolloutOrder before = std::exchange(aKnown, aOrder);
  aKnown.firstSeenAt = before.firstSeenAt;
  aKnown.createdRevision = before.createdRevision;
  if (aOrder.state == RolloutState::Running) {
    // This daemon's verdict has not reached the store yet, or was lost there.
    aKnown.state = before.state;
    aKnown.hasStoredStatus =
      aOrder.hasStoredStatus && before.state == RolloutState::Running;
    aKnown.isVerdictLost = before.isVerdictLost;
  }
}

void
ServiceDirectory::RemoveRollout(const std::string& aService)
{
  this->rollouts.erase(aService);
  this->writtenAgainAt.erase(aService);
}

std::vector<DispatchTarget>
ServiceDirectory::TargetsOf(std::string_view aService) const
{
  std::vector<DispatchTarget> targets;
  for (const auto& [id, entry] : this->entries) {
    if (entry.instance->service == aService) {
      targets.push_back(this->TargetOf(entry));
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
         this->TargetOf(found->second).isUsable;
}

DispatchTarget
ServiceDirectory::TargetOf(const Entry& aEntry) const
{
  const auto& instance = aEntry.instance;
  DispatchTarget target{ instance,
                         !instance->isDraining && !aEntry.unusedUntil &&
                           !this->domainsOut.contains(instance->failureDomain),
                         false };
  const auto rollout = this->rollouts.find(instance->service);
  if (rollout == this->rollouts.end()) {
    return target;
  }
  const bool isNew = instance->version == rollout->second.targetVersion;
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
