#include "calls/RequestDigest.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::calls;

// Guards against two requests that share a digest because their parts join to
// the same bytes: a ticket would then answer for another sale.
BOOST_AUTO_TEST_CASE(DependsOnTheBoundariesBetweenParts)
{
  BOOST_TEST(RequestDigest("POST", "/sell", "1") !=
             RequestDigest("POST", "/sell1", ""));
  BOOST_TEST(RequestDigest("POST", "/sell", "1") !=
             RequestDigest("PUT", "/sell", "1"));
  BOOST_TEST(RequestDigest("POST", "/sell", "1") !=
             RequestDigest("POST", "/sell", "2"));
}
