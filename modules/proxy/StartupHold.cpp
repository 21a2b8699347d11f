#include "proxy/StartupHold.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::proxy {

namespace {

// Bound of both waits. Hosts that have lost power together have lists of
// different age and cannot tell whether the newest is current; each moment in
// which they wait for each other is lost to their callers.
constexpr std::chrono::milliseconds kLongestWait{ 150 };

} // namespace

StartupHold::StartupHold(core::NowFunction aNow,
                         const std::vector<std::string>& aKinds)
  : now(std::move(aNow))
{
  assert(this->now);
  for (const std::string& kind : aKinds) {
    this->kinds[kind];
  }
}

void
StartupHold::Start()
{
  assert(!this->isStarted);
  this->isStarted = true;
  this->startedAt = this->now();
}

bool
StartupHold::IsHeld(const std::string& aKind) const
{
  return this->isStarted && !this->kinds.at(aKind).isReleased;
}

bool
StartupHold::IsAnyHeld() const
{
  return this->isStarted && !std::ranges::all_of(this->kinds, [](auto& aKind) {
           return aKind.second.isReleased;
         });
}

bool
StartupHold::IsConfirmed(const std::string& aKind) const
{
  return this->kinds.at(aKind).isConfirmed;
}

void
StartupHold::OnConfirmed(const std::string& aKind)
{
  this->kinds.at(aKind).isConfirmed = true;
}

void
StartupHold::OnWatcherState(const std::string& aKind,
                            const std::string& aName,
                            std::uint64_t aRevision,
                            std::optional<std::uint64_t> aDigest)
{
  KindState& kind = this->kinds.at(aKind);
  if (kind.isStated && aRevision < kind.statedRevision) {
    return;
  }
  kind.isStated = true;
  kind.statedRevision = aRevision;
  kind.statedDigest = aDigest;
  this->OnOtherRevision(aKind, aName, aRevision);
}

void
StartupHold::OnOtherRevision(const std::string& aKind,
                             const std::string& aName,
                             std::uint64_t aRevision)
{
  KindState& kind = this->kinds.at(aKind);
  if (kind.source.empty() || aRevision >= kind.highestRevision) {
    kind.highestRevision = aRevision;
    kind.source = aName;
  }
}

const std::string&
StartupHold::SourceOf(const std::string& aKind) const
{
  return this->kinds.at(aKind).source;
}

std::uint64_t
StartupHold::HighestRevision(const std::string& aKind) const
{
  return this->kinds.at(aKind).highestRevision;
}

void
StartupHold::OnNoWatchers()
{
  this->hasNoWatchers = true;
}

bool
StartupHold::TryRelease(const std::string& aKind, const Known& aKnown)
{
  KindState& kind = this->kinds.at(aKind);
  const bool isCurrent = IsCurrent(kind, aKnown);
  kind.isConfirmed = kind.isConfirmed || (kind.isStated && isCurrent);
  if (!this->IsHeld(aKind)) {
    return false;
  }
  const bool isBehind = kind.isStated && !isCurrent;
  const auto waited = this->now() - this->startedAt;
  const auto longest =
    std::min(isBehind ? kBehindWait : kUnansweredWait, kLongestWait);
  kind.isReleased =
    kind.isConfirmed || (!isBehind && this->hasNoWatchers) || waited >= longest;
  return kind.isReleased;
}

bool
StartupHold::IsDifferent(const std::string& aKind, const Known& aKnown) const
{
  const KindState& kind = this->kinds.at(aKind);
  return kind.isStated && kind.statedRevision == aKnown.revision &&
         !IsCurrent(kind, aKnown);
}

bool
StartupHold::IsCurrent(const KindState& aKind, const Known& aKnown)
{
  if (aKnown.revision != aKind.statedRevision) {
    return aKnown.revision > aKind.statedRevision;
  }
  return !aKind.statedDigest || *aKind.statedDigest == aKnown.digest;
}

} // namespace fireflytrail::proxy
