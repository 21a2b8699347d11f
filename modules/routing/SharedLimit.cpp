#include "routing/SharedLimit.h"

#include "core/Hash.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace fireflytrail::routing {

namespace {

std::vector<std::string_view>
SortedHosts(std::string_view aSelf, std::span<const std::string> aHosts)
{
  std::vector<std::string_view> hosts(aHosts.begin(), aHosts.end());
  hosts.push_back(aSelf);
  std::sort(hosts.begin(), hosts.end());
  hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
  return hosts;
}

/** Returns how many hosts precede `aSelf` in the rendezvous order of a server.
 */
std::size_t
RankOf(std::string_view aServerId,
       std::string_view aSelf,
       std::span<const std::string_view> aHosts)
{
  const auto order = [&](std::string_view aHost) {
    return std::pair(core::RendezvousWeight(aServerId, aHost), aHost);
  };
  const auto self = order(aSelf);
  return static_cast<std::size_t>(
    std::count_if(aHosts.begin(), aHosts.end(), [&](std::string_view aHost) {
      return order(aHost) > self;
    }));
}

} // namespace

std::uint32_t
SharedLimit::ShareOf(std::string_view aServerId,
                     std::uint32_t aTotal,
                     std::string_view aSelf,
                     std::span<const std::string> aHosts)
{
  const auto hosts = SortedHosts(aSelf, aHosts);
  const auto wholeShare = static_cast<std::uint32_t>(aTotal / hosts.size());
  const std::size_t remainder = aTotal % hosts.size();
  return wholeShare + (RankOf(aServerId, aSelf, hosts) < remainder ? 1 : 0);
}

std::uint32_t
SharedLimit::ConservativeShareOf(std::string_view aServerId,
                                 std::uint32_t aTotal,
                                 std::string_view aSelf,
                                 std::span<const std::string> aHosts)
{
  return ShareOf(aServerId, aTotal / 2, aSelf, aHosts);
}

std::vector<std::uint32_t>
SharedLimit::AssignHomeSlots(std::span<const std::string> aServerIds,
                             std::uint32_t aSlots,
                             std::string_view aSelf,
                             std::span<const std::string> aHosts)
{
  const auto hosts = SortedHosts(aSelf, aHosts);
  std::vector<std::uint32_t> ownSlots(aServerIds.size(), 0);

  // The order of assignment must not depend on the order of the lists.
  std::vector<std::size_t> servers(aServerIds.size());
  std::iota(servers.begin(), servers.end(), std::size_t{ 0 });
  std::sort(
    servers.begin(), servers.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return std::pair(core::HashOf(aServerIds[aLeft]),
                       std::string_view(aServerIds[aLeft])) <
             std::pair(core::HashOf(aServerIds[aRight]),
                       std::string_view(aServerIds[aRight]));
    });

  std::vector<std::uint32_t> assigned(hosts.size(), 0);
  std::vector<std::pair<std::uint64_t, std::size_t>> order(hosts.size());
  std::size_t total = 0;
  for (const std::size_t server : servers) {
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      order[host] = { core::RendezvousWeight(aServerIds[server], hosts[host]),
                      host };
    }
    std::sort(order.rbegin(), order.rend());
    // Slots are assigned in rounds, so that every host has had its turn before
    // any host gets a second slot of this server or one more slot in total than
    // another host.
    std::uint32_t remaining = aSlots;
    while (remaining > 0) {
      const std::size_t level = total / hosts.size();
      for (const auto& [weight, host] : order) {
        if (remaining > 0 && assigned[host] <= level) {
          ++assigned[host];
          ++total;
          --remaining;
          if (hosts[host] == aSelf) {
            ++ownSlots[server];
          }
        }
      }
    }
  }
  return ownSlots;
}

} // namespace fireflytrail::routing
