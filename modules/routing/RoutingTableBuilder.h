#pragma once

#include "core/Result.h"
#include "routing/RoutingTable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/**
 * Builds routing tables. Used by the control thread only. Load objects are
 * carried over from one table to the next, so that their counts survive; those
 * of servers that are no longer in a table are dropped.
 */
class RoutingTableBuilder
{
public:
  /** A service as the operators' text defines it. */
  struct Service
  {
    std::string name;
    std::vector<std::string> dependsOn;
    std::uint32_t slots = 1;
    std::vector<CallRoute> calls;
    /** Version → share of the calls, each from 0 to 1. The shares need not add
     * up to 1: the share of a version without servers is divided among the
     * others in proportion. */
    std::map<std::string, double> versionShares;
  };

  /** Creates a builder for the daemon with the given name. */
  explicit RoutingTableBuilder(std::string aSelf);

  /** Starts a new table and clears what was set for the last one. */
  void Begin(std::uint64_t aDesiredVersion);

  /** Adds a service. The name must not have been added since `Begin`. */
  void AddService(Service aService);

  /** Sets the state of a failure domain; domains that are not set are in. */
  void SetDomain(std::string aDomain, DomainState aState);

  /** Sets the live entry hosts among which slots are divided. The name of this
   * daemon is added if it is missing. */
  void SetEntryHosts(std::vector<std::string> aHosts);

  /**
   * Adds a server that may take calls. A server of an unknown service, or of a
   * version without a share, is accepted but gets no traffic. Do not add
   * servers that are leaving.
   */
  void AddServer(const ServerIdentity& aServer);

  /**
   * Returns the finished table. Drops the load objects of servers that were not
   * added since `Begin`.
   */
  std::shared_ptr<const RoutingTable> Build();

  /** Returns the load of a server of the last table, or null. */
  std::shared_ptr<ServerLoad> LoadOf(std::string_view aServerId) const;

  /** Returns the loads of all servers, by server identity. */
  const std::map<std::string, std::shared_ptr<ServerLoad>, std::less<>>& Loads()
    const
  {
    return this->loads;
  }

private:
  std::string self;
  std::uint64_t desiredVersion = 0;
  std::vector<Service> services;
  std::map<std::string, DomainState, std::less<>> domains;
  std::vector<std::string> hosts;
  std::map<std::string, ServerIdentity, std::less<>> servers;
  std::map<std::string, std::shared_ptr<ServerLoad>, std::less<>> loads;
  std::map<std::string, std::shared_ptr<ServiceLoad>, std::less<>> serviceLoads;
};

} // namespace fireflytrail::routing
