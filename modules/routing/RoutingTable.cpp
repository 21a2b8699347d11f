#include "routing/RoutingTable.h"

#include <algorithm>

namespace fireflytrail::routing {

const ServiceRoute*
RoutingTable::Find(std::string_view aService) const
{
  const auto found =
    std::lower_bound(this->services.begin(),
                     this->services.end(),
                     aService,
                     [](const ServiceRoute& aRoute, std::string_view aName) {
                       return aRoute.name < aName;
                     });
  if (found == this->services.end() || found->name != aService) {
    return nullptr;
  }
  return &*found;
}

DomainState
RoutingTable::DomainOf(std::string_view aDomain) const
{
  const auto found = this->domains.find(aDomain);
  return found == this->domains.end() ? DomainState{} : found->second;
}

} // namespace fireflytrail::routing
