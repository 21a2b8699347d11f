#include "daemon/RoutingTableFactory.h"

#include <cassert>
#include <utility>

namespace fireflytrail::daemon {

namespace {

routing::CallRoute
RouteOf(const configuration::CallSettings& aCall)
{
  routing::CallRoute route;
  route.name = aCall.name;
  route.method = aCall.method;
  route.path = aCall.path;
  route.atMostOnce = aCall.atMostOnce;
  route.repeatable = aCall.repeatable;
  switch (aCall.priority) {
    case configuration::Priority::Urgent:
      route.priority = routing::Priority::Urgent;
      break;
    case configuration::Priority::Normal:
      route.priority = routing::Priority::Normal;
      break;
    case configuration::Priority::Low:
      route.priority = routing::Priority::Low;
      break;
  }
  route.deadline = aCall.deadline;
  return route;
}

} // namespace

RoutingTableFactory::RoutingTableFactory(const std::string& aSelf)
  : builder(aSelf)
{
}

std::shared_ptr<const routing::RoutingTable>
RoutingTableFactory::Make(const RoutingTableInput& aInput)
{
  assert(aInput.versionShares && aInput.domainShare);
  this->builder.Begin(aInput.desiredVersion);
  for (const auto& [name, settings] : aInput.text.services) {
    routing::RoutingTableBuilder::Service service;
    service.name = name;
    service.dependsOn = settings.dependsOn;
    service.slots = settings.slots;
    for (const configuration::CallSettings& call : settings.calls) {
      service.calls.push_back(RouteOf(call));
    }
    service.versionShares = aInput.versionShares(settings);
    this->builder.AddService(std::move(service));
  }
  for (const std::string& domain : aInput.text.FailureDomains()) {
    this->builder.SetDomain(domain, { aInput.domainShare(domain) });
  }
  this->builder.SetEntryHosts(aInput.entryHosts);
  for (const store::HostEntry& host : aInput.hosts.hosts) {
    if (host.kind == store::HostKind::Server &&
        host.state == store::HostState::Live) {
      this->builder.AddServer({ .id = host.id,
                                .service = host.service,
                                .version = host.version,
                                .address = host.address,
                                .failureDomain = host.domain });
    }
  }
  return this->builder.Build();
}

} // namespace fireflytrail::daemon
