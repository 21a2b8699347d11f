#include "gossip/Membership.h"

#include "gossip/GossipState.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::gossip {

using namespace std::chrono_literals;

namespace {

// Heartbeat ages, in exchange intervals, above which a host is suspect or dead.
// The lower one exceeds the largest heartbeat age of live hosts that
// bench_gossip reports.
constexpr int kSuspectAfterIntervals = 8;
constexpr int kDeadAfterIntervals = 24;

// A silent host is counted for this time, since it may be partitioned and still
// serving requests while the host list is wrong.
constexpr auto kSilentHostRetention = 10min;

} // namespace

Membership::Membership(GossipState& aState,
                       core::NowFunction aNow,
                       const GossipSettings& aSettings)
  : state(aState)
  , now(std::move(aNow))
  , settings(aSettings)
{
  assert(this->now);
  this->resumedAt = this->now();
}

void
Membership::SetHostList(std::vector<ListedHost> aHosts)
{
  this->hosts = std::move(aHosts);
  std::sort(this->hosts.begin(),
            this->hosts.end(),
            [](const ListedHost& aLeft, const ListedHost& aRight) {
              return aLeft.name < aRight.name;
            });
}

const ListedHost*
Membership::FindListed(std::string_view aName) const
{
  const auto position =
    std::lower_bound(this->hosts.begin(),
                     this->hosts.end(),
                     aName,
                     [](const ListedHost& aHost, std::string_view aSought) {
                       return aHost.name < aSought;
                     });
  return position != this->hosts.end() && position->name == aName ? &*position
                                                                  : nullptr;
}

std::chrono::nanoseconds
Membership::HeartbeatAgeOf(const Origin& aOrigin) const
{
  return this->now() - std::max(aOrigin.lastHeartbeatAt, this->resumedAt);
}

bool
Membership::HasAnnouncedLeaving(const Origin& aOrigin) const
{
  return this->state.FindRecord(aOrigin.id.name, kLeavingKey) != nullptr;
}

MemberState
Membership::StateOf(const Origin& aOrigin, const ListedHost* aListed) const
{
  const bool isLeaving = (aListed != nullptr && aListed->leaving) ||
                         this->HasAnnouncedLeaving(aOrigin);
  const MemberState liveState =
    isLeaving ? MemberState::Leaving : MemberState::Alive;
  if (aOrigin.id == this->state.Self()) {
    return liveState;
  }
  const auto interval =
    this->settings.IntervalFor(this->state.Origins().size());
  const auto age = this->HeartbeatAgeOf(aOrigin);
  if (age > kDeadAfterIntervals * interval) {
    return MemberState::Dead;
  }
  return age > kSuspectAfterIntervals * interval ? MemberState::Suspect
                                                 : liveState;
}

std::optional<MemberState>
Membership::StateOf(std::string_view aName) const
{
  const ListedHost* listed = this->FindListed(aName);
  if (const Origin* origin = this->state.FindOrigin(aName)) {
    return this->StateOf(*origin, listed);
  }
  if (listed == nullptr) {
    return std::nullopt;
  }
  return listed->leaving ? MemberState::Leaving : MemberState::Suspect;
}

std::vector<Member>
Membership::Members() const
{
  std::vector<Member> members;
  members.reserve(this->state.Origins().size() + this->hosts.size());
  for (const auto& [name, origin] : this->state.Origins()) {
    const ListedHost* listed = this->FindListed(name);
    Member member;
    member.peer = this->PeerOf(name).value_or(Peer{ name, "" });
    member.state = this->StateOf(origin, listed);
    member.listed = listed != nullptr;
    members.push_back(std::move(member));
  }
  for (const ListedHost& host : this->hosts) {
    if (this->state.FindOrigin(host.name) == nullptr) {
      members.push_back(
        { { host.name, host.peerAddress },
          host.leaving ? MemberState::Leaving : MemberState::Suspect,
          true });
    }
  }
  std::sort(members.begin(),
            members.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.peer.name < aRight.peer.name;
            });
  return members;
}

std::vector<std::string>
Membership::AliveNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, origin] : this->state.Origins()) {
    const MemberState memberState =
      this->StateOf(origin, this->FindListed(name));
    if (memberState == MemberState::Alive ||
        memberState == MemberState::Leaving) {
      names.push_back(name);
    }
  }
  return names;
}

std::optional<Peer>
Membership::PeerOf(std::string_view aName) const
{
  // The daemon's own record takes precedence, since the host list may be out of
  // date.
  if (const Record* record = this->state.FindRecord(aName, kAddressKey)) {
    return Peer{ std::string(aName), record->value };
  }
  if (const ListedHost* listed = this->FindListed(aName)) {
    return Peer{ listed->name, listed->peerAddress };
  }
  return std::nullopt;
}

std::size_t
Membership::ConservativeHostCount() const
{
  std::size_t count = this->hosts.size();
  for (const auto& [name, origin] : this->state.Origins()) {
    if (this->FindListed(name) != nullptr) {
      continue;
    }
    const MemberState memberState = this->StateOf(origin, nullptr);
    if (memberState != MemberState::Dead ||
        !this->HasAnnouncedLeaving(origin)) {
      ++count;
    }
  }
  return std::max(count,
                  this->state.Origins().size() + this->state.UnresolvedCount());
}

void
Membership::ResetHeartbeatAges()
{
  this->resumedAt = this->now();
}

void
Membership::RemoveDead()
{
  std::vector<std::string> removable;
  for (const auto& [name, origin] : this->state.Origins()) {
    if (this->StateOf(origin, this->FindListed(name)) == MemberState::Dead &&
        (this->HasAnnouncedLeaving(origin) ||
         this->HeartbeatAgeOf(origin) > kSilentHostRetention)) {
      removable.push_back(name);
    }
  }
  for (const std::string& name : removable) {
    this->state.RemoveOrigin(name);
  }
}

} // namespace fireflytrail::gossip
