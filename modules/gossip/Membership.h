#pragma once

#include "core/Hooks.h"
#include "gossip/GossipMessage.h"
#include "gossip/GossipSettings.h"
#include "gossip/ListedHost.h"
#include "gossip/MemberState.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::gossip {

class GossipState;
struct Origin;

/** One host as known from gossip, from the host list, or from both. */
struct Member
{
  Peer peer;
  MemberState state = MemberState::Suspect;
  bool listed = false;
};

/**
 * Derives which hosts are alive from heartbeats and the platform's host list.
 * The list may be out of date: a host whose heartbeat increases is never dead
 * because of the list, and a listed host is always included in the host count
 * that budgets are divided by.
 */
class Membership
{
public:
  /** Key of the record that holds a daemon's peer address. */
  static constexpr std::string_view kAddressKey = "addr";
  /** Key of the record that announces a daemon's stop. */
  static constexpr std::string_view kLeavingKey = "leaving";

  /** `aState` must outlive the membership. */
  Membership(GossipState& aState,
             core::NowFunction aNow,
             const GossipSettings& aSettings = {});

  /** Replaces the host list. Not thread-safe, like every method. */
  void SetHostList(std::vector<ListedHost> aHosts);

  /** Returns the state of a host, or nothing if the name is unknown. */
  std::optional<MemberState> StateOf(std::string_view aName) const;

  /** Returns all known hosts, ordered by name, including this one. */
  std::vector<Member> Members() const;

  /** Returns the names of alive and leaving hosts, including this one. */
  std::vector<std::string> AliveNames() const;

  /** Returns a host's name and address if its address is known. */
  std::optional<Peer> PeerOf(std::string_view aName) const;

  /**
   * Returns the number of hosts that budgets are divided by. It is rather too
   * high than too low: listed hosts count regardless of their heartbeats, and
   * hosts that became silent without announcing their stop are counted for
   * another 10 minutes.
   */
  std::size_t ConservativeHostCount() const;

  /**
   * Restarts the age of all heartbeats. Called after a pause of this daemon,
   * during which it could not receive any.
   */
  void ResetHeartbeatAges();

  /** Removes hosts that are dead and no longer included in the host count. */
  void RemoveDead();

private:
  MemberState StateOf(const Origin& aOrigin, const ListedHost* aListed) const;
  const ListedHost* FindListed(std::string_view aName) const;
  std::chrono::nanoseconds HeartbeatAgeOf(const Origin& aOrigin) const;
  bool HasAnnouncedLeaving(const Origin& aOrigin) const;

  GossipState& state;
  core::NowFunction now;
  GossipSettings settings;
  core::TimePoint resumedAt;
  std::vector<ListedHost> hosts;
};

} // namespace fireflytrail::gossip
