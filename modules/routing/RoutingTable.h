#pragma once

#include "routing/ServiceRoute.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/** Routing state of a failure domain. */
struct DomainState
{
  /** Fraction of the usual traffic that the servers of the domain get: 0 while
   * the domain is out, 1 while it is in, in between while it is being brought
   * back in. */
  double share = 1;
};

/**
 * Immutable snapshot of all data that a routing decision needs. The control
 * thread builds it with `RoutingTableBuilder`; traffic threads read it. Only
 * the load objects that it refers to are updated.
 */
class RoutingTable
{
public:
  /** Creates a table without services. */
  RoutingTable() = default;

  /** Returns a service by name, or null if it is unknown. Thread-safe. The
   * result is valid as long as the table. */
  const ServiceRoute* Find(std::string_view aService) const;

  /** Returns all services, sorted by name. Thread-safe. */
  std::span<const ServiceRoute> Services() const { return this->services; }

  /** Returns the state of a failure domain; unknown domains are in.
   * Thread-safe. */
  DomainState DomainOf(std::string_view aDomain) const;

  /** Returns the version of the desired state that the table was built from.
   * Thread-safe. */
  std::uint64_t DesiredVersion() const { return this->desiredVersion; }

private:
  friend class RoutingTableBuilder;

  std::vector<ServiceRoute> services;
  std::map<std::string, DomainState, std::less<>> domains;
  std::uint64_t desiredVersion = 0;
};

} // namespace fireflytrail::routing
