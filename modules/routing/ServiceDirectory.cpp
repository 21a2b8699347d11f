#include "routing/ServiceDirectory.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::routing {

ServiceDirectory::ServiceDirectory(core::NowFunction aNow)
  : now(std::move(aNow))
{
  assert(this->now);
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
  const bool mayHaveLapsed = this->storeReturnedAt &&
                             time - *this->storeReturnedAt < kLapseTime &&
                             !found->second.instance->isDraining;
  if (!mayHaveLapsed) {
    this->entries.erase(found);
  } else if (!found->second.removeAt) {
    found->second.removeAt = *this->storeReturnedAt + kLapseTime;
  }
}

void
ServiceDirectory::ReplaceAll(std::vector<BackendInstance> aInstances)
{
  std::set<std::string> listed;
  for (BackendInstance& instance : aInstances) {
    listed.insert(instance.id);
    this->Put(std::move(instance));
  }
  std::vector<std::string> missing;
  for (const auto& [id, entry] : this->entries) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    this->Remove(id);
  }
}

void
ServiceDirectory::NoteStoreReturn()
{
  this->storeReturnedAt = this->now();
}

bool
ServiceDirectory::RemoveLapsed()
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
  if (known != this->rollouts.end() &&
      known->second.createdRevision == aOrder.createdRevision &&
      known->second.targetVersion == aOrder.targetVersion &&
      known->second.state != RolloutState::Running &&
      aOrder.state == RolloutState::Running) {
    // The own verdict has not reached the store yet.
    known->second.revision = aOrder.revision;
    return;
  }
  this->rollouts[aOrder.service] = aOrder;
}

void
ServiceDirectory::RemoveRollout(const std::string& aService)
{
  this->rollouts.erase(aService);
}

std::vector<DispatchTarget>
ServiceDirectory::TargetsOf(std::string_view aService) const
{
  const auto rollout = this->rollouts.find(aService);
  std::vector<DispatchTarget> targets;
  for (const auto& [id, entry] : this->entries) {
    const BackendInstance& instance = *entry.instance;
    if (instance.service != aService) {
      continue;
    }
    DispatchTarget target{ entry.instance,
                           !instance.isDraining &&
                             !this->domainsOut.contains(instance.failureDomain),
                           false };
    if (rollout != this->rollouts.end()) {
      const bool isNew =
        instance.version == rollout->second.targetVersion;
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
    }
    targets.push_back(std::move(target));
  }
  return targets;
}

} // namespace fireflytrail::routing
