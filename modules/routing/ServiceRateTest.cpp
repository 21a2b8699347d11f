#include "routing/ServiceRate.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;

// Guards against a queue that counts on slots which cannot be used: with 100
// slots of which 60 serve it, a request was expected to start in 60 in a
// hundred of the real time, and all were just too late (seen on
// wayfarer-jordan-grown scale-1).
BOOST_AUTO_TEST_CASE(FollowsTheObservedRate)
{
  core::TimePoint now{ 1h };
  ServiceRate rate;
  rate.OnWaitBegan(now);
  BOOST_TEST(rate.Slots(100, now) == 100);
  // 200 requests of 300 ms a second occupy 60 slots.
  for (int index = 0; index < 800; ++index) {
    now += 5ms;
    rate.OnGranted(300ms, now);
  }
  BOOST_TEST(rate.Slots(100, now) >= 55);
  BOOST_TEST(rate.Slots(100, now) <= 65);
  // Without grants for a while, the queue is not given up.
  BOOST_TEST(rate.Slots(100, now + 10s) >= 25);
}

// Guards against a rate that is taken from a time without a queue, when slots
// were idle for want of requests.
BOOST_AUTO_TEST_CASE(AllSlotsCountWhenAQueueBegins)
{
  core::TimePoint now{ 1h };
  ServiceRate rate;
  for (int index = 0; index < 100; ++index) {
    now += 50ms;
    rate.OnGranted(300ms, now);
  }
  rate.OnWaitBegan(now);
  BOOST_TEST(rate.Slots(100, now + 10ms) >= 95);
}
