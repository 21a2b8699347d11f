#include "configuration/DesiredState.h"
#include "operator_client/DumpCommand.h"
#include "operator_client/MoveCommand.h"
#include "operator_client/StatusCommand.h"
#include "operator_client/SubmitCommand.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::operator_client;
using configuration::DesiredState;
using configuration::MoveState;
using store::StoreStatus;

namespace {

std::string
TextWithDeadline(int aDeadlineMs)
{
  return R"({ "name": "shop", "weighs_most": "latency",
  "regions": { "north": ["a", "b"] },
  "services": { "till": { "depends_on": [], "slots": 4, "version": "1",
    "calls": { "list": { "method": "GET", "path": "/list",
                         "deadline_ms": )" +
         std::to_string(aDeadlineMs) + "} } } } }";
}

/** An in-memory store with hooks that run between the steps of a command. */
struct Fixture
{
  StoreAccess MakeStoreAccess()
  {
    return {
      [this](const std::string&) {
        if (this->version == 0) {
          return store::StoreResult{ StoreStatus::NotFound, {}, "none" };
        }
        return store::StoreResult{ this->readStatus,
                                   { this->body, this->version },
                                   "outage" };
      },
      [this](
        const std::string&, const std::string& aBody, std::uint64_t aExpected) {
        ++this->writes;
        if (this->beforeWrite) {
          std::exchange(this->beforeWrite, nullptr)();
        }
        if (aExpected != this->version) {
          return store::StoreResult{ StoreStatus::Conflict,
                                     { {}, this->version },
                                     "conflict" };
        }
        const StoreStatus status =
          std::exchange(this->writeStatus, StoreStatus::Ok);
        if (status == StoreStatus::Ok || this->lostWriteTakesEffect) {
          this->body = aBody;
          ++this->version;
        }
        return store::StoreResult{ status, { {}, this->version }, "lost" };
      },
      [this](const std::string&, std::uint64_t aVersion) {
        if (this->onWatch) {
          this->onWatch();
        }
        this->now += std::chrono::seconds(30);
        return store::StoreResult{ this->version > aVersion
                                     ? StoreStatus::Ok
                                     : StoreStatus::NotModified,
                                   { this->body, this->version },
                                   "" };
      },
      [this]() {
        return store::HostsResult{ StoreStatus::Ok, this->hosts, "" };
      }
    };
  }

  CommandOutput MakeOutput()
  {
    return {
      [this](std::string_view aLine) { this->lines.emplace_back(aLine); },
      [this](std::string_view aLine) { this->errors.emplace_back(aLine); }
    };
  }

  MoveCommand MakeMoveCommand()
  {
    MoveCommand::Hooks hooks;
    hooks.now = [this]() { return this->now; };
    hooks.random = []() { return 0xab; };
    hooks.capacity = [this](const DesiredState&, const std::string&) {
      return MoveCommand::Capacity{ this->hasCapacity, "till: figures" };
    };
    return { this->MakeStoreAccess(), hooks, this->MakeOutput(), "ana" };
  }

  ExitCode Submit(int aDeadlineMs,
                  std::optional<std::uint64_t> aExpected = std::nullopt)
  {
    return SubmitCommand(this->MakeStoreAccess(), this->MakeOutput())
      .Run({ "t.json", TextWithDeadline(aDeadlineMs) }, aExpected);
  }

  DesiredState StoredState() const
  {
    return DesiredState::Parse(this->body).value();
  }

  void SetMoveState(MoveState aState, const std::string& aReason)
  {
    const DesiredState state = this->StoredState();
    this->body =
      state.WithMoveState(state.moves[0].id, aState, aReason).Serialize();
    ++this->version;
  }

  std::string body;
  std::uint64_t version = 0;
  int writes = 0;
  StoreStatus readStatus = StoreStatus::Ok;
  StoreStatus writeStatus = StoreStatus::Ok;
  bool lostWriteTakesEffect = false;
  std::function<void()> beforeWrite;
  std::function<void()> onWatch;
  store::HostList hosts;
  bool hasCapacity = true;
  core::WallTimePoint now{ std::chrono::seconds(1'796'378'000) };
  std::vector<std::string> lines;
  std::vector<std::string> errors;
};

void
CheckLines(const std::vector<std::string>& aLines,
           const std::vector<std::string>& aExpected)
{
  BOOST_TEST(aLines == aExpected, boost::test_tools::per_element());
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(DesiredStateCommandsTest, Fixture)

// Guards against rejecting a valid text, both the first one and a later one.
BOOST_AUTO_TEST_CASE(SubmitAcceptsFirstAndLaterTexts)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  BOOST_TEST((this->Submit(2000, 1) == ExitCode::Ok));
  CheckLines(this->lines,
             { "accepted as version 1, text version 1",
               "accepted as version 2, text version 2" });
  BOOST_TEST(this->StoredState().text == TextWithDeadline(2000));
}

// Two operators submit at the same time: guards against the second write
// overwriting the first, and against a conflict message without the version
// that is in the store.
BOOST_AUTO_TEST_CASE(SubmitConflictReportsCurrentVersion)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  this->beforeWrite = [&]() { this->Submit(3000); };
  BOOST_TEST((this->Submit(2000) == ExitCode::Conflict));
  BOOST_TEST(this->StoredState().text == TextWithDeadline(3000));
  BOOST_TEST((this->Submit(2000, 1) == ExitCode::Conflict));
  const std::string line =
    "conflict: another operator was first; the version in the store is 2; "
    "nothing was changed";
  CheckLines(this->errors, { line, line });
}

// Guards against an invalid text that reaches the store.
BOOST_AUTO_TEST_CASE(RefusedTextChangesNothing)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  const std::string before = this->body;
  BOOST_TEST((this->Submit(-1) == ExitCode::Refused));
  BOOST_TEST(this->body == before);
  BOOST_TEST(this->writes == 1);
  BOOST_REQUIRE(this->errors.size() == 1U);
  BOOST_TEST(this->errors[0].starts_with("t.json: line 5: "));
}

// Guards against reporting success during a store outage, and against a message
// that does not say whether the text may have been written.
BOOST_AUTO_TEST_CASE(SubmitReportsStoreOutage)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  this->writeStatus = StoreStatus::Unknown;
  BOOST_TEST((this->Submit(2000) == ExitCode::Unknown));
  this->readStatus = StoreStatus::Unavailable;
  BOOST_TEST((this->Submit(2000) == ExitCode::Unavailable));
  CheckLines(this->errors,
             { "outcome unknown: lost; see what status says",
               "cannot read the store: outage" });
}

// Guards against losing a move when another operator writes first.
BOOST_AUTO_TEST_CASE(MoveIsRetriedAfterConflict)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  this->beforeWrite = [&]() { this->Submit(2000); };
  BOOST_TEST(
    (this->MakeMoveCommand().RunVersion(
       "till", "2", this->now + std::chrono::minutes(5), {}) == ExitCode::Ok));
  const DesiredState state = this->StoredState();
  BOOST_TEST(state.text == TextWithDeadline(2000));
  BOOST_REQUIRE(state.moves.size() == 1U);
  BOOST_TEST(state.moves[0].id == "m1796378000000-000000ab");
  BOOST_TEST(state.moves[0].fromVersion == "1");
  BOOST_TEST(state.moves[0].toVersion == "2");
  BOOST_TEST(state.moves[0].requestedBy == "ana");
  BOOST_TEST(this->lines.back() ==
             "move m1796378000000-000000ab accepted as version 3");
}

// Guards against adding a move twice when the store's answer to the write is
// lost.
BOOST_AUTO_TEST_CASE(LostWriteAnswerIsResolvedByMoveId)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  for (const bool takesEffect : { true, false }) {
    this->lostWriteTakesEffect = takesEffect;
    this->writeStatus = StoreStatus::Unknown;
    this->now += std::chrono::seconds(1);
    const std::size_t before = this->StoredState().moves.size();
    BOOST_TEST((this->MakeMoveCommand().RunDomain(true, "a", false, {}) ==
                ExitCode::Ok));
    BOOST_TEST(this->StoredState().moves.size() == before + 1);
  }
}

// Guards against accepting a move with an unknown target, an unchanged version
// or a time in the past, and against a refusal without a clear reason.
BOOST_AUTO_TEST_CASE(InvalidMovesAreRefused)
{
  BOOST_TEST((this->MakeMoveCommand().RunDomain(true, "a", false, {}) ==
              ExitCode::Refused));
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  BOOST_TEST((this->MakeMoveCommand().RunDomain(true, "zzz", false, {}) ==
              ExitCode::Refused));
  BOOST_TEST((this->MakeMoveCommand().RunVersion(
                "till", "1", this->now + std::chrono::minutes(5), {}) ==
              ExitCode::Refused));
  BOOST_TEST((this->MakeMoveCommand().RunVersion(
                "till", "2", this->now - std::chrono::minutes(5), {}) ==
              ExitCode::Refused));
  CheckLines(this->errors,
             { "the store holds no text yet; submit one first",
               "move refused: target: is not in the operators' text",
               "move refused: target.to_version: must differ from from_version",
               "move refused: set_time_ms: must not be before asked_at_ms" });
  BOOST_TEST(this->writes == 1);
}

// Guards against taking out a domain whose load the others cannot carry, unless
// the operator insists.
BOOST_AUTO_TEST_CASE(TakingDomainOutWithoutCapacityNeedsInsist)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  this->hasCapacity = false;
  BOOST_TEST((this->MakeMoveCommand().RunDomain(true, "a", false, {}) ==
              ExitCode::Refused));
  BOOST_TEST(this->StoredState().moves.empty());
  BOOST_TEST(this->lines.back() == "till: figures");
  BOOST_TEST(
    (this->MakeMoveCommand().RunDomain(true, "a", true, {}) == ExitCode::Ok));
  BOOST_TEST(this->StoredState().IsDomainOut("a"));
}

// Guards against a wait that ends too early, never ends or does not report the
// result of the move.
BOOST_AUTO_TEST_CASE(WaitEndsWithTheMove)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  int watches = 0;
  this->onWatch = [&]() {
    if (++watches == 2) {
      this->SetMoveState(MoveState::TakenBack, "till list: 9 of 40 failed");
    }
  };
  const auto setTime = this->now + std::chrono::minutes(5);
  BOOST_TEST((this->MakeMoveCommand().RunVersion(
                "till", "2", setTime, std::chrono::seconds(600)) ==
              ExitCode::TakenBack));
  BOOST_TEST(watches == 2);
  BOOST_TEST(this->lines.back() ==
             "move m1796378000000-000000ab: till version 1 to 2 by "
             "2026-12-04T09:58:20Z: taken back, asked at 2026-12-04T09:53:20Z "
             "by ana: till list: 9 of 40 failed");
  this->onWatch = nullptr;
  BOOST_TEST(
    (this->MakeMoveCommand().RunDomain(
       true, "a", false, std::chrono::seconds(60)) == ExitCode::StillRunning));
}

// Guards against a status command that prints nothing from the store when no
// daemon answers.
BOOST_AUTO_TEST_CASE(StatusPrintsHostsAndMoves)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  BOOST_TEST(
    (this->MakeMoveCommand().RunDomain(true, "a", false, {}) == ExitCode::Ok));
  store::HostEntry server;
  server.id = "s1";
  server.service = "till";
  server.version = "1";
  server.address = "127.0.0.1:9000";
  server.domain = "a";
  store::HostEntry entry;
  entry.id = "e1";
  entry.kind = store::HostKind::Entry;
  entry.address = "127.0.0.1:8000";
  entry.operatorAddress = "127.0.0.1:8002";
  entry.domain = "b";
  this->hosts.hosts = { server, entry };
  std::vector<std::string> queriedUrls;
  bool daemonAnswers = true;
  const auto getFromDaemon =
    [&](const std::string& aAddress,
        const std::string& aTarget) -> core::Result<std::string> {
    queriedUrls.push_back(aAddress + aTarget);
    if (!daemonAnswers) {
      return core::Error{ core::ErrorKind::ConnectFailed, "refused" };
    }
    return std::string(R"({"name":"e1","hosts":[{"name":"e1",
      "state":"alive","version":2,"detail":{}}]})");
  };
  this->lines.clear();
  const StatusCommand command(
    this->MakeStoreAccess(), getFromDaemon, this->MakeOutput());
  BOOST_TEST((command.Run("") == ExitCode::Ok));
  const std::vector<std::string> fromStore{
    "listed server s1: till version=1 127.0.0.1:9000 domain=a live",
    "listed entry e1: 127.0.0.1:8000 domain=b live",
    "store: version 2, text version 1 of shop",
    "move m1796378000000-000000ab: domain a out: running, asked at "
    "2026-12-04T09:53:20Z by ana"
  };
  std::vector<std::string> expected{ "daemon 127.0.0.1:8002: name=e1",
                                     "host name=e1 state=alive version=2" };
  expected.insert(expected.end(), fromStore.begin(), fromStore.end());
  CheckLines(this->lines, expected);
  this->lines.clear();
  daemonAnswers = false;
  BOOST_TEST((command.Run("127.0.0.1:7") == ExitCode::Unavailable));
  CheckLines(this->lines, fromStore);
  CheckLines(queriedUrls, { "127.0.0.1:8002/status", "127.0.0.1:7/status" });
  BOOST_TEST(
    (DumpCommand(getFromDaemon, this->MakeOutput()).Run("127.0.0.1:7") ==
     ExitCode::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
