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
 * Limits the number of connections that all hosts together open to one server.
 * Only half of the limit is divided among the hosts, so that the limit still
 * holds while each host knows only half of the others. Connections to a cold or
 * failing server are also rate-limited, since each one costs the server slot
 * time. Used by the control thread only.
 */
class ConnectionPacer
{
public:
  /** `aMaxConnections` is the limit for all hosts together; opening one
   * connection costs the server `aConnectCost` of slot time. */
  ConnectionPacer(std::shared_ptr<ServerLoad> aLoad,
                  std::uint32_t aMaxConnections,
                  std::chrono::microseconds aConnectCost,
                  std::string aSelf,
                  core::NowFunction aNow);

  /** Sets the hosts that share the limit. While it is uncertain whether a host
   * is alive, the list must include it. */
  void SetHosts(std::vector<std::string> aHosts);

  /**
   * Returns whether a connection may be opened now. If so, adds it to
   * `ServerLoad::Connections`; the owner of the connection must subtract it
   * when the connection is closed.
   */
  bool TryOpen(ServerState aState);

  /** Returns how many connections this host may have open. */
  std::uint32_t Share() const { return this->share; }

private:
  std::shared_ptr<ServerLoad> load;
  std::uint32_t maxConnections;
  std::chrono::microseconds connectCost;
  std::string self;
  core::NowFunction now;
  std::uint32_t share = 0;
  core::TimePoint nextOpenAt;
};

} // namespace fireflytrail::routing
