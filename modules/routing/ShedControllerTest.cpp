#include "routing/ShedController.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;

namespace {

/** Updates the controller every 10 ms with a constant load. */
ShedController::Decision
RunFor(ShedController& aController,
       core::TimePoint& aTime,
       std::chrono::milliseconds aDuration,
       const ShedController::Load& aLoad)
{
  ShedController::Decision decision;
  const core::TimePoint end = aTime + aDuration;
  while (aTime < end) {
    aTime += 10ms;
    decision = aController.Update(aLoad, aTime);
  }
  return decision;
}

} // namespace

// Guards against a daemon that has more than its share of the calls shedding
// them while the slots of other daemons are free.
BOOST_AUTO_TEST_CASE(NothingIsShedWhileTheFleetHasFreeSlots)
{
  ShedController controller;
  core::TimePoint time{ 1s };
  const auto decision = RunFor(
    controller, time, 10s, { .ownOccupancy = 3, .reportedOccupancy = 0.6 });
  BOOST_TEST(decision.level == 0);
  BOOST_TEST(std::isinf(decision.bound));
}

// Guards against shedding low-priority calls long after the overload is over.
BOOST_AUTO_TEST_CASE(LevelRisesWithBoundHitsAndFallsWhenSlotsAreFree)
{
  ShedController controller;
  core::TimePoint time{ 1s };
  auto decision =
    RunFor(controller,
           time,
           5s,
           { .ownOccupancy = 2, .reportedOccupancy = 2, .boundHitRatio = 0.4 });
  BOOST_TEST(decision.level >= 1);
  BOOST_TEST(!std::isinf(decision.bound));
  decision = RunFor(
    controller, time, 5s, { .ownOccupancy = 0.7, .reportedOccupancy = 0.7 });
  BOOST_TEST(decision.level == 0);
  BOOST_TEST(std::isinf(decision.bound));
}

// Guards against an overload that is not detected because the servers have no
// queue and refuse calls instead.
BOOST_AUTO_TEST_CASE(RefusalsCountAsOverload)
{
  ShedController controller;
  core::TimePoint time{ 1s };
  const auto decision =
    RunFor(controller,
           time,
           5s,
           { .ownOccupancy = 1, .reportedOccupancy = 1, .refusedRatio = 0.5 });
  BOOST_TEST(!std::isinf(decision.bound));
}
