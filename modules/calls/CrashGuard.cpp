#include "calls/CrashGuard.h"

#include "core/Hash.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace fireflytrail::calls {

namespace {

std::chrono::milliseconds
AgeOf(core::TimePoint aSince, core::TimePoint aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aSince);
}

} // namespace

CrashGuard::CrashGuard(core::NowFunction aNow, ChangedFunction aChanged)
  : now(std::move(aNow))
  , changed(std::move(aChanged))
{
  assert(this->now);
}

std::uint64_t
CrashGuard::DeathOf(std::string_view aServer,
                    std::uint64_t aServerStart,
                    std::uint64_t aUnique)
{
  const std::uint64_t identity = aServerStart != 0 ? aServerStart : aUnique;
  const std::uint64_t death = core::HashOf(aServer, identity);
  // Zero means that no server died.
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
                                   AgeOf(found->second.since, current) });
      }
    }
  }
  if (this->changed) {
    std::ranges::for_each(clearedEntries, this->changed);
  }
}

bool
CrashGuard::IsBlocked(std::uint64_t aDigest) const
{
  return this->DeathsOf(aDigest) >= kDeathsToBlock;
}

std::size_t
CrashGuard::DeathsOf(std::uint64_t aDigest) const
{
  if (this->isEmpty.load(std::memory_order_acquire)) {
    return 0;
  }
  const std::lock_guard lock(this->mutex);
  return this->CountUnexplained(aDigest);
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
    this->RemoveOld();
  }
  if (isNew && this->changed) {
    this->changed(aEntry);
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
      { key.first, key.second, record.cleared, AgeOf(record.since, current) });
  }
  return entries;
}

std::size_t
CrashGuard::CountRaw(std::uint64_t aDigest) const
{
  const core::TimePoint current = this->now();
  std::size_t count = 0;
  for (auto found = this->records.lower_bound({ aDigest, 0 });
       found != this->records.end() && found->first.first == aDigest;
       ++found) {
    const Record& record = found->second;
    count += !record.cleared && current - record.since < kLifetime ? 1 : 0;
  }
  return count;
}

std::size_t
CrashGuard::CountUnexplained(std::uint64_t aDigest) const
{
  const std::size_t raw = this->CountRaw(aDigest);
  if (raw < kDeathsToBlock) {
    return raw;
  }
  std::size_t count = 0;
  for (auto found = this->records.lower_bound({ aDigest, 0 });
       found != this->records.end() && found->first.first == aDigest;
       ++found) {
    if (found->second.cleared) {
      continue;
    }
    const std::uint64_t death = found->first.second;
    bool explained = false;
    for (auto beside = this->byDeath.lower_bound({ death, 0 });
         beside != this->byDeath.end() && beside->first == death && !explained;
         ++beside) {
      explained =
        beside->second != aDigest && this->CountRaw(beside->second) > raw;
    }
    count += explained ? 0 : 1;
  }
  return count;
}

void
CrashGuard::Insert(const CrashEntry& aEntry)
{
  const core::TimePoint since = this->now() - aEntry.age;
  const auto [found, inserted] = this->records.try_emplace(
    { aEntry.digest, aEntry.death }, Record{ aEntry.cleared, since });
  if (!inserted) {
    found->second.cleared = found->second.cleared || aEntry.cleared;
    found->second.since = std::min(found->second.since, since);
  }
  this->byDeath.insert({ aEntry.death, aEntry.digest });
  this->isEmpty.store(false, std::memory_order_release);
}

void
CrashGuard::RemoveOld()
{
  const core::TimePoint current = this->now();
  const auto remove = [this](auto aFound) {
    this->byDeath.erase({ aFound->first.second, aFound->first.first });
    return this->records.erase(aFound);
  };
  for (auto found = this->records.begin(); found != this->records.end();) {
    found = current - found->second.since >= kLifetime ? remove(found)
                                                       : std::next(found);
  }
  while (this->records.size() > kMostEntries) {
    remove(std::ranges::min_element(this->records, {}, [](const auto& aRecord) {
      return aRecord.second.since;
    }));
  }
  this->isEmpty.store(this->records.empty(), std::memory_order_release);
}

} // namespace fireflytrail::calls
