#include "moves/VersionMove.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace fireflytrail::moves;
using fireflytrail::configuration::MoveKind;
using fireflytrail::configuration::MoveState;
using fireflytrail::configuration::OperatorText;
using fireflytrail::core::WallTimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const WallTimePoint kStart{ seconds(1'000'000) };

/** One daemon in a move of 1000 s, with evidence that the test provides. */
class Fixture
{
public:
  explicit Fixture(const std::string& aThinEvidence = "take_back",
                   const std::string& aWeight = "latency")
  {
    const auto text = OperatorText::Parse(fmt::format(
      R"({{ "name": "test", "weighs_most": "{}",
        "regions": {{ "north": ["a"] }},
        "services": {{ "first": {{ "slots": 4, "version": "1", "calls": {{
          "sell": {{ "method": "GET", "path": "/x", "deadline_ms": 9 }} }} }} }},
        "moves": {{ "thin_evidence": "{}" }} }})",
      aWeight,
      aThinEvidence));
    this->record.id = "m1";
    this->record.kind = MoveKind::Version;
    this->record.service = "first";
    this->record.fromVersion = "1";
    this->record.toVersion = "2";
    this->record.requestTime = kStart;
    this->record.setTime = kStart + seconds(1000);
    this->text = text.value();
    Restart();
    this->move->OnRecordsExchanged();
  }

  /** Simulates a restart of the daemon process. */
  void Restart()
  {
    this->move.emplace(
      this->record,
      this->text,
      "entry-1",
      VersionMove::Hooks{ .now = [this] { return this->now; },
                          .publishVerdict =
                            [this](const Verdict& aVerdict) {
                              this->verdicts.push_back(aVerdict);
                            },
                          .reportDone = [this] { ++this->doneReports; } });
  }

  /** Adds calls of both versions in the current window. */
  void AddCalls(std::uint64_t aNewCalls,
                std::uint64_t aNewFailures,
                double aShare)
  {
    const std::size_t window = this->move->Window().value();
    EvidenceWindow& snapshot = this->windows[window];
    snapshot.window = window;
    snapshot.sequence += 1;
    RouteEvidence& route = snapshot.routes["sell"];
    const auto oldCalls = static_cast<std::uint64_t>(
      static_cast<double>(aNewCalls) * (1 - aShare) / aShare);
    route.domains["a"].oldVersion += { oldCalls, oldCalls / 1000, 0, 0, 0 };
    route.domains["a"].newVersion += { aNewCalls, aNewFailures, 0, 0, 0 };
    route.newFailureGroups = aNewFailures > 0 ? 0xff : 0;
    this->newCalls += aNewCalls;
    route.newCallsSoFar = this->newCalls;
    this->evidence.Merge({ "entry-2", 1 }, snapshot);
  }

  /**
   * Advances the time in steps of half a second, with successful calls in each.
   */
  void RunUntil(seconds aTime, std::uint64_t aNewCallsPerStep)
  {
    while (this->now < kStart + aTime) {
      const double share = this->move->Share();
      if (aNewCallsPerStep > 0 && share > 0 && share < 1) {
        AddCalls(aNewCallsPerStep, 0, share);
      }
      this->move->Evaluate(this->evidence);
      this->now += milliseconds(500);
    }
    this->move->Evaluate(this->evidence);
  }

  WallTimePoint now = kStart;
  fireflytrail::configuration::Move record;
  OperatorText text;
  std::optional<VersionMove> move;
  Evidence evidence;
  Evidence::Totals windows;
  std::uint64_t newCalls = 0;
  std::vector<Verdict> verdicts;
  int doneReports = 0;
};

} // namespace

// Guards against a good version that finishes late, and against exceeding the
// first share before there is sufficient evidence.
BOOST_AUTO_TEST_CASE(GoodVersionFinishesInTime)
{
  Fixture fixture;
  fixture.RunUntil(seconds(440), 1);
  BOOST_TEST(fixture.move->State() == "first_share");
  BOOST_TEST(fixture.move->Share() == 0.05);
  fixture.RunUntil(seconds(700), 1);
  BOOST_TEST(fixture.move->State() == "ramping");
  BOOST_TEST(fixture.move->Share() > 0.05);
  BOOST_TEST(fixture.move->Share() < 1);
  fixture.RunUntil(seconds(901), 1);
  BOOST_TEST(fixture.move->State() == "watched");
  BOOST_TEST(fixture.move->Share() == 1.0);
  BOOST_TEST(fixture.doneReports == 1);
  fixture.RunUntil(seconds(1201), 1);
  BOOST_TEST(fixture.move->State() == "kept");
  BOOST_TEST(fixture.move->Share() == 1.0);
  BOOST_TEST(fixture.verdicts.empty());
}

// Guards against a ramp that starts at its planned time without sufficient
// evidence.
BOOST_AUTO_TEST_CASE(RampWaitsForEvidence)
{
  Fixture fixture;
  fixture.RunUntil(seconds(800), 0);
  BOOST_TEST(fixture.move->State() == "first_share");
  BOOST_TEST(fixture.move->Share() == 0.05);
  fixture.AddCalls(100, 0, 0.05);
  fixture.RunUntil(seconds(1000), 0);
  BOOST_TEST(fixture.move->State() == "watched");
}

// Guards against misinterpreting the setting `thin_evidence`.
BOOST_AUTO_TEST_CASE(ThinEvidenceFollowsTheSetting)
{
  Fixture takeBack("take_back");
  takeBack.RunUntil(seconds(1000), 0);
  BOOST_TEST(takeBack.move->State() == "taken_back");
  BOOST_TEST(takeBack.move->Share() == 0.0);
  BOOST_REQUIRE_EQUAL(takeBack.verdicts.size(), 1U);
  BOOST_TEST(takeBack.verdicts[0].reason.find("thin evidence") !=
             std::string::npos);

  Fixture finish("finish");
  finish.RunUntil(seconds(840), 0);
  BOOST_TEST(finish.move->Share() == 0.05);
  // The ramp ends before the set time, to leave time for daemons that evaluate
  // late.
  finish.RunUntil(seconds(960), 0);
  BOOST_TEST(finish.move->State() == "watched");
  BOOST_TEST(finish.verdicts.empty());
}

// Guards against a verdict that is revoked by a late "done", a cancellation,
// good evidence or a restart.
BOOST_AUTO_TEST_CASE(TakenBackIsFinal)
{
  Fixture fixture;
  fixture.now += seconds(10);
  fixture.AddCalls(100, 30, 0.05);
  fixture.move->Evaluate(fixture.evidence);
  BOOST_REQUIRE_EQUAL(fixture.verdicts.size(), 1U);
  BOOST_TEST(fixture.move->Share() == 0.0);
  fixture.move->ApplyRecord(MoveState::Done);
  fixture.move->ApplyRecord(MoveState::Cancelled);
  fixture.move->ApplyRecord(MoveState::Running);
  fixture.RunUntil(seconds(950), 5);
  BOOST_TEST(fixture.move->State() == "taken_back");
  BOOST_TEST(fixture.verdicts.size() == 1U);

  // The restarted daemon receives the verdict with its first exchange.
  fixture.Restart();
  BOOST_TEST(fixture.move->Share() == 0.0);
  fixture.move->ApplyVerdict(fixture.verdicts[0]);
  fixture.move->OnRecordsExchanged();
  BOOST_TEST(fixture.move->Share() == 0.0);
  fixture.move->ApplyRecord(MoveState::Done);
  BOOST_TEST(fixture.move->State() == "taken_back");
  BOOST_TEST(fixture.move->TakeBackVerdict()->by == "entry-1");
}

// Guards against a verdict that has no effect after "done" in the store, and
// against ignoring "taken back" in the store.
BOOST_AUTO_TEST_CASE(VerdictOverridesDone)
{
  Fixture fixture;
  fixture.move->ApplyRecord(MoveState::Done);
  BOOST_TEST(fixture.move->State() == "watched");
  fixture.move->ApplyVerdict({ "m1", kStart, "entry-7", "bad" });
  BOOST_TEST(fixture.move->Share() == 0.0);
  Fixture other;
  other.move->ApplyRecord(MoveState::TakenBack);
  BOOST_TEST(other.move->Share() == 0.0);
}

// Guards against a daemon that starts shortly after the set time and takes a
// good version back, because it has not received the evidence yet.
BOOST_AUTO_TEST_CASE(LateDaemonWaitsForEvidence)
{
  Fixture fixture;
  fixture.RunUntil(seconds(100), 1);
  fixture.now = kStart + seconds(1005);
  fixture.Restart();
  fixture.move->OnRecordsExchanged();
  const Evidence nothing;
  fixture.move->Evaluate(nothing);
  BOOST_TEST(fixture.move->State() == "first_share");
  fixture.now += seconds(3);
  fixture.move->Evaluate(fixture.evidence);
  BOOST_TEST(fixture.move->State() == "ramping");
  BOOST_TEST(fixture.verdicts.empty());
}

// Guards against a share that grows under `bad_versions` while a route looks
// bad, and against holding the share so long that a good version is late.
BOOST_AUTO_TEST_CASE(SuspicionHoldsTheShare)
{
  Fixture fixture("take_back", "bad_versions");
  fixture.RunUntil(seconds(400), 1);
  const double before = fixture.move->Share();
  BOOST_TEST(fixture.move->State() == "ramping");
  fixture.AddCalls(20, 4, before);
  fixture.RunUntil(seconds(430), 0);
  BOOST_REQUIRE(fixture.verdicts.empty());
  BOOST_TEST(fixture.move->Share() < before * 1.02);
  fixture.RunUntil(seconds(1000), 0);
  BOOST_TEST(fixture.move->State() == "watched");
}
