#include "daemon/StatusReport.h"

#include "routing/ServerHealth.h"
#include "routing/ServerLoad.h"

#include <boost/json/object.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <string>

namespace fireflytrail::daemon {

namespace json = boost::json;

namespace {

std::string
FormatTime(core::WallTimePoint aTime)
{
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(aTime)));
}

std::string_view
NameOf(gossip::MemberState aState)
{
  switch (aState) {
    case gossip::MemberState::Alive:
      return "alive";
    case gossip::MemberState::Suspect:
      return "suspect";
    case gossip::MemberState::Leaving:
      return "leaving";
    case gossip::MemberState::Dead:
      break;
  }
  return "dead";
}

std::string_view
NameOf(configuration::MoveState aState)
{
  switch (aState) {
    case configuration::MoveState::Running:
      return "running";
    case configuration::MoveState::Done:
      return "done";
    case configuration::MoveState::TakenBack:
      return "taken_back";
    case configuration::MoveState::Cancelled:
      break;
  }
  return "cancelled";
}

std::string
LimitReason(const routing::ServerLoad& aLoad,
            const routing::ServerHealth* aHealth)
{
  if (aHealth == nullptr) {
    return "not in the routing table";
  }
  if (aLoad.State() == routing::ReportedState::Draining) {
    return "no new calls: the server reports that it drains";
  }
  if (aHealth->Concurrency() == routing::ServerHealth::kUnrestricted) {
    return "not limited";
  }
  return fmt::format("all hosts together limited to {}: {}",
                     aHealth->Concurrency(),
                     routing::NameOf(aHealth->State()));
}

} // namespace

json::array
StatusReport::Hosts(const gossip::GossipNode& aNode)
{
  json::array hosts;
  for (const gossip::Member& member : aNode.Members().Members()) {
    json::object host{ { "name", member.peer.name },
                       { "state", NameOf(member.state) },
                       { "listed", member.listed } };
    if (const auto status = aNode.Desired().StatusOf(member.peer.name)) {
      host["version_in_force"] = status->appliedVersion;
      host["since"] = FormatTime(status->appliedAt);
    }
    hosts.push_back(std::move(host));
  }
  return hosts;
}

json::array
StatusReport::Servers(const routing::RoutingTableBuilder& aBuilder,
                      routing::HealthMonitor& aHealth)
{
  json::array servers;
  for (const auto& [id, load] : aBuilder.Loads()) {
    const routing::ServerHealth* health = aHealth.Find(id);
    const routing::ServerIdentity& identity = load->Identity();
    const auto counts = load->Counts();
    servers.push_back(json::object{
      { "id", id },
      { "service", identity.service },
      { "version", identity.version },
      { "domain", identity.failureDomain },
      { "state", health ? routing::NameOf(health->State()) : "unknown" },
      { "reason", LimitReason(*load, health) },
      { "limit",
        load->Limit() == routing::ServerLoad::kUnlimited
          ? json::value(nullptr)
          : json::value(load->Limit()) },
      { "in_flight", load->InFlight() },
      { "reported_in_flight", load->ReportedInFlight() },
      { "service_time_us",
        std::chrono::duration_cast<std::chrono::microseconds>(
          load->ServiceTime())
          .count() },
      { "failure_ratio", load->FailureRatio() },
      { "acquired", counts.acquired },
      { "refused", counts.refused },
      { "lost", counts.lost } });
  }
  return servers;
}

json::array
StatusReport::Moves(const configuration::DesiredState& aState,
                    const std::map<std::string, std::string>& aDescriptions)
{
  json::array moves;
  for (const configuration::Move& move : aState.moves) {
    const auto described = aDescriptions.find(move.id);
    const bool isDescribed =
      move.reason.empty() && described != aDescriptions.end();
    moves.push_back(json::object{
      { "id", move.id },
      { "target",
        move.kind == configuration::MoveKind::Version
          ? fmt::format("{} {}", move.service, move.toVersion)
          : move.failureDomain },
      { "state", NameOf(move.state) },
      { "reason", isDescribed ? described->second : move.reason } });
  }
  return moves;
}

} // namespace fireflytrail::daemon
