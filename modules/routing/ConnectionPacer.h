#pragma once

#include "core/Hooks.h"
#include "routing/ServerLoad.h"
#include "routing/ServerState.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fireflytrail::routing {

/**
 * Bounds the connections of all hosts together to one server. Half of the
 * bound is divided between the hosts, so that it holds while each host knows
 * only half of the others. Connections to a cold server are paced, since each
 * costs it slot time. Belongs to the control thread.
 */
class ConnectionPacer
{
public:
  /** `aTotal` connections for all hosts; each costs the server `aCost`. */
  ConnectionPacer(std::shared_ptr<ServerLoad> aLoad,
                  std::uint32_t aTotal,
                  std::chrono::microseconds aCost,
                  std::string aSelf,
                  core::NowFunction aNow);

  /** Sets the hosts: the larger plausible list. */
  void SetHosts(std::vector<std::string> aHosts);

  /**
   * Returns whether a connection may be opened now. If so, it is counted in
   * `ServerLoad::Connections`; the owner of the connection counts it out when
   * it is closed.
   */
  bool TryOpen(ServerState aState);

  /** Connections that this host may have open. */
  std::uint32_t Share() const { return this->share; }

private:
  std::shared_ptr<ServerLoad> load;
  std::uint32_t total;
  std::chrono::microseconds cost;
  std::string self;
  core::NowFunction now;
  std::uint32_t share = 0;
  core::TimePoint notBefore;
};

} // namespace fireflytrail::routing
