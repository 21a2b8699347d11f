#pragma once

#include "configuration/DesiredState.h"
#include "gossip/GossipNode.h"
#include "routing/HealthMonitor.h"
#include "routing/RoutingTableBuilder.h"

#include <boost/json/array.hpp>

#include <map>
#include <string>

namespace fireflytrail::daemon {

/** Builds the parts of the operators' `/status` and `/dump` pages. Use on the
 * control thread only. */
class StatusReport
{
public:
  /** Returns one entry per host: its state, the version of the desired state
   * that is in force there, and since when. */
  static boost::json::array Hosts(const gossip::GossipNode& aNode);

  /** Returns one entry per server: its state, its load and the reason for its
   * limit. */
  static boost::json::array Servers(
    const routing::RoutingTableBuilder& aBuilder,
    routing::HealthMonitor& aHealth);

  /** Returns one entry per move. A move without a reason gets its line of
   * `aDescriptions`, by move id. */
  static boost::json::array Moves(
    const configuration::DesiredState& aState,
    const std::map<std::string, std::string>& aDescriptions);
};

} // namespace fireflytrail::daemon
