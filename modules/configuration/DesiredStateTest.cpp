#include "configuration/DesiredState.h"

#include "configuration/OperatorText.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace fireflytrail::configuration;

namespace {

using std::chrono::milliseconds;

std::string
TextWithVersion(std::string_view aVersion)
{
  return fmt::format(R"({{ "name": "test", "weighs_most": "latency",
  // A comment with "quotes", a backslash \ and a tab	.
  "regions": {{ "north": ["a", "b"] }},
  "services": {{ "first": {{ "slots": 4, "version": "{}", "calls": {{
    "one": {{ "method": "GET", "path": "/x", "deadline_ms": 10 }} }} }} }} }})",
                     aVersion);
}

Move
VersionMoveOf(std::string aId, std::string aFrom, std::string aTo)
{
  Move move;
  move.id = std::move(aId);
  move.kind = MoveKind::Version;
  move.service = "first";
  move.fromVersion = std::move(aFrom);
  move.toVersion = std::move(aTo);
  move.requestedBy = "mere";
  move.requestTime = fireflytrail::core::WallTimePoint(milliseconds(1000));
  move.setTime = fireflytrail::core::WallTimePoint(milliseconds(61'000));
  return move;
}

Move
DomainMoveOf(std::string aId, MoveKind aKind, std::string aDomain)
{
  Move move;
  move.id = std::move(aId);
  move.kind = aKind;
  move.failureDomain = std::move(aDomain);
  move.requestedBy = "mere";
  return move;
}

DesiredState
StateWithText()
{
  return DesiredState{}.WithText(TextWithVersion("1")).value();
}

} // namespace

// Guards against a text that is altered when it is stored and loaded, and
// against lost fields of a move.
BOOST_AUTO_TEST_CASE(ParsesWhatItSerializes)
{
  DesiredState state = StateWithText();
  state.moves.push_back(VersionMoveOf("m1", "1", "2"));
  state.moves.back().state = MoveState::TakenBack;
  state.moves.back().reason = "route first/one: 31 of 400 calls failed";
  state.moves.push_back(DomainMoveOf("m2", MoveKind::DomainOut, "a"));
  const auto parsed = DesiredState::Parse(state.Serialize());
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST((parsed.value() == state));
  BOOST_TEST(parsed.value().text == TextWithVersion("1"));
}

// Guards against an object above the store's limit of 1 MB for the largest
// text and the largest number of moves. Line breaks and quotes take two bytes
// each when escaped.
BOOST_AUTO_TEST_CASE(LargestDocumentFitsTheStore)
{
  DesiredState state;
  state.text = std::string(OperatorText::kMaxBytes, '"');
  for (std::size_t index = 0; index < DesiredState::kMaxMoves; ++index) {
    Move move = VersionMoveOf(fmt::format("m{}", index), "1", "2");
    move.reason = std::string(200, 'x');
    state.moves.push_back(std::move(move));
  }
  BOOST_TEST(state.Serialize().size() < 1'000'000U);
}

// Guards against a damaged document being accepted as desired state.
BOOST_AUTO_TEST_CASE(RefusesDamagedDocuments)
{
  BOOST_TEST(!DesiredState::Parse("").has_value());
  BOOST_TEST(!DesiredState::Parse("{}").has_value());
  DesiredState state = StateWithText();
  state.moves.push_back(VersionMoveOf("m1", "1", "2"));
  state.moves.push_back(VersionMoveOf("m1", "1", "2"));
  const auto duplicate = DesiredState::Parse(state.Serialize());
  BOOST_REQUIRE(!duplicate.has_value());
  BOOST_TEST(duplicate.error().front().path == "moves[1].id");
}

// Guards against a submitted text that changes a version without a move.
BOOST_AUTO_TEST_CASE(VersionChangesOnlyByMove)
{
  const DesiredState state = StateWithText();
  const auto refused = state.WithText(TextWithVersion("2"));
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST(refused.error().front().path == "services.first.version");
  BOOST_TEST(refused.error().front().line == 4U);

  const DesiredState moving =
    state.WithMove(VersionMoveOf("m1", "1", "2")).value();
  BOOST_TEST(moving.VersionInForce("first", "1") == "1");
  const DesiredState done = moving.WithMoveState("m1", MoveState::Done, "");
  BOOST_TEST(done.VersionInForce("first", "1") == "2");
  BOOST_TEST(!done.WithText(TextWithVersion("1")).has_value());
  const auto accepted = done.WithText(TextWithVersion("2"));
  BOOST_REQUIRE(accepted.has_value());
  BOOST_TEST(accepted.value().textVersion == 2U);
  BOOST_TEST(accepted.value().VersionInForce("first", "2") == "2");
}

// Guards against a late "done" that overwrites "taken back", and against a
// taken-back version that stays in force.
BOOST_AUTO_TEST_CASE(TakenBackIsFinal)
{
  const DesiredState takenBack =
    StateWithText()
      .WithMove(VersionMoveOf("m1", "1", "2"))
      .value()
      .WithMoveState("m1", MoveState::Done, "")
      .WithMoveState("m1", MoveState::TakenBack, "31 of 400 calls failed")
      .WithMoveState("m1", MoveState::Done, "late");
  BOOST_TEST((takenBack.FindMove("m1")->state == MoveState::TakenBack));
  BOOST_TEST(takenBack.FindMove("m1")->reason == "31 of 400 calls failed");
  BOOST_TEST(takenBack.VersionInForce("first", "1") == "1");
}

// Guards against accepting moves that start from a version not in force, run
// concurrently for the same service, reuse an id or have an unknown target.
BOOST_AUTO_TEST_CASE(RefusesConflictingMoves)
{
  const DesiredState state =
    StateWithText().WithMove(VersionMoveOf("m1", "1", "2")).value();
  BOOST_TEST(!state.WithMove(VersionMoveOf("m2", "1", "3")).has_value());
  BOOST_TEST(
    !state.WithMove(DomainMoveOf("m1", MoveKind::DomainOut, "a")).has_value());
  BOOST_TEST(
    !state.WithMove(DomainMoveOf("m2", MoveKind::DomainOut, "c")).has_value());
  const DesiredState done = state.WithMoveState("m1", MoveState::Done, "");
  BOOST_TEST(!done.WithMove(VersionMoveOf("m2", "1", "3")).has_value());
  BOOST_TEST(done.WithMove(VersionMoveOf("m2", "2", "3")).has_value());
  BOOST_TEST(!state.WithText("{ \"name\": \"test\" }").has_value());
}

// Guards against domain states or versions that change when old moves are
// dropped, and against a list of moves that grows without bound.
BOOST_AUTO_TEST_CASE(DroppingOldMovesKeepsTheirEffect)
{
  DesiredState state = StateWithText();
  state.moves.push_back(VersionMoveOf("m-version", "1", "2"));
  state.moves.back().state = MoveState::Done;
  state.moves.push_back(DomainMoveOf("m-out", MoveKind::DomainOut, "a"));
  state.moves.back().state = MoveState::Done;
  for (int index = 0; index < 1000; ++index) {
    Move move =
      DomainMoveOf(fmt::format("m{}", index),
                   index % 2 == 0 ? MoveKind::DomainOut : MoveKind::DomainIn,
                   "b");
    move.state = MoveState::Done;
    state.moves.push_back(std::move(move));
  }
  state.DropOldMoves();
  BOOST_TEST(state.moves.size() <= DesiredState::kMaxMoves + 2);
  BOOST_TEST(state.moves.back().id == "m999");
  BOOST_TEST(state.VersionInForce("first", "1") == "2");
  BOOST_TEST(state.IsDomainOut("a"));
  BOOST_TEST(!state.IsDomainOut("b"));
}

// Guards against a cancelled move that still takes a domain out.
BOOST_AUTO_TEST_CASE(CancelledMoveHasNoEffect)
{
  DesiredState state = StateWithText();
  state.moves.push_back(DomainMoveOf("m1", MoveKind::DomainOut, "a"));
  BOOST_TEST(state.IsDomainOut("a"));
  state.moves.back().state = MoveState::Cancelled;
  BOOST_TEST(!state.IsDomainOut("a"));
}
