#include "routing/RouteDurations.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace fireflytrail::routing;
using namespace std::chrono_literals;

// Guards against one figure for routes with different work: with the median of
// both, 200 ms of work seemed to need as long as 730 ms.
BOOST_AUTO_TEST_CASE(RoutesOfOneServiceAreLearnedApart)
{
  RouteDurations durations(100ms);
  std::mt19937_64 random(1);
  std::lognormal_distribution<double> spread(0, 0.3);
  const auto around = [&](std::chrono::milliseconds aMedian) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(aMedian *
                                                                spread(random));
  };
  for (int index = 0; index < 400; ++index) {
    durations.Record(1, around(200ms));
    if (index % 4 == 0) {
      durations.Record(2, around(730ms));
    }
  }
  BOOST_TEST((durations.Of(1).typical > 160ms));
  BOOST_TEST((durations.Of(1).typical < 250ms));
  BOOST_TEST((durations.Of(1).likely >= durations.Of(1).typical));
  BOOST_TEST((durations.Of(1).likely < 330ms));
  BOOST_TEST((durations.Of(2).typical > 580ms));
  BOOST_TEST((durations.Of(2).typical < 900ms));
  BOOST_TEST((durations.Of(2).mean > 600ms));
}

// Guards against a route that is judged by the initial estimate until it has
// been used often: a new one starts with the service's.
BOOST_AUTO_TEST_CASE(UnknownRoutesHaveTheEstimateOfTheService)
{
  RouteDurations durations(100ms);
  BOOST_TEST((durations.Of(7).typical == 100ms));
  for (int index = 0; index < 200; ++index) {
    durations.Record(0, 300ms);
  }
  BOOST_TEST((durations.Of(7).typical > 280ms));
  for (int index = 0; index < 5; ++index) {
    durations.Record(7, 900ms);
  }
  BOOST_TEST((durations.Of(7).typical > 500ms));
}

// Guards against memory that grows with the number of routes.
BOOST_AUTO_TEST_CASE(TheNumberOfRoutesIsBounded)
{
  RouteDurations durations(100ms);
  for (std::uint64_t route = 1; route <= 1000; ++route) {
    durations.Record(1, 200ms);
    durations.Record(route, 50ms);
  }
  BOOST_TEST(durations.RouteCount() == RouteDurations::kMaxRoutes);
  BOOST_TEST((durations.Of(1).typical > 150ms));
}
