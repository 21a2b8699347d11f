#pragma once

#include "calls/RetryBudget.h"
#include "configuration/OperatorText.h"
#include "daemon/TrafficState.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fireflytrail::gossip {
class GossipNode;
}

namespace fireflytrail::daemon {

/**
 * Builds the parts of the traffic state that do not depend on servers. Owns the
 * retry budgets, because their counts must survive a change of the state. Use
 * on the control thread only.
 */
class TrafficStateFactory
{
public:
  /** Returns a state in which the caller must set `refusalKind` and `table`. */
  TrafficState Make(const configuration::OperatorText& aText,
                    const gossip::GossipNode& aNode);

  /** Returns the names of the entry hosts that share the servers: all hosts
   * that are in the host list or not dead, the largest plausible set. */
  static std::vector<std::string> EntryHosts(const gossip::GossipNode& aNode);

private:
  std::map<std::string, ServiceBudgets, std::less<>> Budgets(
    const configuration::OperatorText& aText);

  std::map<std::string, std::shared_ptr<calls::RetryBudget>> retryBudgets;
};

} // namespace fireflytrail::daemon
