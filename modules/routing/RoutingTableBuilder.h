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
 * Builds routing tables. Belongs to the control thread. It keeps the load
 * objects between tables, so that counts survive, and drops those of servers
 * that are in no table any more.
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
    /** Version → share of the calls, each from 0 to 1. Need not add up to 1:
     * shares of versions without servers go to the others in proportion. */
    std::map<std::string, double> versionShares;
  };

  /** Makes a builder for the daemon of the given name. */
  explicit RoutingTableBuilder(std::string aSelf);

  /** Starts a new table. Forgets what was set for the last one. */
  void Begin(std::uint64_t aDesiredVersion);

  /** Adds a service. Its name must be new. */
  void AddService(Service aService);

  /** Sets the state of a failure domain; those not set are in. */
  void SetDomain(std::string aDomain, DomainState aState);

  /** Sets the live entry hosts by which slots are divided. The own name is
   * added if it is missing. */
  void SetEntryHosts(std::vector<std::string> aHosts);

  /**
   * Adds a server that may take calls. A server of an unknown service or of a
   * version without a share is kept without traffic. Servers that leave are
   * not added.
   */
  void AddServer(const ServerIdentity& aServer);

  /**
   * Returns the finished table. Drops the loads of servers that were not added
   * since `Begin`.
   */
  std::shared_ptr<const RoutingTable> Build();

  /** Returns the load of a server of the last table, or nothing. */
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
