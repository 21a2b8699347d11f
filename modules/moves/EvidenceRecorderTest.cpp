#include "moves/EvidenceRecorder.h"

#include <boost/test/unit_test.hpp>

#include <bit>

using namespace fireflytrail::moves;
using fireflytrail::core::WallTimePoint;
using std::chrono::milliseconds;

namespace {

EvidenceRecorder::Observation
CallOf(ComparedVersion aSide, milliseconds aDuration)
{
  return { "sell", aSide, "a", false, aDuration };
}

} // namespace

// Guards against calls of the new version shifting the bounds that they are
// compared with.
BOOST_AUTO_TEST_CASE(BoundsComeFromTheOldVersion)
{
  EvidenceRecorder recorder;
  for (int call = 0; call < 100; ++call) {
    recorder.Record(
      0, WallTimePoint{}, CallOf(ComparedVersion::Old, milliseconds(10)));
    recorder.Record(
      0, WallTimePoint{}, CallOf(ComparedVersion::New, milliseconds(30)));
  }
  const auto& domain = recorder.Window(0).routes.at("sell").domains.at("a");
  BOOST_TEST(domain.oldVersion.calls == 100U);
  BOOST_TEST(domain.newVersion.calls == 100U);
  // The first 20 calls of the old version set the bounds.
  BOOST_TEST(domain.oldVersion.timed == 80U);
  BOOST_TEST(domain.oldVersion.slow == 0U);
  BOOST_TEST(domain.newVersion.slow == domain.newVersion.timed);
  BOOST_TEST(domain.newVersion.verySlow == domain.newVersion.timed);
  BOOST_TEST(recorder.Window(0).sequence == 200U);
}

// Guards against bounds that change within a window: early calls of one version
// and late calls of the other would be compared with different bounds.
BOOST_AUTO_TEST_CASE(BoundsChangeOnlyBetweenWindows)
{
  EvidenceRecorder recorder;
  for (int call = 0; call < 20; ++call) {
    recorder.Record(
      0, WallTimePoint{}, CallOf(ComparedVersion::Old, milliseconds(10)));
  }
  for (int call = 0; call < 200; ++call) {
    recorder.Record(
      0, WallTimePoint{}, CallOf(ComparedVersion::Old, milliseconds(20)));
  }
  BOOST_TEST(
    recorder.Window(0).routes.at("sell").domains.at("a").oldVersion.slow ==
    200U);
  recorder.Record(
    1, WallTimePoint{}, CallOf(ComparedVersion::Old, milliseconds(20)));
  BOOST_TEST(
    recorder.Window(1).routes.at("sell").domains.at("a").oldVersion.slow == 0U);
}

// Guards against one short event counting as many independent failures.
BOOST_AUTO_TEST_CASE(FailuresWithinOneIntervalShareAGroup)
{
  EvidenceRecorder recorder;
  const EvidenceRecorder::Observation failure{
    "sell", ComparedVersion::New, "a", true, {}
  };
  for (int call = 0; call < 4; ++call) {
    recorder.Record(0, WallTimePoint(milliseconds(1000 + call)), failure);
  }
  BOOST_TEST(
    std::popcount(recorder.Window(0).routes.at("sell").newFailureGroups) == 1);
  for (int interval = 0; interval < 100; ++interval) {
    recorder.Record(
      0, WallTimePoint(milliseconds(2000 + 100 * interval)), failure);
  }
  BOOST_TEST(
    std::popcount(recorder.Window(0).routes.at("sell").newFailureGroups) ==
    static_cast<int>(RouteEvidence::kFailureGroups));
}

// Guards against unbounded memory use when call names come from outside.
BOOST_AUTO_TEST_CASE(NumberOfRoutesIsBounded)
{
  EvidenceRecorder recorder;
  for (int call = 0; call < 1000; ++call) {
    auto observation = CallOf(ComparedVersion::Old, milliseconds(1));
    observation.call = std::to_string(call);
    recorder.Record(0, WallTimePoint{}, observation);
  }
  BOOST_TEST(recorder.Window(0).routes.size() == EvidenceWindow::kMaxRoutes);
}
