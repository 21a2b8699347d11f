#pragma once

#include "core/Hooks.h"
#include "routing/RoutingTable.h"
#include "routing/RoutingTableBuilder.h"
#include "routing/ServerHealth.h"
#include "routing/ShedController.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/**
 * Tracks the health of all servers known to this daemon. Compares each server
 * with the other servers of its service, and writes the statistics of the
 * service, its shed level and its in-flight bound into `ServiceLoad`. Used by
 * the control thread only.
 */
class HealthMonitor
{
public:
  /** `aSelf` is the name of this host; `aPublish` publishes observations to the
   * other daemons. */
  HealthMonitor(std::string aSelf,
                core::NowFunction aNow,
                ServerHealth::PublishFunction aPublish);

  HealthMonitor(const HealthMonitor&) = delete;
  HealthMonitor& operator=(const HealthMonitor&) = delete;

  /** Updates the set of servers and services from a new routing table. Added
   * servers start cold; existing ones keep their state. */
  void SetServers(const RoutingTableBuilder& aBuilder,
                  const RoutingTable& aTable);

  /** Sets the entry hosts that share the servers of a service. While it is
   * uncertain whether a host is alive, the list must include it; hosts that
   * have no calls for the service are left out. */
  void SetHosts(const std::string& aService,
                const std::vector<std::string>& aHosts);

  /** Applies an observation that the daemon `aPeer` published. Ignored if the
   * server is not known here. */
  void OnPeerObservation(std::string_view aPeer,
                         const HealthObservation& aObservation);

  /** Evaluates all servers. Must be called every `ServerHealth::kTickInterval`.
   */
  void Tick();

  /** A service without calls is evaluated only once per this many ticks. */
  static constexpr std::uint64_t kIdleEvaluationTicks = 10;

  /** Returns the health of a server, or null if the server is not known. */
  ServerHealth* Find(std::string_view aServerId);

private:
  struct Entry
  {
    std::shared_ptr<ServerLoad> load;
    std::unique_ptr<ServerHealth> health;
  };

  struct Service
  {
    std::shared_ptr<ServiceLoad> load;
    std::vector<std::string> servers;
    /** `ServiceLoad::Demand` at the last tick, and when it last changed. */
    std::uint64_t demand = 0;
    core::TimePoint lastDemandAt;
    ShedController shedding;
    /** Total attempts and refusals over all servers at the last tick, and the
     * smoothed share of attempts that were refused. */
    std::uint64_t attempts = 0;
    std::uint64_t refused = 0;
    double refusedRatio = 0;
  };

  std::string self;
  core::NowFunction now;
  ServerHealth::PublishFunction publish;
  std::uint64_t sequence;
  std::uint64_t tickCount = 0;
  /** Entry hosts that share the servers of a service, by service. */
  std::map<std::string, std::vector<std::string>> hosts;
  std::map<std::string, Entry, std::less<>> entries;
  std::map<std::string, Service, std::less<>> services;
};

} // namespace fireflytrail::routing
