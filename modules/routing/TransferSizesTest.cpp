#include "routing/TransferSizes.h"

#include <boost/test/unit_test.hpp>

using fireflytrail::routing::TransferSizes;

BOOST_AUTO_TEST_SUITE(TransferSizesTest)

// Guards against using the size of one route for another.
BOOST_AUTO_TEST_CASE(TracksTheSizeOfEachRoute)
{
  TransferSizes sizes;
  BOOST_TEST(sizes.Expected("lookup") == 0U);
  sizes.Record("lookup", 5000);
  BOOST_TEST(sizes.Expected("lookup") == 5000U);
  BOOST_TEST(sizes.Expected("sale") == 0U);
  for (int count = 0; count < 100; ++count) {
    sizes.Record("lookup", 1000);
  }
  BOOST_TEST(sizes.Expected("lookup") >= 1000U);
  BOOST_TEST(sizes.Expected("lookup") < 1100U);
}

// Guards against memory use that grows with every configuration change.
BOOST_AUTO_TEST_CASE(RemovesRoutesThatAreNotKept)
{
  TransferSizes sizes;
  sizes.Record("lookup", 5000);
  sizes.Record("sale", 800);
  sizes.Keep([](const std::string& aRoute) { return aRoute == "sale"; });
  BOOST_TEST(sizes.Expected("lookup") == 0U);
  BOOST_TEST(sizes.Expected("sale") == 800U);
}

BOOST_AUTO_TEST_SUITE_END()
