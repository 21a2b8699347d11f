#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fireflytrail::review {

/** A route of a desired state, with the limits of a request of a small site. */
struct Route
{
  std::string prefix;
  std::string service;
  bool isIdempotent = false;
  unsigned timeoutMs = 2500;
  unsigned goalMs = 800;
};

/** Returns a desired state for the host `shop.example`. */
std::string
MakeDesiredState(std::uint64_t aVersion,
                 const std::vector<Route>& aRoutes,
                 const std::vector<std::string>& aServices);

} // namespace fireflytrail::review
