#include "moves/EvidencePublisher.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace fireflytrail::moves;
using std::chrono::milliseconds;

namespace {

EvidenceWindow
SnapshotOf(std::size_t aWindow, std::uint64_t aSequence)
{
  EvidenceWindow snapshot;
  snapshot.window = aWindow;
  snapshot.sequence = aSequence;
  return snapshot;
}

struct Fixture
{
  fireflytrail::core::TimePoint now;
  std::vector<EvidenceWindow> paced;
  std::vector<EvidenceWindow> urgent;
  EvidencePublisher publisher{
    { [this] { return this->now; },
      [this](std::string_view aValue) {
        this->paced.push_back(EvidenceWindow::Parse(aValue).value());
      },
      [this](std::string_view aValue) {
        this->urgent.push_back(EvidenceWindow::Parse(aValue).value());
      } }
  };
};

} // namespace

// Guards against the other daemons never receiving the last calls of a window,
// and against unnecessary pushes.
BOOST_AUTO_TEST_CASE(PushesTheLastSnapshotOfEachWindow)
{
  Fixture fixture;
  fixture.publisher.Update(SnapshotOf(2, 50), SnapshotOf(3, 4), false);
  fixture.publisher.Update(SnapshotOf(2, 50), SnapshotOf(3, 4), false);
  fixture.publisher.Update(SnapshotOf(2, 50), SnapshotOf(3, 9), false);
  BOOST_TEST(fixture.paced.size() == 2U);
  BOOST_TEST(fixture.urgent.empty());
  fixture.publisher.Update(SnapshotOf(3, 11), SnapshotOf(4, 1), false);
  BOOST_REQUIRE_EQUAL(fixture.urgent.size(), 1U);
  BOOST_TEST(fixture.urgent[0].window == 3U);
  BOOST_TEST(fixture.urgent[0].sequence == 11U);
  fixture.publisher.Update(SnapshotOf(3, 11), SnapshotOf(4, 1), false);
  BOOST_TEST(fixture.paced.back().window == 4U);
}

// Guards against a verdict that waits for the regular publishing rate, and
// against pushes that exceed the byte budget.
BOOST_AUTO_TEST_CASE(PushesAtABoundedRateWhileSuspicious)
{
  Fixture fixture;
  for (std::uint64_t call = 1; call <= 40; ++call) {
    fixture.publisher.Update(SnapshotOf(0, 0), SnapshotOf(1, call), true);
    fixture.now += milliseconds(250);
  }
  BOOST_TEST(fixture.urgent.size() == 5U);
  BOOST_TEST(fixture.urgent.front().sequence == 1U);
  BOOST_TEST(fixture.paced.size() == 35U);
}
