#include "routing/SplitSelector.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <random>

using namespace fireflytrail;
using namespace fireflytrail::routing;

namespace {

/** Returns the share of the small part over hosts that each get a number of
 * requests. */
double
SmallShare(int aHosts, int aRequests, double aWeight)
{
  configuration::HttpRoute route;
  route.name = "r";
  route.services = { { "large", 1 - aWeight }, { "small", aWeight } };
  std::mt19937_64 random(3);
  int small = 0;
  for (int host = 0; host < aHosts; ++host) {
    SplitSelector selector;
    for (int request = 0; request < aRequests; ++request) {
      small += selector.Select(route, random()) == "small" ? 1 : 0;
    }
  }
  return static_cast<double>(small) / (aHosts * aRequests);
}

} // namespace

// Guards against a small part that gets too little while each host has had few
// requests: with credits that begin at random, it got a fifth of its share of
// the first request of each host.
BOOST_AUTO_TEST_CASE(SharesHoldOverManyHostsWithFewRequests)
{
  for (const int requests : { 1, 2, 3, 10 }) {
    BOOST_TEST(std::abs(SmallShare(2000, requests, 0.1) - 0.1) < 0.02);
    BOOST_TEST(std::abs(SmallShare(2000, requests, 0.3) - 0.3) < 0.03);
  }
}

// Guards against shares that are only right on average at one host.
BOOST_AUTO_TEST_CASE(SharesHoldOverTheRequestsOfOneHost)
{
  BOOST_TEST(std::abs(SmallShare(1, 300, 0.1) - 0.1) < 0.01);
  BOOST_TEST(std::abs(SmallShare(1, 300, 0.25) - 0.25) < 0.01);
}
