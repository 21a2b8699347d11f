#pragma once

#include "core/Hooks.h"
#include "core/Log.h"
#include "proxy/PlatformAdapter.h"
#include "routing/HttpRouteTable.h"
#include "routing/ServiceDirectory.h"
#include "store/ObjectRecord.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace fireflytrail::proxy {

/**
 * What a daemon believes because of the store's objects: the routes in force,
 * the instances, the failure domains that are out and the orders to move
 * services to versions. Objects come from the daemon's own reads or from other
 * daemons; each change of a belief is one log line with the revision that it
 * comes from. Not thread-safe.
 */
class StoreBeliefs
{
public:
  /** The adapter and the log must outlive this. */
  StoreBeliefs(const PlatformAdapter& aPlatform,
               const core::Log& aLog,
               core::NowFunction aNow);
  StoreBeliefs(const StoreBeliefs&) = delete;
  StoreBeliefs& operator=(const StoreBeliefs&) = delete;

  /** Takes changed objects of a kind, deleted ones too. Objects of unknown
   * kinds are ignored; unreadable ones are logged and name nothing. */
  void Take(const std::string& aKind,
            const std::vector<store::ObjectRecord>& aObjects);

  /** Returns the routes in force; null before the first configuration. */
  const std::shared_ptr<const routing::HttpRouteTable>& Routes() const
  {
    return this->routes;
  }

  /** Returns the version of the routes in force, 0 before the first. It never
   * decreases. */
  std::uint64_t ConfigurationVersion() const;

  /** Returns the instances and what decides about their use. */
  routing::ServiceDirectory& Directory() { return this->directory; }
  const routing::ServiceDirectory& Directory() const { return this->directory; }

private:
  void OnInstances(const std::vector<store::ObjectRecord>& aObjects);
  void OnConfiguration(const std::vector<store::ObjectRecord>& aObjects);
  void OnRollouts(const std::vector<store::ObjectRecord>& aObjects);
  void OnDomainsOut(const std::vector<store::ObjectRecord>& aObjects);

  const PlatformAdapter& platform;
  const core::Log& log;
  routing::ServiceDirectory directory;
  std::shared_ptr<const routing::HttpRouteTable> routes;
  std::set<std::string, std::less<>> domainsOut;
};

} // namespace fireflytrail::proxy
