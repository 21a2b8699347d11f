#pragma once

#include "configuration/RouteConfiguration.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/**
 * Finds the route of a request by host and longest path prefix. Immutable
 * after construction and then thread-safe.
 */
class HttpRouteTable
{
public:
  /** `aConfiguration` is not null. */
  explicit HttpRouteTable(
    std::shared_ptr<const configuration::RouteConfiguration> aConfiguration);

  /**
   * Returns the route with the longest prefix of the path, or null. `aTarget`
   * is a path with or without a query. Hosts are compared without regard to
   * case and port. The route lives as long as the configuration.
   */
  const configuration::HttpRoute* Match(std::string_view aHost,
                                        std::string_view aTarget) const;

  /** Returns the configuration that the table was made from. */
  const configuration::RouteConfiguration& Configuration() const
  {
    return *this->configuration;
  }

private:
  std::shared_ptr<const configuration::RouteConfiguration> configuration;
  /** Routes by lower-case host, the longest prefix first. */
  std::map<std::string, std::vector<const configuration::HttpRoute*>> byHost;
};

} // namespace fireflytrail::routing
