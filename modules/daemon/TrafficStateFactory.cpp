#include "daemon/TrafficStateFactory.h"

#include "gossip/GossipNode.h"

#include <set>
#include <utility>

namespace fireflytrail::daemon {

namespace {

std::map<std::string, KnownDaemon, std::less<>>
KnownDaemons(const gossip::GossipNode& aNode)
{
  std::map<std::string, KnownDaemon, std::less<>> daemons;
  for (const gossip::Member& member : aNode.Members().Members()) {
    const gossip::Origin* origin = aNode.State().FindOrigin(member.peer.name);
    if (origin == nullptr || origin->id == aNode.State().Self()) {
      continue;
    }
    daemons.emplace(member.peer.name,
                    KnownDaemon{ origin->id.start,
                                 member.peer.address,
                                 member.state == gossip::MemberState::Alive });
  }
  return daemons;
}

/** Returns the services that calls of a service can reach, directly or through
 * others, without the service itself. */
std::set<std::string>
TransitiveDependencies(const configuration::OperatorText& aText,
                       const std::string& aService)
{
  std::set<std::string> below;
  std::vector<std::string> toVisit = aText.services.at(aService).dependsOn;
  while (!toVisit.empty()) {
    const std::string name = std::move(toVisit.back());
    toVisit.pop_back();
    if (name != aService && below.insert(name).second) {
      const auto& next = aText.services.at(name).dependsOn;
      toVisit.insert(toVisit.end(), next.begin(), next.end());
    }
  }
  return below;
}

} // namespace

TrafficState
TrafficStateFactory::Make(const configuration::OperatorText& aText,
                          const gossip::GossipNode& aNode)
{
  TrafficState state;
  state.budgets = this->Budgets(aText);
  state.daemons = KnownDaemons(aNode);
  return state;
}

std::vector<std::string>
TrafficStateFactory::EntryHosts(const gossip::GossipNode& aNode)
{
  std::vector<std::string> names;
  for (const gossip::Member& member : aNode.Members().Members()) {
    if (member.listed || member.state != gossip::MemberState::Dead) {
      names.push_back(member.peer.name);
    }
  }
  return names;
}

std::map<std::string, ServiceBudgets, std::less<>>
TrafficStateFactory::Budgets(const configuration::OperatorText& aText)
{
  for (const auto& [name, service] : aText.services) {
    auto& budget = this->retryBudgets[name];
    if (!budget) {
      budget =
        std::make_shared<calls::RetryBudget>(std::chrono::steady_clock::now);
    }
  }
  std::map<std::string, ServiceBudgets, std::less<>> budgets;
  for (const auto& [name, service] : aText.services) {
    ServiceBudgets entry{ .own = this->retryBudgets.at(name), .below = {} };
    for (const std::string& below : TransitiveDependencies(aText, name)) {
      entry.below.push_back(this->retryBudgets.at(below).get());
    }
    budgets.emplace(name, std::move(entry));
  }
  return budgets;
}

} // namespace fireflytrail::daemon
