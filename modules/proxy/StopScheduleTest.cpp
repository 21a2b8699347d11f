#include "proxy/StopSchedule.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::proxy;
using namespace std::chrono_literals;

// Guards against requests that arrive late in a planned stop, are passed on to
// a server and are cut without an answer when the process ends.
BOOST_AUTO_TEST_CASE(RequestsThatWouldBeCutAreNotStarted)
{
  const core::TimePoint begin(1h);
  const StopSchedule stop(begin, 6s);
  BOOST_TEST(stop.MayStart(begin, 1200ms));
  BOOST_TEST(stop.MayStart(begin + 2500ms, 1200ms));
  BOOST_TEST(!stop.MayStart(begin + 5s, 1200ms));
  BOOST_TEST(!stop.MayStart(begin + 5900ms, 1ms));
}

// Guards against deadlines after the end of the process, and against an end
// after the platform's limit.
BOOST_AUTO_TEST_CASE(RequestsEndBeforeTheProcess)
{
  const core::TimePoint begin(1h);
  for (const auto limit : { 1000ms, 3000ms, 6000ms, 10'000ms }) {
    const StopSchedule stop(begin, limit);
    BOOST_TEST((stop.LastDeadline() < stop.End()));
    BOOST_TEST((stop.End() < begin + limit));
    BOOST_TEST((stop.ListenUntil() <= stop.End()));
    BOOST_TEST((stop.ListenUntil() > begin));
  }
}

// Guards against connections that are closed in a planned stop while a request
// is on its way on them.
BOOST_AUTO_TEST_CASE(UnusedConnectionsMayBeClosedBeforeTheStopRefusesRequests)
{
  const core::TimePoint begin(1h);
  const StopSchedule stop(begin, 6s);
  const auto time = StopSchedule::KeepAliveTime(6s, 15s);
  BOOST_TEST((time == 4s));
  BOOST_TEST(stop.MayStart(begin + time, 800ms));
  BOOST_TEST((StopSchedule::KeepAliveTime(6s, 3500ms) == 2s));
  BOOST_TEST((StopSchedule::KeepAliveTime(500ms, 100ms) == 1s));
}
