#include "routing/RoutingTableBuilder.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::routing;

namespace {

ServerIdentity
Server(std::string aId, std::string aVersion, std::string aDomain)
{
  return { .id = std::move(aId),
           .service = "till-sales",
           .version = std::move(aVersion),
           .address = "127.0.0.1:1",
           .failureDomain = std::move(aDomain) };
}

RoutingTableBuilder::Service
TillSales(std::map<std::string, double> aShares)
{
  RoutingTableBuilder::Service service;
  service.name = "till-sales";
  service.slots = 4;
  service.versionShares = std::move(aShares);
  return service;
}

} // namespace

// Guards against sending calls to servers of a domain that operators took out.
BOOST_AUTO_TEST_CASE(TableLeavesOutServersOfDomainsThatAreOut)
{
  RoutingTableBuilder builder("entry-0");
  builder.Begin(7);
  builder.AddService(TillSales({ { "1", 1.0 } }));
  builder.SetDomain("akl-a", { .share = 0 });
  builder.SetDomain("akl-b", { .share = 0.25 });
  builder.AddServer(Server("a", "1", "akl-a"));
  builder.AddServer(Server("b", "1", "akl-b"));
  builder.AddServer(Server("c", "1", "akl-c"));
  const auto table = builder.Build();
  BOOST_TEST(table->DesiredVersion() == 7U);
  const ServiceRoute* service = table->Find("till-sales");
  BOOST_REQUIRE(service != nullptr);
  BOOST_REQUIRE_EQUAL(service->versions.size(), 1U);
  const auto& servers = service->versions[0].servers;
  BOOST_REQUIRE_EQUAL(servers.size(), 2U);
  BOOST_TEST(servers[0].load->Identity().id == "b");
  BOOST_TEST(servers[0].weight == 0.25);
  BOOST_TEST(servers[1].load->Identity().id == "c");
  BOOST_TEST(table->Find("till") == nullptr);
}

// Guards against refusing calls because a version that has a share has no
// servers.
BOOST_AUTO_TEST_CASE(SharesOfVersionsWithoutServersGoToTheOthers)
{
  RoutingTableBuilder builder("entry-0");
  builder.Begin(1);
  builder.AddService(TillSales({ { "1", 0.6 }, { "2", 0.2 }, { "3", 0.2 } }));
  builder.AddServer(Server("a", "1", "akl-a"));
  builder.AddServer(Server("b", "2", "akl-a"));
  builder.AddServer(Server("c", "4", "akl-a"));
  const auto table = builder.Build();
  const auto& versions = table->Find("till-sales")->versions;
  BOOST_REQUIRE_EQUAL(versions.size(), 2U);
  BOOST_CHECK_CLOSE(versions[0].share, 0.75, 1e-9);
  BOOST_CHECK_CLOSE(versions[1].share, 0.25, 1e-9);
}

// Guards against losing in-flight counts when the table changes, and against
// attributing the counts of one process to its successor.
BOOST_AUTO_TEST_CASE(LoadsSurviveAcrossTables)
{
  RoutingTableBuilder builder("entry-0");
  const auto build = [&](const ServerIdentity& aServer) {
    builder.Begin(1);
    builder.AddService(TillSales({ { "1", 1.0 } }));
    builder.AddServer(aServer);
    builder.Build();
    return builder.LoadOf("a");
  };
  const auto first = build(Server("a", "1", "akl-a"));
  BOOST_REQUIRE(first != nullptr);
  BOOST_TEST(build(Server("a", "1", "akl-a")) == first);
  auto atOtherAddress = Server("a", "1", "akl-a");
  atOtherAddress.address = "127.0.0.1:2";
  BOOST_TEST(build(atOtherAddress) != first);
  BOOST_TEST(build(Server("b", "1", "akl-a")) == nullptr);
}
