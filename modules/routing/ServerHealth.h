#pragma once

#include "core/Hooks.h"
#include "routing/HealthObservation.h"
#include "routing/ServerLoad.h"
#include "routing/ServerState.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/**
 * Health of one server. Watches what the traffic threads recorded in
 * `ServerLoad`, exchanges observations with the other daemons and sets this
 * daemon's limit.
 *
 * While a server is cold, all daemons together may have `Concurrency` calls in
 * flight on it, divided by `SharedLimit`. With a concurrency of 1 exactly one
 * host sends: the first in the rendezvous order of the server, which leads the
 * ramp. It raises the concurrency when calls at the present one went well, and
 * tells the others. A server that slows down far beyond the others is treated
 * in the same way: it keeps a trickle and gets its share back by the same ramp.
 *
 * Belongs to the control thread.
 */
class ServerHealth
{
public:
  /** Concurrency of a server that is not restricted. */
  static constexpr std::uint32_t kFull =
    std::numeric_limits<std::uint32_t>::max();

  /** Passes an observation on to the other daemons. */
  using PublishFunction = std::function<void(const HealthObservation&)>;

  /** Measured values of the service that the server is compared with. */
  struct Peers
  {
    /** Median of the servers' smoothed service times; 0 if not known. */
    std::chrono::nanoseconds serviceTime{ 0 };
    /** Median of the servers' failure ratios. */
    double failureRatio = 0;
    /** Whether callers want the service of this daemon. */
    bool hasDemand = true;
  };

  /**
   * Makes the health of a server in state `Cold` with a concurrency of 1. A
   * daemon that starts learns from the others' records which are ready.
   */
  ServerHealth(std::shared_ptr<ServerLoad> aLoad,
               std::string aSelf,
               core::NowFunction aNow,
               PublishFunction aPublish);

  /**
   * Sets the entry hosts: the larger plausible list, since a host that is
   * counted without need only makes the shares smaller.
   */
  void SetHosts(std::vector<std::string> aHosts);

  /** The host list shows the server as live, as leaving or not at all. */
  void SetListed(bool aListed, bool aLeaving);

  /** Another daemon has published an observation. */
  void PeerObserved(std::string_view aPeer,
                    const HealthObservation& aObservation);

  /** All connections of this daemon to the server broke at once. */
  void ConnectionsReset();

  /** Evaluates what has happened since the last call. To be called every
   * `kTickInterval`. */
  void Tick(const Peers& aPeers);

  /** Time between two calls of `Tick`. */
  static constexpr std::chrono::milliseconds kTickInterval{ 10 };

  /** Returns the state. */
  ServerState State() const { return this->state; }

  /** Returns the calls in flight that all daemons together may have. */
  std::uint32_t Concurrency() const { return this->concurrency; }

  /** Whether this host leads the ramp of the server. */
  bool Leads() const;

private:
  void TurnCold(bool aStrong);
  void TurnDraining();
  void PublishEvidence(HealthEvidence aEvidence);
  bool ReportedSince(core::TimePoint aTime) const;
  void Raise();
  void SetConcurrency(std::uint32_t aConcurrency);
  void CheckLoad(const Peers& aPeers);
  void CheckFailures(const Peers& aPeers);
  void CheckRamp(const Peers& aPeers);
  void Suspect(std::string_view aDaemon);
  void StartWindow();
  void StartSample();
  std::uint32_t ShareOf(std::uint32_t aConcurrency);
  void ApplyLimit();
  std::size_t SuspectsNeeded() const;

  std::shared_ptr<ServerLoad> load;
  std::string self;
  core::NowFunction now;
  PublishFunction publish;
  std::vector<std::string> hosts;
  std::string leader;
  ServerState state = ServerState::Cold;
  std::uint32_t concurrency = 1;
  bool listed = true;
  bool leaving = false;
  core::TimePoint drainingSince;
  core::TimePoint coldSince;
  /** Start identity in the last report since the server turned cold; 0 before
   * the first one. */
  std::uint64_t start = 0;
  /** Start of the current concurrency. */
  core::TimePoint windowStart;
  /** Totals at the start of the current sample of answers. */
  ServerLoad::Totals sampleTotals;
  core::TimePoint sampleStart;
  /** Time to stay at the current concurrency at least. */
  std::chrono::nanoseconds hold;
  /** Daemons that suspect the server, with the time of the last suspicion. */
  std::map<std::string, core::TimePoint, std::less<>> suspects;
  core::TimePoint suspectedUntil;
  /** Sequence of the last observation of each daemon. */
  std::map<std::string, std::uint64_t, std::less<>> sequences;
  /** Time of the last word of the leader or of the last query. */
  core::TimePoint leaderHeardAt;
  /** Time until the leader is asked again; doubles with each query. */
  std::chrono::nanoseconds queryInterval;
  /** This daemon's share of `shareConcurrency`, kept because its computation
   * hashes all hosts. */
  std::uint32_t share = 0;
  std::uint32_t shareConcurrency = 0;
  /** Totals at the last tick. */
  ServerLoad::Totals lastTotals;
};

} // namespace fireflytrail::routing
