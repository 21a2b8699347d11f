#pragma once

#include "configuration/DesiredState.h"
#include "configuration/OperatorText.h"
#include "routing/RoutingTable.h"
#include "routing/RoutingTableBuilder.h"
#include "store/HostList.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fireflytrail::daemon {

/** Everything that a routing table is made from. */
struct RoutingTableInput
{
  std::uint64_t desiredVersion = 0;
  const configuration::OperatorText& text;
  const store::HostList& hosts;
  /** Names of the entry hosts that share the servers. */
  std::vector<std::string> entryHosts;
  /** Versions and their shares of a service. */
  std::function<std::map<std::string, double>(
    const configuration::ServiceSettings&)>
    versionShares;
  /** Share of a failure domain: 0 out, 1 in, between while it returns. */
  std::function<double(const std::string&)> domainShare;
};

/** Makes routing tables. Belongs to the control thread. */
class RoutingTableFactory
{
public:
  explicit RoutingTableFactory(const std::string& aSelf);

  /** Makes the table of an input. Its functions must be set. */
  std::shared_ptr<const routing::RoutingTable> Make(
    const RoutingTableInput& aInput);

  /** Returns the builder, which holds the loads of all servers. */
  const routing::RoutingTableBuilder& Builder() const { return this->builder; }

private:
  routing::RoutingTableBuilder builder;
};

} // namespace fireflytrail::daemon
