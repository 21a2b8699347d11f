#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/**
 * Which hosts have calls for which service. The first calls to a cold server
 * come from one host only; if that host had no calls for the service, the
 * server would stay cold for ever and the other hosts could not use it. Hosts
 * without calls therefore announce that they are idle for a service and are
 * left out when the concurrency of its cold servers is divided.
 *
 * A host that becomes active announces it at once and waits for
 * `kAnnounceTime` before it counts itself, so that the others have made room.
 * Belongs to the control thread.
 */
class ServiceActivity
{
public:
  /** Time without a call after which a host is idle for a service. */
  static constexpr std::chrono::milliseconds kIdleTime{ 2000 };
  /** Several times what an urgent gossip record takes to reach all hosts. */
  static constexpr std::chrono::milliseconds kAnnounceTime{ 100 };

  /** Receives the services that this host is idle for, after each change. */
  using PublishFunction = std::function<void(const std::vector<std::string>&)>;

  ServiceActivity(std::string aSelf,
                  core::NowFunction aNow,
                  PublishFunction aPublish);

  /** Tells the number of calls for a service since the start; to be called
   * several times a second for each service. */
  void SetDemand(const std::string& aService, std::uint64_t aCalls);

  /** Takes the services that another host is idle for. */
  void SetIdle(const std::string& aHost, std::vector<std::string> aServices);

  /**
   * Returns the hosts that share the cold servers of a service: those of the
   * list that are not idle for it. If all are idle, all are returned.
   */
  std::vector<std::string> ActiveHosts(
    const std::string& aService,
    const std::vector<std::string>& aHosts) const;

private:
  struct Own
  {
    std::uint64_t calls = 0;
    core::TimePoint lastCall;
    core::TimePoint activeFrom;
    bool isIdle = false;
  };

  void Announce();
  bool IsIdle(const std::string& aHost, const std::string& aService) const;

  std::string self;
  core::NowFunction now;
  PublishFunction publish;
  std::map<std::string, Own> own;
  std::map<std::string, std::set<std::string>> others;
};

} // namespace fireflytrail::routing
