#include "moves/DomainMove.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::moves;
using fireflytrail::core::TimePoint;
using std::chrono::seconds;

// Guards against a domain that still gets calls while it is out, and against a
// returning domain that gets its full load at once.
BOOST_AUTO_TEST_CASE(GoesOutAtOnceAndReturnsByRamp)
{
  TimePoint now;
  DomainMove move("a", [&] { return now; });
  BOOST_TEST(move.Share() == 1.0);
  move.Apply(true);
  BOOST_TEST(move.State() == "out");
  BOOST_TEST(move.Share() == 0.0);
  now += seconds(60);
  move.Apply(false);
  BOOST_TEST(move.Share() == 0.1, boost::test_tools::tolerance(1e-9));
  double before = 0;
  for (int second = 0; second < 10; ++second) {
    BOOST_TEST(move.Share() > before);
    before = move.Share();
    BOOST_TEST(before < 1);
    now += seconds(1);
    // The daemon applies the whole desired state again on every change.
    move.Apply(false);
  }
  BOOST_TEST(move.Share() == 1.0);
  BOOST_TEST(move.State() == "in");
}

// Guards against a domain that stays in service when operators take it out
// again while it is returning.
BOOST_AUTO_TEST_CASE(GoesOutAgainWhileReturning)
{
  TimePoint now;
  DomainMove move("a", [&] { return now; });
  move.Start(true);
  BOOST_TEST(move.Share() == 0.0);
  move.Apply(false);
  now += seconds(5);
  move.Apply(true);
  BOOST_TEST(move.Share() == 0.0);
  now += seconds(100);
  BOOST_TEST(move.Share() == 0.0);
}
