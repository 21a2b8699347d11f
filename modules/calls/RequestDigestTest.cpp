#include "calls/RequestDigest.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::calls;

// Guards against two requests with the same digest because their parts
// concatenate to the same bytes: a ticket would then return the answer of a
// different request.
BOOST_AUTO_TEST_CASE(DependsOnTheBoundariesBetweenParts)
{
  BOOST_TEST(RequestDigest("POST", "/sell", "1") !=
             RequestDigest("POST", "/sell1", ""));
  BOOST_TEST(RequestDigest("POST", "/sell", "1") !=
             RequestDigest("PUT", "/sell", "1"));
  BOOST_TEST(RequestDigest("POST", "/sell", "1") !=
             RequestDigest("POST", "/sell", "2"));
}
