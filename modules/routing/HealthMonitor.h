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
 * Health of all servers that the daemon knows. Compares each with the others
 * of its service and writes the averages and the shed level into
 * `ServiceLoad`. Belongs to the
 * control thread.
 */
class HealthMonitor
{
public:
  /** `aPublish` passes observations on to the other daemons. */
  HealthMonitor(std::string aSelf,
                core::NowFunction aNow,
                ServerHealth::PublishFunction aPublish);

  HealthMonitor(const HealthMonitor&) = delete;
  HealthMonitor& operator=(const HealthMonitor&) = delete;

  /** Follows the servers of a new table. Those that are new start cold. */
  void SetServers(const RoutingTableBuilder& aBuilder,
                  const RoutingTable& aTable);

  /** Sets the entry hosts that share the servers of a service: the larger
   * plausible list without those that have no calls for it. */
  void SetHosts(const std::string& aService,
                const std::vector<std::string>& aHosts);

  /** Another daemon has published an observation. One of a server that is not
   * known here is ignored. */
  void PeerObserved(std::string_view aPeer,
                    const HealthObservation& aObservation);

  /** Evaluates all servers. To be called every
   * `ServerHealth::kTickInterval`. */
  void Tick();

  /** A service without calls is evaluated at each so many ticks only. */
  static constexpr std::uint64_t kIdleTicks = 10;

  /** Returns the health of a server, or nothing. */
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
    /** Calls wanted at the last tick, and when there was one last. */
    std::uint64_t demand = 0;
    core::TimePoint demandAt;
    ShedController shedding;
    /** Totals of all servers at the last tick, and the smoothed share of
     * refusals since. */
    std::uint64_t attempts = 0;
    std::uint64_t refused = 0;
    double refusedRatio = 0;
  };

  std::string self;
  core::NowFunction now;
  ServerHealth::PublishFunction publish;
  std::uint64_t sequence;
  std::uint64_t tickCount = 0;
  /** Entry hosts by service. */
  std::map<std::string, std::vector<std::string>> hosts;
  std::map<std::string, Entry, std::less<>> entries;
  std::map<std::string, Service, std::less<>> services;
};

} // namespace fireflytrail::routing
