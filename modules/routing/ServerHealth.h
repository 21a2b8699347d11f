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
 * Health of one server. Evaluates what the traffic threads recorded in
 * `ServerLoad`, exchanges observations with the other daemons, and sets the
 * limit of this daemon's calls in flight on the server.
 *
 * While a server is cold, all daemons together may have `Concurrency` calls in
 * flight on it, which `SharedLimit` divides among them. The first host in the
 * rendezvous order of the server is its ramp leader; with a concurrency of 1 it
 * is the only host that sends calls. When calls succeed at the current
 * concurrency, the ramp leader raises it and publishes the new value. A server
 * that becomes much slower than the others is also treated as cold: it is
 * limited to one call at a time and regains its traffic by the same ramp.
 *
 * Used by the control thread only.
 */
class ServerHealth
{
public:
  /** Concurrency of a server that is not restricted. */
  static constexpr std::uint32_t kUnrestricted =
    std::numeric_limits<std::uint32_t>::max();

  /** Publishes an observation to the other daemons. */
  using PublishFunction = std::function<void(const HealthObservation&)>;

  /** Statistics of the service, with which the server is compared. */
  struct ServiceStatistics
  {
    /** Median of the servers' smoothed service times; 0 if unknown. */
    std::chrono::nanoseconds serviceTime{ 0 };
    /** Median of the servers' failure ratios. */
    double failureRatio = 0;
    /** Whether this daemon has recently received calls for the service. */
    bool hasDemand = true;
  };

  /**
   * Starts in state `Cold` with a concurrency of 1. A daemon that has just
   * started finds out from the other daemons' gossip records which servers are
   * ready. `aSelf` is the name of this host.
   */
  ServerHealth(std::shared_ptr<ServerLoad> aLoad,
               std::string aSelf,
               core::NowFunction aNow,
               PublishFunction aPublish);

  /**
   * Sets the entry hosts that share the server. While it is uncertain whether a
   * host is alive, the list must include it: a host that is included needlessly
   * only makes the shares smaller.
   */
  void SetHosts(std::vector<std::string> aHosts);

  /** Applies the entry of the server in the host list: whether it is listed,
   * and whether it is listed as leaving. */
  void SetHostListState(bool aListed, bool aLeaving);

  /** Applies an observation that the daemon `aPeer` published. */
  void OnPeerObservation(std::string_view aPeer,
                         const HealthObservation& aObservation);

  /** Must be called when all connections of this daemon to the server broke at
   * the same time. Turns the server cold. */
  void OnConnectionsReset();

  /** Evaluates the load and failures recorded since the last call. Must be
   * called every `kTickInterval`. */
  void Tick(const ServiceStatistics& aStatistics);

  /** Time between two calls of `Tick`. */
  static constexpr std::chrono::milliseconds kTickInterval{ 10 };

  ServerState State() const { return this->state; }

  /** Returns how many calls all daemons together may have in flight on the
   * server; `kUnrestricted` if it is not restricted. */
  std::uint32_t Concurrency() const { return this->concurrency; }

  /** Whether this host is the ramp leader of the server. */
  bool IsRampLeader() const;

private:
  void EnterCold(bool aNotifyPeers);
  void EnterDraining();
  void PublishObservation(HealthObservationKind aKind);
  bool HasReportSince(core::TimePoint aTime) const;
  void RaiseConcurrency();
  void SetConcurrency(std::uint32_t aConcurrency);
  /** Detects a restart, a report that the server is cold, and calls that are
   * slow or lost. */
  void CheckLoad(const ServiceStatistics& aStatistics);
  /** Detects that the server fails most calls, or no longer does. */
  void CheckFailures(const ServiceStatistics& aStatistics);
  /** On the ramp leader of a cold server, raises the concurrency if the server
   * is warm enough. */
  void CheckRamp(const ServiceStatistics& aStatistics);
  /** Records that `aDaemon` suspects the server, and turns the server cold if
   * enough daemons do. */
  void Suspect(std::string_view aDaemon);
  void StartWindow();
  void StartSample();
  std::uint32_t ShareOf(std::uint32_t aConcurrency);
  void ApplyLimit();
  std::size_t RequiredSuspicions() const;

  std::shared_ptr<ServerLoad> load;
  std::string self;
  core::NowFunction now;
  PublishFunction publish;
  std::vector<std::string> hosts;
  std::string rampLeader;
  ServerState state = ServerState::Cold;
  std::uint32_t concurrency = 1;
  bool listed = true;
  bool leaving = false;
  core::TimePoint drainingSince;
  core::TimePoint coldSince;
  /** Start identity in the last load report since the server turned cold; 0
   * before the first report. */
  std::uint64_t startIdentity = 0;
  /** Start of the current time window: when the concurrency was set, or when a
   * call was last lost at a concurrency of 1. */
  core::TimePoint windowStart;
  /** Totals at the start of the current sample of answers. */
  ServerLoad::Totals sampleTotals;
  core::TimePoint sampleStart;
  /** Minimum time at one concurrency before it is raised. */
  std::chrono::nanoseconds holdTime;
  /** Daemons that suspect the server, with the time of their last suspicion. */
  std::map<std::string, core::TimePoint, std::less<>> suspects;
  /** While the server is ready, this daemon sends it no calls until this time,
   * because it suspects the server. */
  core::TimePoint excludedUntil;
  /** Sequence number of the last observation of each daemon. */
  std::map<std::string, std::uint64_t, std::less<>> sequences;
  /** Time of the last message from the ramp leader, of the last query to it, or
   * of the turn to cold, whichever is latest. */
  core::TimePoint leaderContactAt;
  /** Time without a message from the ramp leader after which it is queried;
   * doubles with each query. */
  std::chrono::nanoseconds queryInterval;
  /** This daemon's share of `shareConcurrency`, cached because its computation
   * hashes all hosts. */
  std::uint32_t share = 0;
  std::uint32_t shareConcurrency = 0;
  /** Totals at the last tick. */
  ServerLoad::Totals lastTotals;
};

} // namespace fireflytrail::routing
