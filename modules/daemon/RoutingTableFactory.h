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

/** Input from which a routing table is built. */
struct RoutingTableInput
{
  std::uint64_t desiredVersion = 0;
  const configuration::OperatorText& text;
  const store::HostList& hosts;
  /** Names of the entry hosts that share the servers. */
  std::vector<std::string> entryHosts;
  /** Returns the share of a service's calls that each version gets. */
  std::function<std::map<std::string, double>(
    const configuration::ServiceSettings&)>
    versionShares;
  /** Returns the share of its normal traffic that a failure domain gets: 0 if
   * it is out, 1 if it is in, and a value between them that grows while
   * it returns. */
  std::function<double(const std::string&)> domainShare;
};

/** Builds routing tables from the operators' text, the host list and the shares
 * of running moves. Use on the control thread only. */
class RoutingTableFactory
{
public:
  explicit RoutingTableFactory(const std::string& aSelf);

  /** Returns a new table. The functions of `aInput` must be set. */
  std::shared_ptr<const routing::RoutingTable> Make(
    const RoutingTableInput& aInput);

  /** Returns the builder, which holds the loads of all servers. */
  const routing::RoutingTableBuilder& Builder() const { return this->builder; }

private:
  routing::RoutingTableBuilder builder;
};

} // namespace fireflytrail::daemon
