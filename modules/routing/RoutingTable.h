#pragma once

#include "routing/ServiceRoute.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/** Whether the servers of a failure domain take new calls. */
struct DomainState
{
  /** 0 while the domain is out, 1 while it is in, between while it returns. */
  double share = 1;
};

/**
 * Immutable snapshot of everything that a routing decision needs. The control
 * thread builds it with `RoutingTableBuilder`; traffic threads read it. Only
 * the load objects that it refers to change.
 */
class RoutingTable
{
public:
  /** Makes a table without services. */
  RoutingTable() = default;

  /** Returns a service by name, or nothing. Thread-safe; valid as long as the
   * table. */
  const ServiceRoute* Find(std::string_view aService) const;

  /** Returns all services, sorted by name. Thread-safe. */
  std::span<const ServiceRoute> Services() const { return this->services; }

  /** Returns the state of a failure domain; in if it is not known.
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
