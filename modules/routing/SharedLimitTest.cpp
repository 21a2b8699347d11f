#include "routing/SharedLimit.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>

using namespace fireflytrail::routing;

namespace {

std::vector<std::string>
Names(std::string_view aPrefix, unsigned aCount)
{
  std::vector<std::string> names;
  names.reserve(aCount);
  for (unsigned index = 0; index < aCount; ++index) {
    names.push_back(std::string(aPrefix) + std::to_string(index));
  }
  return names;
}

} // namespace

// Guards against a limit of one call being applied by each of 19 daemons, which
// would add up to 19 calls.
BOOST_AUTO_TEST_CASE(SharesAddUpToTheTotal)
{
  for (const unsigned hostCount : { 1U, 2U, 3U, 19U, 100U }) {
    const auto hosts = Names("entry-", hostCount);
    for (const std::uint32_t total : { 0U, 1U, 4U, 19U, 20U, 260U }) {
      for (const auto& server : Names("till-", 5)) {
        std::uint32_t sum = 0;
        for (const auto& host : hosts) {
          sum += SharedLimit::ShareOf(server, total, host, hosts);
        }
        BOOST_TEST(sum == total);
      }
    }
  }
}

// Guards against exceeding the total while a network partition hides half of
// the hosts, or while joining hosts are not yet known to the others.
BOOST_AUTO_TEST_CASE(ConservativeSharesHoldWithHalfOfTheHostsUnknown)
{
  const auto hosts = Names("entry-", 19);
  for (const std::uint32_t total : { 1U, 4U, 6U, 40U, 260U }) {
    for (const auto& server : Names("till-", 20)) {
      std::uint32_t sum = 0;
      for (std::size_t index = 0; index < hosts.size(); ++index) {
        std::vector<std::string> known;
        for (std::size_t other = index % 2; other < hosts.size(); other += 2) {
          known.push_back(hosts[other]);
        }
        sum +=
          SharedLimit::ConservativeShareOf(server, total, hosts[index], known);
      }
      BOOST_TEST(sum <= total);
    }
  }
}

// Guards against a host without home slots, whose calls would all use slots
// assigned to other hosts, and against slots assigned to no host or to two.
BOOST_AUTO_TEST_CASE(HomeSlotsAreBalanced)
{
  for (const unsigned hostCount : { 1U, 2U, 7U, 19U, 130U }) {
    const auto hosts = Names("entry-", hostCount);
    const auto servers = Names("till-", 20);
    std::vector<std::uint32_t> perServer(servers.size(), 0);
    std::uint32_t least = 1000;
    std::uint32_t most = 0;
    for (const auto& host : hosts) {
      const auto own = SharedLimit::AssignHomeSlots(servers, 4, host, hosts);
      const auto sum = std::accumulate(own.begin(), own.end(), 0U);
      least = std::min(least, sum);
      most = std::max(most, sum);
      for (std::size_t server = 0; server < servers.size(); ++server) {
        perServer[server] += own[server];
      }
    }
    BOOST_TEST(most - least <= 1U);
    BOOST_TEST(std::count(perServer.begin(), perServer.end(), 4U) == 20);
  }
}

// Guards against hosts computing different assignments from lists that differ
// only in order.
BOOST_AUTO_TEST_CASE(HomeSlotsDoNotDependOnOrder)
{
  auto hosts = Names("entry-", 19);
  auto servers = Names("till-", 20);
  const auto own = SharedLimit::AssignHomeSlots(servers, 4, "entry-3", hosts);
  std::reverse(hosts.begin(), hosts.end());
  std::reverse(servers.begin(), servers.end());
  auto reversed = SharedLimit::AssignHomeSlots(servers, 4, "entry-3", hosts);
  std::reverse(reversed.begin(), reversed.end());
  BOOST_TEST(own == reversed);
}
