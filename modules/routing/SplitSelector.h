#pragma once

#include "configuration/HttpRoute.h"

#include <cstdint>
#include <map>
#include <string>

namespace fireflytrail::routing {

/**
 * Selects a service for each request of a route that is divided among several.
 * It answers this load pattern: each of a hundred hosts gets a few of a route's
 * requests, and the shares must hold over all of them. Every host begins at a
 * random position of the unit interval, of which each service has a part of its
 * weight, and moves on by the golden ratio. The share is thus right on average
 * from the first request on, and nearly exact over the requests of one host.
 *
 * The service is selected without regard to its load: what does not fit there
 * is refused there, since operators divide a route on purpose.
 *
 * Not thread-safe.
 */
class SplitSelector
{
public:
  /**
   * Returns the service of the next request of a route, which must have at
   * least one. `aRandom` is used for the first request of the route.
   */
  const std::string& Select(const configuration::HttpRoute& aRoute,
                            std::uint64_t aRandom);

private:
  /** Positions by route; the range of the type is the unit interval. */
  std::map<std::string, std::uint64_t> positions;
};

} // namespace fireflytrail::routing
