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
 * The list lags, so it never makes a host dead whose heartbeat grows, and a
 * listed host is never left out of the count that divides budgets.
 */
class Membership
{
public:
  /** Key of the record that holds a daemon's peer address. */
  static constexpr std::string_view kAddressKey = "addr";
  /** Key of the record by which a daemon announces its stop. */
  static constexpr std::string_view kLeavingKey = "leaving";

  /** `aState` must outlive the membership. */
  Membership(GossipState& aState,
             core::NowFunction aNow,
             const GossipSettings& aSettings = {});

  /** Takes the newest host list. Not thread-safe, like every method. */
  void SetHostList(std::vector<ListedHost> aHosts);

  /** Returns the state of a host, or nothing if the name is unknown. */
  std::optional<MemberState> StateOf(std::string_view aName) const;

  /** Returns all known hosts by name, the own one included. */
  std::vector<Member> Members() const;

  /** Returns the names of alive and leaving hosts, the own one included. */
  std::vector<std::string> BelievedAlive() const;

  /** Returns a host's peer if its address is known. */
  std::optional<Peer> PeerOf(std::string_view aName) const;

  /**
   * Returns the number of hosts to divide budgets by. It errs to the larger
   * side: listed hosts count whatever their heartbeat says, and hosts that
   * went silent without announcing their stop count for 10 minutes more.
   */
  std::size_t PlausibleHostCount() const;

  /**
   * Restarts the age of all heartbeats after a pause of this daemon, whose
   * silence is not the others' fault.
   */
  void ResetHeartbeatAges();

  /** Forgets hosts that are dead and no longer count. */
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
