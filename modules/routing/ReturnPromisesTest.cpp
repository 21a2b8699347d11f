#include "routing/ReturnPromises.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;

// Guards against a promise that is kept twice, or that a caller gets who does
// not wait as told.
BOOST_AUTO_TEST_CASE(PromisesHoldOnceAndAtTheirTime)
{
  const core::TimePoint now{ 1h };
  ReturnPromises promises;
  promises.Promise(7, 400ms, now);
  promises.Promise(0, 400ms, now);
  BOOST_TEST(!promises.Redeem(0, now + 400ms));
  BOOST_TEST(!promises.Redeem(8, now + 400ms));
  BOOST_TEST(!promises.Redeem(7, now + 10ms));
  BOOST_TEST(promises.Redeem(7, now + 410ms));
  BOOST_TEST(!promises.Redeem(7, now + 410ms));
  promises.Promise(9, 400ms, now);
  BOOST_TEST(!promises.Redeem(9, now + 2s));
}

// Guards against memory that grows with the number of refusals.
BOOST_AUTO_TEST_CASE(TheNumberOfPromisesIsBounded)
{
  core::TimePoint now{ 1h };
  ReturnPromises promises;
  for (std::uint64_t digest = 1; digest <= 20'000; ++digest) {
    promises.Promise(digest, 500ms, now);
    now += 10us;
  }
  BOOST_TEST(promises.Count() <= ReturnPromises::kMaxPromises);
  BOOST_TEST(promises.Redeem(20'000, now + 500ms));
  promises.Promise(1, 1ms, now + 10s);
  BOOST_TEST(promises.Count() == 1U);
}
