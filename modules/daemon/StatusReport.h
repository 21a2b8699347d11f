#pragma once

#include "configuration/DesiredState.h"
#include "gossip/GossipNode.h"
#include "routing/HealthMonitor.h"
#include "routing/RoutingTableBuilder.h"

#include <boost/json/array.hpp>

#include <map>
#include <string>

namespace fireflytrail::daemon {

/** Parts of the operators' reports. Belongs to the control thread. */
class StatusReport
{
public:
  /** One entry a host: state, version in force and since when. */
  static boost::json::array Hosts(const gossip::GossipNode& aNode);

  /** One entry a server: state, load and the reason for its limit. */
  static boost::json::array Servers(
    const routing::RoutingTableBuilder& aBuilder,
    routing::HealthMonitor& aHealth);

  /** One entry a move. */
  static boost::json::array Moves(
    const configuration::DesiredState& aState,
    const std::map<std::string, std::string>& aDescriptions);
};

} // namespace fireflytrail::daemon
