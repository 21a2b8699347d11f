#pragma once

#include "configuration/BackendService.h"
#include "configuration/CallerLimits.h"
#include "configuration/HttpRoute.h"
#include "configuration/Organisation.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fireflytrail::configuration {

/** One version of all routes, services and limits, which apply together. */
struct RouteConfiguration
{
  /** Increases with each version; 0 before the first. */
  std::uint64_t version = 0;
  std::vector<HttpRoute> routes;
  std::map<std::string, BackendService, std::less<>> services;
  CallerLimits limits;
  /** If there are any, callers need a key of one of them, except on public
   * routes. */
  std::vector<Organisation> organisations;
};

} // namespace fireflytrail::configuration
