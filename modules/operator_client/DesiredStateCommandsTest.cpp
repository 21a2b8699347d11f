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
TextWithDeadline(int aDeadline)
{
  return R"({ "name": "shop", "weighs_most": "latency",
  "regions": { "north": ["a", "b"] },
  "services": { "till": { "depends_on": [], "slots": 4, "version": "1",
    "calls": { "list": { "method": "GET", "path": "/list",
                         "deadline_ms": )" +
         std::to_string(aDeadline) + "} } } } }";
}

/** A store in memory; a test can act between a command's steps. */
struct Fixture
{
  StoreAccess Access()
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

  CommandOutput Output()
  {
    return {
      [this](std::string_view aLine) { this->lines.emplace_back(aLine); },
      [this](std::string_view aLine) { this->errors.emplace_back(aLine); }
    };
  }

  MoveCommand Move()
  {
    MoveCommand::Hooks hooks;
    hooks.now = [this]() { return this->now; };
    hooks.random = []() { return 0xab; };
    hooks.capacity = [this](const DesiredState&, const std::string&) {
      return MoveCommand::Capacity{ this->hasCapacity, "till: figures" };
    };
    return { this->Access(), hooks, this->Output(), "ana" };
  }

  ExitCode Submit(int aDeadline,
                  std::optional<std::uint64_t> aExpected = std::nullopt)
  {
    return SubmitCommand(this->Access(), this->Output())
      .Run({ "t.json", TextWithDeadline(aDeadline) }, aExpected);
  }

  DesiredState State() const { return DesiredState::Parse(this->body).value(); }

  void SetMoveState(MoveState aState, const std::string& aReason)
  {
    const DesiredState state = this->State();
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

// Guards against a first or later text that is not accepted.
BOOST_AUTO_TEST_CASE(SubmitPutsTextsInForceInOrder)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  BOOST_TEST((this->Submit(2000, 1) == ExitCode::Ok));
  CheckLines(this->lines,
             { "accepted as version 1, text version 1",
               "accepted as version 2, text version 2" });
  BOOST_TEST(this->State().text == TextWithDeadline(2000));
}

// Guards against a loser of a race that overwrites the winner, or does not
// learn which version won.
BOOST_AUTO_TEST_CASE(SubmitNamesTheWinnersVersion)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  this->beforeWrite = [&]() { this->Submit(3000); };
  BOOST_TEST((this->Submit(2000) == ExitCode::Conflict));
  BOOST_TEST(this->State().text == TextWithDeadline(3000));
  BOOST_TEST((this->Submit(2000, 1) == ExitCode::Conflict));
  const std::string line =
    "conflict: another operator was first; the version in the store is 2; "
    "nothing was changed";
  CheckLines(this->errors, { line, line });
}

// Guards against a refused text that changes something.
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

// Guards against an outage that is reported as success or without saying what
// became of the text.
BOOST_AUTO_TEST_CASE(SubmitDuringAnOutageSaysWhatIsKnown)
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

// Guards against a move that is lost when another operator writes first.
BOOST_AUTO_TEST_CASE(MoveIsAddedAgainAfterAConflict)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  this->beforeWrite = [&]() { this->Submit(2000); };
  BOOST_TEST(
    (this->Move().RunVersion(
       "till", "2", this->now + std::chrono::minutes(5), {}) == ExitCode::Ok));
  const DesiredState state = this->State();
  BOOST_TEST(state.text == TextWithDeadline(2000));
  BOOST_REQUIRE(state.moves.size() == 1U);
  BOOST_TEST(state.moves[0].id == "m1796378000000-000000ab");
  BOOST_TEST(state.moves[0].fromVersion == "1");
  BOOST_TEST(state.moves[0].toVersion == "2");
  BOOST_TEST(state.moves[0].askedBy == "ana");
  BOOST_TEST(this->lines.back() ==
             "move m1796378000000-000000ab accepted as version 3");
}

// Guards against a move that is requested twice when its answer is lost.
BOOST_AUTO_TEST_CASE(LostMoveAnswerIsResolvedByTheMovesId)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  for (const bool takesEffect : { true, false }) {
    this->lostWriteTakesEffect = takesEffect;
    this->writeStatus = StoreStatus::Unknown;
    this->now += std::chrono::seconds(1);
    const std::size_t before = this->State().moves.size();
    BOOST_TEST((this->Move().RunDomain(true, "a", false, {}) == ExitCode::Ok));
    BOOST_TEST(this->State().moves.size() == before + 1);
  }
}

// Guards against moves of things that do not exist, without a clear reason.
BOOST_AUTO_TEST_CASE(ImpossibleMovesAreRefused)
{
  BOOST_TEST(
    (this->Move().RunDomain(true, "a", false, {}) == ExitCode::Refused));
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  BOOST_TEST(
    (this->Move().RunDomain(true, "zzz", false, {}) == ExitCode::Refused));
  BOOST_TEST((this->Move().RunVersion(
                "till", "1", this->now + std::chrono::minutes(5), {}) ==
              ExitCode::Refused));
  BOOST_TEST((this->Move().RunVersion(
                "till", "2", this->now - std::chrono::minutes(5), {}) ==
              ExitCode::Refused));
  CheckLines(this->errors,
             { "the store holds no text yet; submit one first",
               "move refused: target: is not in the operators' text",
               "move refused: target.to_version: must differ from from_version",
               "move refused: set_time_ms: must not be before asked_at_ms" });
  BOOST_TEST(this->writes == 1);
}

// Guards against taking out a domain that the others cannot replace.
BOOST_AUTO_TEST_CASE(DomainWithoutSpareCapacityNeedsInsistence)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  this->hasCapacity = false;
  BOOST_TEST(
    (this->Move().RunDomain(true, "a", false, {}) == ExitCode::Refused));
  BOOST_TEST(this->State().moves.empty());
  BOOST_TEST(this->lines.back() == "till: figures");
  BOOST_TEST((this->Move().RunDomain(true, "a", true, {}) == ExitCode::Ok));
  BOOST_TEST(this->State().IsDomainOut("a"));
}

// Guards against a wait that ends too early, never, or without the verdict.
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
  BOOST_TEST(
    (this->Move().RunVersion("till", "2", setTime, std::chrono::seconds(600)) ==
     ExitCode::TakenBack));
  BOOST_TEST(watches == 2);
  BOOST_TEST(this->lines.back() ==
             "move m1796378000000-000000ab: till version 1 to 2 by "
             "2026-12-04T09:58:20Z: taken back, asked at 2026-12-04T09:53:20Z "
             "by ana: till list: 9 of 40 failed");
  this->onWatch = nullptr;
  BOOST_TEST(
    (this->Move().RunDomain(true, "a", false, std::chrono::seconds(60)) ==
     ExitCode::StillRunning));
}

// Guards against a status that hides what can still be read during a failure.
BOOST_AUTO_TEST_CASE(StatusPrintsHostsAndMoves)
{
  BOOST_TEST((this->Submit(1000) == ExitCode::Ok));
  BOOST_TEST((this->Move().RunDomain(true, "a", false, {}) == ExitCode::Ok));
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
  std::vector<std::string> asked;
  bool daemonAnswers = true;
  const auto daemon =
    [&](const std::string& aAddress,
        const std::string& aTarget) -> core::Result<std::string> {
    asked.push_back(aAddress + aTarget);
    if (!daemonAnswers) {
      return core::Error{ core::ErrorKind::ConnectFailed, "refused" };
    }
    return std::string(R"({"name":"e1","hosts":[{"name":"e1",
      "state":"alive","version":2,"detail":{}}]})");
  };
  this->lines.clear();
  const StatusCommand command(this->Access(), daemon, this->Output());
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
  CheckLines(asked, { "127.0.0.1:8002/status", "127.0.0.1:7/status" });
  BOOST_TEST((DumpCommand(daemon, this->Output()).Run("127.0.0.1:7") ==
              ExitCode::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
