#include "calls/CrashGuard.h"

#include "core/Hash.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace fireflytrail::calls {

namespace {

std::chrono::milliseconds
AgeOf(core::TimePoint aDiedAt, core::TimePoint aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aDiedAt);
}

} // namespace

CrashGuard::CrashGuard(core::NowFunction aNow, ChangedFunction aOnChanged)
  : now(std::move(aNow))
  , onChanged(std::move(aOnChanged))
{
  assert(this->now);
}

std::uint64_t
CrashGuard::DeathIdOf(std::string_view aServer,
                      std::uint64_t aServerStart,
                      std::uint64_t aUnique)
{
  const std::uint64_t identity = aServerStart != 0 ? aServerStart : aUnique;
  const std::uint64_t death = core::HashOf(aServer, identity);
  // Zero is reserved for "no death"; see `AttemptResult::death`.
  return death != 0 ? death : 1;
}

void
CrashGuard::RecordDeath(std::uint64_t aDigest, std::uint64_t aDeath)
{
  assert(aDeath != 0);
  this->Merge({ aDigest, aDeath, false, std::chrono::milliseconds(0) });
}

void
CrashGuard::RecordCompletion(std::uint64_t aDigest)
{
  if (this->isEmpty.load(std::memory_order_acquire)) {
    return;
  }
  std::vector<CrashEntry> clearedEntries;
  {
    const std::lock_guard lock(this->mutex);
    const core::TimePoint current = this->now();
    for (auto found = this->records.lower_bound({ aDigest, 0 });
         found != this->records.end() && found->first.first == aDigest;
         ++found) {
      if (!found->second.cleared) {
        found->second.cleared = true;
        clearedEntries.push_back({ aDigest,
                                   found->first.second,
                                   true,
                                   AgeOf(found->second.diedAt, current) });
      }
    }
  }
  if (this->onChanged) {
    std::ranges::for_each(clearedEntries, this->onChanged);
  }
}

bool
CrashGuard::IsBlocked(std::uint64_t aDigest) const
{
  return this->DeathCount(aDigest) >= kDeathsToBlock;
}

std::size_t
CrashGuard::DeathCount(std::uint64_t aDigest) const
{
  if (this->isEmpty.load(std::memory_order_acquire)) {
    return 0;
  }
  const std::lock_guard lock(this->mutex);
  return this->CountAttributed(aDigest);
}

void
CrashGuard::Merge(const CrashEntry& aEntry)
{
  if (aEntry.age >= kLifetime) {
    return;
  }
  bool isNew = false;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->records.find({ aEntry.digest, aEntry.death });
    isNew = found == this->records.end() ||
            (aEntry.cleared && !found->second.cleared);
    this->Insert(aEntry);
    this->EvictEntries();
  }
  if (isNew && this->onChanged) {
    this->onChanged(aEntry);
  }
}

std::vector<CrashEntry>
CrashGuard::Entries() const
{
  const std::lock_guard lock(this->mutex);
  const core::TimePoint current = this->now();
  std::vector<CrashEntry> entries;
  entries.reserve(this->records.size());
  for (const auto& [key, record] : this->records) {
    entries.push_back(
      { key.first, key.second, record.cleared, AgeOf(record.diedAt, current) });
  }
  return entries;
}

std::size_t
CrashGuard::CountUncleared(std::uint64_t aDigest) const
{
  const core::TimePoint current = this->now();
  std::size_t count = 0;
  for (auto found = this->records.lower_bound({ aDigest, 0 });
       found != this->records.end() && found->first.first == aDigest;
       ++found) {
    const Record& record = found->second;
    count += !record.cleared && current - record.diedAt < kLifetime ? 1 : 0;
  }
  return count;
}

std::size_t
CrashGuard::CountAttributed(std::uint64_t aDigest) const
{
  const std::size_t uncleared = this->CountUncleared(aDigest);
  if (uncleared < kDeathsToBlock) {
    return uncleared;
  }
  std::size_t count = 0;
  for (auto found = this->records.lower_bound({ aDigest, 0 });
       found != this->records.end() && found->first.first == aDigest;
       ++found) {
    if (found->second.cleared) {
      continue;
    }
    const std::uint64_t death = found->first.second;
    bool attributedToOther = false;
    for (auto other = this->digestsByDeath.lower_bound({ death, 0 });
         other != this->digestsByDeath.end() && other->first == death &&
         !attributedToOther;
         ++other) {
      attributedToOther = other->second != aDigest &&
                          this->CountUncleared(other->second) > uncleared;
    }
    count += attributedToOther ? 0 : 1;
  }
  return count;
}

void
CrashGuard::Insert(const CrashEntry& aEntry)
{
  const core::TimePoint diedAt = this->now() - aEntry.age;
  const auto [found, inserted] = this->records.try_emplace(
    { aEntry.digest, aEntry.death }, Record{ aEntry.cleared, diedAt });
  if (!inserted) {
    found->second.cleared = found->second.cleared || aEntry.cleared;
    found->second.diedAt = std::min(found->second.diedAt, diedAt);
  }
  this->digestsByDeath.insert({ aEntry.death, aEntry.digest });
  this->isEmpty.store(false, std::memory_order_release);
}

void
CrashGuard::EvictEntries()
{
  const core::TimePoint current = this->now();
  const auto remove = [this](auto aFound) {
    this->digestsByDeath.erase({ aFound->first.second, aFound->first.first });
    return this->records.erase(aFound);
  };
  for (auto found = this->records.begin(); found != this->records.end();) {
    found = current - found->second.diedAt >= kLifetime ? remove(found)
                                                        : std::next(found);
  }
  while (this->records.size() > kMaxEntries) {
    remove(std::ranges::min_element(this->records, {}, [](const auto& aRecord) {
      return aRecord.second.diedAt;
    }));
  }
  this->isEmpty.store(this->records.empty(), std::memory_order_release);
}

} // namespace fireflytrail::calls
