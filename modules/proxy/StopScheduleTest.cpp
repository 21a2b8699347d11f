#include "proxy/StopSchedule.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::proxy;
using namespace std::chrono_literals;

namespace {

const core::TimePoint kBegin(1h);

/** Whether a request with a goal and a timeout may be started some time after
 * the begin of a stop with a limit of 6 s. */
bool
MayStart(std::chrono::milliseconds aAfter,
         std::chrono::milliseconds aGoal,
         std::chrono::milliseconds aTimeout,
         bool aMayBeRepeated = false)
{
  const StopSchedule stop(kBegin, 6s);
  const core::TimePoint now = kBegin + aAfter;
  return stop.MayStart(now, { now + aGoal, now + aTimeout, aMayBeRepeated });
}

} // namespace

// Guards against requests that arrive late in a planned stop, are passed on to
// a server and are cut without an answer when the process ends.
BOOST_AUTO_TEST_CASE(RequestsThatWouldBeCutAreNotStarted)
{
  BOOST_TEST(MayStart(0ms, 1200ms, 1200ms));
  BOOST_TEST(MayStart(2500ms, 1200ms, 1200ms));
  BOOST_TEST(!MayStart(5s, 1200ms, 1200ms));
  BOOST_TEST(!MayStart(5900ms, 1ms, 1ms));
}

// Guards against requests that are broken off while their servers are at work,
// since they take longer than their goal (review/9).
BOOST_AUTO_TEST_CASE(RequestsThatMayOutlastTheStopAreNotStarted)
{
  BOOST_TEST(MayStart(2900ms, 800ms, 2500ms));
  BOOST_TEST(!MayStart(3800ms, 800ms, 2500ms));
  BOOST_TEST(!MayStart(0ms, 800ms, 8s));
}

// Guards against refusals of requests that may be repeated, by the only daemon
// that their callers know; and against starting them when callers have left.
BOOST_AUTO_TEST_CASE(RepeatableRequestsStartWhileTheBalancerSendsCallers)
{
  BOOST_TEST(MayStart(0ms, 800ms, 8s, true));
  BOOST_TEST(MayStart(2500ms, 800ms, 5s, true));
  BOOST_TEST(!MayStart(2600ms, 800ms, 5s, true));
  BOOST_TEST(!MayStart(0ms, 5600ms, 8s, true));
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
  const auto time = StopSchedule::KeepAliveTime(6s, 15s);
  BOOST_TEST((time == 4s));
  BOOST_TEST(MayStart(time, 800ms, 1500ms));
  BOOST_TEST((StopSchedule::KeepAliveTime(6s, 3500ms) == 2s));
  BOOST_TEST((StopSchedule::KeepAliveTime(500ms, 100ms) == 1s));
}
