#include "store/ObjectReplica.h"

#include "core/Hash.h"
#include "store/StoreRevision.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fireflytrail::store {

namespace {

// Digest of a kind without objects, since 0 stands for an unknown one.
constexpr std::uint64_t kEmptyDigest = 1;

} // namespace

std::vector<ObjectRecord>
ObjectReplica::ReplaceAll(std::string_view aKind,
                          std::uint64_t aRevision,
                          std::vector<ObjectRecord> aObjects)
{
  KindState& kind = this->kinds[std::string(aKind)];
  std::set<std::string, std::less<>> listed;
  for (const ObjectRecord& object : aObjects) {
    listed.insert(object.name);
  }
  std::vector<ObjectRecord> changed =
    ApplyListed(kind, aRevision, std::move(aObjects));
  for (const auto& [name, known] : kind.objects) {
    if (known.isDeleted || listed.contains(name) ||
        known.revision > aRevision) {
      continue;
    }
    ObjectRecord deletion;
    deletion.kind = std::string(aKind);
    deletion.name = name;
    deletion.revision = aRevision;
    deletion.isDeleted = true;
    changed.push_back(std::move(deletion));
  }
  for (const ObjectRecord& object : changed) {
    if (object.isDeleted) {
      ApplyIfNewer(kind, object);
    }
  }
  SetListed(kind, aRevision);
  kind.isPartial = false;
  return changed;
}

std::vector<ObjectRecord>
ObjectReplica::AddListed(std::string_view aKind,
                         std::uint64_t aRevision,
                         std::vector<ObjectRecord> aObjects)
{
  KindState& kind = this->kinds[std::string(aKind)];
  std::vector<ObjectRecord> changed =
    ApplyListed(kind, aRevision, std::move(aObjects));
  if (!kind.isListed) {
    SetListed(kind, aRevision);
    kind.isPartial = true;
  }
  return changed;
}

std::vector<ObjectRecord>
ObjectReplica::ApplyListed(KindState& aKind,
                           std::uint64_t aRevision,
                           std::vector<ObjectRecord> aObjects)
{
  std::vector<ObjectRecord> changed;
  const bool isStale =
    aRevision < std::max(aKind.completeRevision, aKind.readUpTo);
  for (ObjectRecord& object : aObjects) {
    if (isStale && IsKnownToBeGone(aKind, object)) {
      continue;
    }
    if (ApplyIfNewer(aKind, object)) {
      changed.push_back(std::move(object));
    }
  }
  return changed;
}

void
ObjectReplica::SetListed(KindState& aKind, std::uint64_t aRevision)
{
  aKind.isListed = true;
  // A kind without objects has an era, too.
  aKind.completeRevision =
    std::max(aKind.completeRevision, JoinRevision(EraOf(aRevision), 0));
  // Objects newer than the list came from other daemons. They do not show that
  // all changes between the list and them are known.
  for (const auto& [name, known] : aKind.objects) {
    if (known.revision <= aRevision) {
      aKind.completeRevision = std::max(aKind.completeRevision, known.revision);
    }
  }
}

std::vector<ObjectRecord>
ObjectReplica::Apply(std::string_view aKind,
                     std::uint64_t aBase,
                     std::vector<ObjectRecord> aObjects)
{
  KindState& kind = this->kinds[std::string(aKind)];
  const bool isComplete = kind.isListed && aBase <= kind.completeRevision;
  std::vector<ObjectRecord> changed;
  std::erase_if(aObjects, [&kind](const ObjectRecord& aObject) {
    return IsKnownToBeGone(kind, aObject);
  });
  const std::uint64_t era = EraOf(kind.completeRevision);
  for (ObjectRecord& object : aObjects) {
    if (isComplete && EraOf(object.revision) == era) {
      kind.completeRevision = std::max(kind.completeRevision, object.revision);
    }
    if (ApplyIfNewer(kind, object)) {
      changed.push_back(std::move(object));
    }
  }
  return changed;
}

void
ObjectReplica::NoteReadUpTo(std::string_view aKind, std::uint64_t aRevision)
{
  KindState& kind = this->kinds[std::string(aKind)];
  kind.readUpTo = std::max(kind.readUpTo, aRevision);
}

void
ObjectReplica::NoteComplete(std::string_view aKind, std::uint64_t aRevision)
{
  KindState& kind = this->kinds[std::string(aKind)];
  kind.isListed = true;
  kind.completeRevision = std::max(kind.completeRevision, aRevision);
}

std::uint64_t
ObjectReplica::CompleteRevision(std::string_view aKind) const
{
  const auto found = this->kinds.find(aKind);
  return found == this->kinds.end() ? 0 : found->second.completeRevision;
}

std::uint64_t
ObjectReplica::RevisionOf(std::string_view aKind, std::string_view aName) const
{
  const auto kind = this->kinds.find(aKind);
  if (kind == this->kinds.end()) {
    return 0;
  }
  const auto object = kind->second.objects.find(aName);
  return object == kind->second.objects.end() ? 0 : object->second.revision;
}

std::vector<ObjectRecord>
ObjectReplica::Objects(std::string_view aKind) const
{
  std::vector<ObjectRecord> objects;
  const auto found = this->kinds.find(aKind);
  if (found == this->kinds.end()) {
    return objects;
  }
  for (const auto& [name, object] : found->second.objects) {
    if (!object.isDeleted) {
      objects.push_back(object);
    }
  }
  return objects;
}

std::uint64_t
ObjectReplica::Digest(std::string_view aKind) const
{
  const auto kind = this->kinds.find(aKind);
  const std::uint64_t digest =
    kind == this->kinds.end() ? 0 : kind->second.digest;
  return digest == 0 ? kEmptyDigest : digest;
}

bool
ObjectReplica::IsPartial(std::string_view aKind) const
{
  const auto found = this->kinds.find(aKind);
  return found != this->kinds.end() && found->second.isPartial;
}

bool
ObjectReplica::IsListed(std::string_view aKind) const
{
  const auto found = this->kinds.find(aKind);
  return found != this->kinds.end() && found->second.isListed;
}

std::vector<ObjectRecord>
ObjectReplica::ChangesSince(std::string_view aKind,
                            std::uint64_t aRevision) const
{
  std::vector<ObjectRecord> changes;
  const auto found = this->kinds.find(aKind);
  if (found == this->kinds.end()) {
    return changes;
  }
  for (const auto& [name, object] : found->second.objects) {
    if (object.revision > aRevision) {
      changes.push_back(object);
    }
  }
  return changes;
}

bool
ObjectReplica::IsKnownToBeGone(const KindState& aKind,
                               const ObjectRecord& aObject)
{
  return aKind.isListed && !aKind.isPartial && !aObject.isDeleted &&
         aObject.revision <= std::max(aKind.completeRevision, aKind.readUpTo) &&
         !aKind.objects.contains(aObject.name);
}

bool
ObjectReplica::ApplyIfNewer(KindState& aKind, const ObjectRecord& aObject)
{
  const auto [known, isNew] = aKind.objects.try_emplace(aObject.name, aObject);
  if (isNew) {
    aKind.digest ^= DigestOf(aObject);
    return true;
  }
  // If the store does not state the revision of a deletion, the deletion has
  // that of the object's last change.
  const bool isNewer = aObject.revision > known->second.revision ||
                       (aObject.revision == known->second.revision &&
                        aObject.isDeleted && !known->second.isDeleted);
  if (isNewer) {
    aKind.digest ^= DigestOf(known->second) ^ DigestOf(aObject);
    known->second = aObject;
  }
  return isNewer;
}

std::uint64_t
ObjectReplica::DigestOf(const ObjectRecord& aObject)
{
  return aObject.isDeleted ? 0 : core::HashOf(aObject.name, aObject.revision);
}

} // namespace fireflytrail::store
