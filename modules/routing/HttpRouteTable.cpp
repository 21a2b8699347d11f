#include "routing/HttpRouteTable.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <utility>

namespace fireflytrail::routing {

namespace {

std::string
NormalizedHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::ranges::transform(host, host.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return host;
}

} // namespace

HttpRouteTable::HttpRouteTable(
  std::shared_ptr<const configuration::RouteConfiguration> aConfiguration)
  : configuration(std::move(aConfiguration))
{
  assert(this->configuration);
  for (const configuration::HttpRoute& route : this->configuration->routes) {
    this->byHost[NormalizedHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : this->byHost) {
    std::ranges::stable_sort(
      routes, std::greater<>{}, [](const configuration::HttpRoute* aRoute) {
        return aRoute->pathPrefix.size();
      });
  }
}

const configuration::HttpRoute*
HttpRouteTable::Match(std::string_view aHost, std::string_view aTarget) const
{
  const auto found = this->byHost.find(NormalizedHost(aHost));
  if (found == this->byHost.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  for (const configuration::HttpRoute* route : found->second) {
    if (path.starts_with(route->pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

} // namespace fireflytrail::routing
