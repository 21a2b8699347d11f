#include "moves/MoveSchedule.h"

#include "moves/Evidence.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::moves;
using fireflytrail::configuration::PrimaryCriterion;
using fireflytrail::core::WallTimePoint;
using std::chrono::seconds;

namespace {

const WallTimePoint kStart{ seconds(1'000'000) };

MoveSchedule
ScheduleFor(seconds aTime, PrimaryCriterion aWeight = PrimaryCriterion::Latency)
{
  return { kStart, kStart + aTime, MovePolicy::For(aWeight) };
}

} // namespace

// Guards against a ramp that ends after the set time or whose share jumps.
BOOST_AUTO_TEST_CASE(RampEndsBeforeTheSetTime)
{
  const MoveSchedule schedule = ScheduleFor(seconds(1000));
  BOOST_TEST((schedule.RampStart() == kStart + seconds(450)));
  BOOST_TEST((schedule.RampEnd(schedule.RampStart()) == kStart + seconds(900)));
  BOOST_TEST(
    (schedule.RampEnd(schedule.LatestRampStart()) == kStart + seconds(950)));
  double before = 0.05;
  for (int second = 450; second <= 1000; ++second) {
    const double share =
      schedule.ShareAt(kStart + seconds(second), schedule.RampStart(), 0.05);
    BOOST_TEST(share >= before);
    BOOST_TEST(share <= before * 1.01);
    before = share;
  }
  BOOST_TEST(before == 1.0);
}

// Guards against `bad_versions` getting a faster ramp than `latency`.
BOOST_AUTO_TEST_CASE(BadVersionsWeightHasTheSlowerRamp)
{
  const MoveSchedule fast =
    ScheduleFor(seconds(1000), PrimaryCriterion::Latency);
  const MoveSchedule slow =
    ScheduleFor(seconds(1000), PrimaryCriterion::BadVersions);
  BOOST_TEST((slow.RampStart() < fast.RampStart()));
  BOOST_TEST(
    (slow.RampEnd(slow.RampStart()) == fast.RampEnd(fast.RampStart())));
}

// Guards against window indices outside the limits, also when the clock is
// before the request or the set time has already passed.
BOOST_AUTO_TEST_CASE(WindowsCoverMoveAndMonitoring)
{
  const MoveSchedule schedule = ScheduleFor(seconds(400));
  BOOST_TEST(schedule.WindowAt(kStart - seconds(5)).value() == 0U);
  BOOST_TEST(schedule.WindowAt(kStart + seconds(10)).value() == 1U);
  BOOST_TEST(schedule.WindowAt(kStart + seconds(400)).value() == 40U);
  BOOST_TEST(schedule.WindowAt(schedule.MonitoringEnd() - seconds(1)).value() ==
             Evidence::kWindows - 1);
  BOOST_TEST(!schedule.WindowAt(schedule.MonitoringEnd()).has_value());
  BOOST_TEST(ScheduleFor(seconds(-5)).WindowAt(kStart).value() == 0U);
  BOOST_TEST(ScheduleFor(seconds(100)).WindowAt(kStart + seconds(15)).value() ==
             1U);
}
