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
 * Makes the parts of the traffic state that do not depend on servers. Keeps the
 * retry budgets, whose counts must survive a change of the state. Belongs to
 * the control thread.
 */
class TrafficStateFactory
{
public:
  /** Returns a state without refusal kind and table. */
  TrafficState Make(const configuration::OperatorText& aText,
                    const gossip::GossipNode& aNode);

  /** Returns the names of the entry hosts that share the servers: the larger
   * plausible list. */
  static std::vector<std::string> EntryHosts(const gossip::GossipNode& aNode);

private:
  std::map<std::string, ServiceBudgets, std::less<>> Budgets(
    const configuration::OperatorText& aText);

  std::map<std::string, std::shared_ptr<calls::RetryBudget>> retryBudgets;
};

} // namespace fireflytrail::daemon
