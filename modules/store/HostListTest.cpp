#include "store/HostList.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace fireflytrail::store;

namespace {

const std::string kServer =
  R"({"id":"s1","kind":"server","service":"till-sales","version":"1",)"
  R"("address":"127.0.0.1:9000","domain":"akl-a","region":"aotearoa-north",)"
  R"("state":"leaving","rack":7})";
const std::string kEntry =
  R"({"id":"e1","kind":"entry","address":"127.0.0.1:8000",)"
  R"("peer_address":"127.0.0.1:8001","operator_address":"127.0.0.1:8002",)"
  R"("domain":"akl-b","region":"aotearoa-north","state":"live"})";

std::string
ListOf(const std::string& aEntries)
{
  return R"({"version":7,"hosts":[)" + aEntries + "]}";
}

std::string
Replaced(std::string aText, const std::string& aOld, const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

} // namespace

// Guards against reading a member into the wrong field, and against refusing a
// list because of members that the platform has added.
BOOST_AUTO_TEST_CASE(ParsesServersAndEntryHosts)
{
  const auto list = HostList::Parse(ListOf(kServer + "," + kEntry));
  BOOST_REQUIRE(list.has_value());
  BOOST_TEST(list.value().version == 7U);
  const HostEntry server{ .id = "s1",
                          .kind = HostKind::Server,
                          .service = "till-sales",
                          .version = "1",
                          .address = "127.0.0.1:9000",
                          .peerAddress = "",
                          .operatorAddress = "",
                          .domain = "akl-a",
                          .region = "aotearoa-north",
                          .state = HostState::Leaving };
  const HostEntry entry{ .id = "e1",
                         .kind = HostKind::Entry,
                         .service = "",
                         .version = "",
                         .address = "127.0.0.1:8000",
                         .peerAddress = "127.0.0.1:8001",
                         .operatorAddress = "127.0.0.1:8002",
                         .domain = "akl-b",
                         .region = "aotearoa-north",
                         .state = HostState::Live };
  BOOST_TEST((list.value().hosts == std::vector<HostEntry>{ server, entry }));
}

// Guards against accepting a damaged list as an empty or shorter one, which
// would remove servers.
BOOST_AUTO_TEST_CASE(RefusesDamagedLists)
{
  const std::vector<std::pair<std::string, std::string>> cases{
    { "", "not a JSON object" },
    { "[]", "not a JSON object" },
    { ListOf(kServer).substr(0, 60), "not a JSON object" },
    { R"({"hosts":[]})", "version" },
    { R"({"version":1})", "hosts" },
    { ListOf("1"), "hosts[0]" },
    { ListOf(Replaced(kServer, "leaving", "gone")), "hosts[0].state" },
    { ListOf(Replaced(kServer, "\"server\"", "\"x\"")), "hosts[0].kind" },
    { ListOf(Replaced(kServer, "\"till-sales\"", "3")), "hosts[0].service" },
    { ListOf(kEntry + "," + Replaced(kServer, "akl-a", "")),
      "hosts[1].domain" },
    { ListOf(Replaced(kEntry, "peer_address", "peer")),
      "hosts[0].peer_address" },
    { ListOf(kServer + "," + kServer), "hosts[1].id is used twice" },
  };
  for (const auto& [text, detail] : cases) {
    const auto list = HostList::Parse(text);
    BOOST_REQUIRE_MESSAGE(!list.has_value(), text);
    BOOST_TEST(list.error().detail == "host list: " + detail);
  }
}
