#include "routing/RoutingTableBuilder.h"

#include "routing/SharedLimit.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace fireflytrail::routing {

namespace {

/** Adds the loads of all services that a service depends on, directly or not.
 * The operators' text has no cycles; with a cycle the search would end too,
 * since each service is added once. */
void
AddDependencyLoads(const RoutingTable& aTable, ServiceRoute& aRoute)
{
  std::set<std::string_view> visited;
  std::vector<std::string_view> pending(aRoute.dependsOn.begin(),
                                        aRoute.dependsOn.end());
  while (!pending.empty()) {
    const std::string_view name = pending.back();
    pending.pop_back();
    const ServiceRoute* dependency = aTable.Find(name);
    if (dependency == nullptr || !visited.insert(name).second) {
      continue;
    }
    aRoute.dependencyLoads.push_back(dependency->load);
    pending.insert(pending.end(),
                   dependency->dependsOn.begin(),
                   dependency->dependsOn.end());
  }
}

} // namespace

RoutingTableBuilder::RoutingTableBuilder(std::string aSelf)
  : self(std::move(aSelf))
{
}

void
RoutingTableBuilder::Begin(std::uint64_t aDesiredVersion)
{
  this->desiredVersion = aDesiredVersion;
  this->services.clear();
  this->domains.clear();
  this->hosts.clear();
  this->servers.clear();
}

void
RoutingTableBuilder::AddService(Service aService)
{
  assert(aService.slots > 0);
  assert(std::none_of(
    this->services.begin(), this->services.end(), [&](const Service& aOther) {
      return aOther.name == aService.name;
    }));
  this->services.push_back(std::move(aService));
}

void
RoutingTableBuilder::SetDomain(std::string aDomain, DomainState aState)
{
  this->domains.insert_or_assign(std::move(aDomain), aState);
}

void
RoutingTableBuilder::SetEntryHosts(std::vector<std::string> aHosts)
{
  this->hosts = std::move(aHosts);
}

void
RoutingTableBuilder::AddServer(const ServerIdentity& aServer)
{
  this->servers.insert_or_assign(aServer.id, aServer);
}

std::shared_ptr<const RoutingTable>
RoutingTableBuilder::Build()
{
  auto table = std::make_shared<RoutingTable>();
  table->desiredVersion = this->desiredVersion;
  table->domains = this->domains;
  std::sort(this->services.begin(),
            this->services.end(),
            [](const Service& aLeft, const Service& aRight) {
              return aLeft.name < aRight.name;
            });

  std::map<std::string, std::shared_ptr<ServerLoad>, std::less<>> keptLoads;
  std::map<std::string, std::shared_ptr<ServiceLoad>, std::less<>>
    keptServiceLoads;
  for (const Service& service : this->services) {
    ServiceRoute route;
    route.name = service.name;
    route.dependsOn = service.dependsOn;
    route.slots = service.slots;
    route.calls = service.calls;
    const auto oldServiceLoad = this->serviceLoads.find(service.name);
    route.load = oldServiceLoad == this->serviceLoads.end()
                   ? std::make_shared<ServiceLoad>()
                   : oldServiceLoad->second;
    keptServiceLoads.emplace(service.name, route.load);

    std::map<std::string, VersionRoute> versions;
    std::vector<std::string> ids;
    for (const auto& [id, server] : this->servers) {
      if (server.service != service.name) {
        continue;
      }
      auto oldLoad = this->loads.find(id);
      // A changed address or version means that another process uses the same
      // id.
      auto load = oldLoad != this->loads.end() &&
                      oldLoad->second->Identity() == server &&
                      oldLoad->second->Slots() == service.slots
                    ? oldLoad->second
                    : std::make_shared<ServerLoad>(server, service.slots);
      keptLoads.emplace(id, load);
      const double domainShare = table->DomainOf(server.failureDomain).share;
      const auto share = service.versionShares.find(server.version);
      if (domainShare <= 0 || share == service.versionShares.end() ||
          share->second <= 0) {
        continue;
      }
      VersionRoute& version = versions[server.version];
      version.version = server.version;
      version.share = share->second;
      version.servers.push_back(
        ServerRoute{ .load = std::move(load), .weight = domainShare });
      ids.push_back(id);
    }

    const auto homeSlots =
      SharedLimit::AssignHomeSlots(ids, service.slots, this->self, this->hosts);
    double totalShare = 0;
    for (auto& [name, version] : versions) {
      totalShare += version.share;
      for (std::uint32_t index = 0; index < version.servers.size(); ++index) {
        ServerRoute& server = version.servers[index];
        const auto position =
          std::lower_bound(ids.begin(), ids.end(), server.load->Identity().id);
        server.homeSlots =
          homeSlots[static_cast<std::size_t>(position - ids.begin())];
        if (server.homeSlots > 0) {
          version.homeServers.push_back(index);
        }
      }
    }
    for (auto& [name, version] : versions) {
      version.share /= totalShare;
      route.versions.push_back(std::move(version));
    }
    route.load->SetCanServe(!route.versions.empty());
    table->services.push_back(std::move(route));
  }
  for (ServiceRoute& route : table->services) {
    AddDependencyLoads(*table, route);
  }
  this->loads = std::move(keptLoads);
  this->serviceLoads = std::move(keptServiceLoads);
  return table;
}

std::shared_ptr<ServerLoad>
RoutingTableBuilder::LoadOf(std::string_view aServerId) const
{
  const auto found = this->loads.find(aServerId);
  return found == this->loads.end() ? nullptr : found->second;
}

} // namespace fireflytrail::routing
