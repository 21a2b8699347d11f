#include "routing/HttpRouteTable.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::routing;

namespace {

HttpRouteTable
MakeTable()
{
  auto configuration = std::make_shared<configuration::RouteConfiguration>();
  for (const auto& [name, host, prefix] :
       { std::tuple("short", "a.example", "/x/"),
         std::tuple("long", "a.example", "/x/y/"),
         std::tuple("other", "b.example", "/x/") }) {
    configuration::HttpRoute route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    configuration->routes.push_back(route);
  }
  return HttpRouteTable(configuration);
}

std::string
NameOf(const configuration::HttpRoute* aRoute)
{
  return aRoute == nullptr ? "" : aRoute->name;
}

} // namespace

// Guards against a request that is matched to the route of a shorter prefix or
// of another host.
BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostWins)
{
  const HttpRouteTable table = MakeTable();
  BOOST_TEST(NameOf(table.Match("a.example", "/x/y/z")) == "long");
  BOOST_TEST(NameOf(table.Match("a.example", "/x/z?q=/x/y/")) == "short");
  BOOST_TEST(NameOf(table.Match("B.example:80", "/x/y/")) == "other");
}

// Guards against matching a path that only resembles a prefix: prefixes end
// with a slash.
BOOST_AUTO_TEST_CASE(OtherPathsHaveNoRoute)
{
  const HttpRouteTable table = MakeTable();
  BOOST_TEST(NameOf(table.Match("a.example", "/x")).empty());
  BOOST_TEST(NameOf(table.Match("a.example", "/xy/")).empty());
  BOOST_TEST(NameOf(table.Match("a.example", "/?/x/")).empty());
  BOOST_TEST(NameOf(table.Match("c.example", "/x/")).empty());
  BOOST_TEST(NameOf(table.Match("", "/x/")).empty());
}
