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
 * Tracks which hosts have calls for which service. Only one host sends the
 * first calls to a cold server; if that host had no calls for the service, the
 * server would stay cold indefinitely and the other hosts could not use it.
 * Hosts without calls therefore announce that they are idle for a service and
 * are excluded when the concurrency of its cold servers is divided.
 *
 * A host that becomes active announces it immediately and counts itself as
 * active only after `kAnnouncementDelay`, so that the other hosts have reduced
 * their shares by then. Used by the control thread only.
 */
class ServiceActivity
{
public:
  /** Time without a call after which a host is idle for a service. */
  static constexpr std::chrono::milliseconds kIdleTimeout{ 2000 };
  /** Delay between the announcement that this host is active for a service and
   * its use of the service's cold servers. Several times the time that an
   * urgent gossip record takes to reach all hosts. */
  static constexpr std::chrono::milliseconds kAnnouncementDelay{ 100 };

  /** Called with all services that this host is idle for, after each change. */
  using PublishFunction = std::function<void(const std::vector<std::string>&)>;

  ServiceActivity(std::string aSelf,
                  core::NowFunction aNow,
                  PublishFunction aPublish);

  /** Updates the demand counter of a service; see `ServiceLoad::Demand`. Must
   * be called several times a second for each service. */
  void UpdateCallCount(const std::string& aService, std::uint64_t aCalls);

  /** Replaces the set of services that the host `aHost` is idle for. */
  void SetIdleServices(const std::string& aHost,
                       std::vector<std::string> aServices);

  /**
   * Returns the hosts that share the cold servers of a service: those of
   * `aHosts` that are not idle for it, or all of `aHosts` if all are idle.
   */
  std::vector<std::string> ActiveHosts(
    const std::string& aService,
    const std::vector<std::string>& aHosts) const;

private:
  struct OwnActivity
  {
    std::uint64_t calls = 0;
    core::TimePoint lastCall;
    core::TimePoint activeFrom;
    bool isIdle = false;
  };

  void PublishIdleServices();
  bool IsIdle(const std::string& aHost, const std::string& aService) const;

  std::string self;
  core::NowFunction now;
  PublishFunction publish;
  std::map<std::string, OwnActivity> ownServices;
  std::map<std::string, std::set<std::string>> idleServicesByHost;
};

} // namespace fireflytrail::routing
