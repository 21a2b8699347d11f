#include "calls/TicketLedger.h"
#include "core/ErrorTable.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::calls;
using namespace std::chrono_literals;
using Action = TicketDecision::Action;

namespace {

struct Fixture
{
  core::TimePoint time{ 1h };
  TicketLedger ledger;

  explicit Fixture(TicketLimits aLimits = {})
    : ledger(
        { "host-1", 5 },
        77,
        [this] { return this->time; },
        aLimits)
  {
  }

  static TicketOutcome Complete(std::size_t aBytes = 10)
  {
    auto answer = std::make_shared<Answer>();
    answer->status = 200;
    answer->body.assign(aBytes, 'a');
    return { core::ErrorKind::None, std::move(answer) };
  }

  TicketDecision Begin(const Ticket& aTicket, std::uint64_t aDigest = 1)
  {
    return this->ledger.Begin(aTicket, aDigest, [](const TicketOutcome&) {});
  }
};

} // namespace

// Guards against running the request of a ticket twice: only the first use runs
// it, both while it is running and after it has finished.
BOOST_AUTO_TEST_CASE(OnlyTheFirstUseRuns)
{
  Fixture fixture;
  const Ticket ticket = fixture.ledger.Issue().value();
  BOOST_TEST((fixture.Begin(ticket).action == Action::Run));
  BOOST_TEST((fixture.Begin(ticket).action == Action::Join));
  fixture.ledger.Finish(ticket, Fixture::Complete());
  const TicketDecision decision = fixture.Begin(ticket);
  BOOST_TEST((decision.action == Action::Reply));
  BOOST_TEST((decision.outcome.kind == core::ErrorKind::None));
  BOOST_REQUIRE(decision.outcome.answer);
  BOOST_TEST(decision.outcome.answer->body == "aaaaaaaaaa");
}

// Guards against a delayed copy of a request that runs after "not run" was
// reported and the caller may have sent the request with another ticket.
BOOST_AUTO_TEST_CASE(NotRunIsFinal)
{
  Fixture fixture;
  const Ticket ticket = fixture.ledger.Issue().value();
  BOOST_TEST((fixture.Begin(ticket).action == Action::Run));
  fixture.ledger.Finish(ticket, { core::ErrorKind::ConnectFailed, nullptr });
  const TicketDecision decision = fixture.Begin(ticket);
  BOOST_TEST((decision.action == Action::Reply));
  BOOST_TEST((decision.outcome.kind == core::ErrorKind::ConnectFailed));
}

// Guards against endless resends: each resend would get the same unknown
// outcome, which allows another one.
BOOST_AUTO_TEST_CASE(UnknownOutcomeStopsFurtherResends)
{
  for (const core::ErrorRow& row : core::ErrorTable::Rows()) {
    if (row.outcome != core::CallOutcome::Unknown) {
      continue;
    }
    Fixture fixture;
    const Ticket ticket = fixture.ledger.Issue().value();
    fixture.Begin(ticket);
    fixture.ledger.Finish(ticket, { row.kind, nullptr });
    const auto kind = fixture.Begin(ticket).outcome.kind;
    const core::ErrorRow& resent = core::ErrorTable::RowOf(kind);
    BOOST_TEST((resent.outcome == core::CallOutcome::Unknown), row.name);
    BOOST_TEST((resent.callerMayResend == core::ResendRule::Never), row.name);
  }
}

// Guards against a ticket that returns the answer of a different request.
BOOST_AUTO_TEST_CASE(BindsToTheFirstRequest)
{
  Fixture fixture;
  const Ticket ticket = fixture.ledger.Issue().value();
  BOOST_TEST((fixture.Begin(ticket, 1).action == Action::Run));
  BOOST_TEST(
    (fixture.Begin(ticket, 2).outcome.kind == core::ErrorKind::TicketMismatch));
  fixture.ledger.Finish(ticket, Fixture::Complete());
  BOOST_TEST(
    (fixture.Begin(ticket, 2).outcome.kind == core::ErrorKind::TicketMismatch));
}

// Guards against a second run after the ledger has removed the record of the
// first: a used ticket is kept until its expiry and refused from then on.
BOOST_AUTO_TEST_CASE(RemembersUsedTicketsUntilTheyExpire)
{
  Fixture fixture;
  const Ticket ticket = fixture.ledger.Issue().value();
  fixture.Begin(ticket);
  fixture.ledger.Finish(ticket, Fixture::Complete());
  fixture.time += 5min - 1ms;
  BOOST_TEST((fixture.Begin(ticket).outcome.kind == core::ErrorKind::None));
  fixture.time += 1ms;
  BOOST_TEST(
    (fixture.Begin(ticket).outcome.kind == core::ErrorKind::TicketExpired));
  BOOST_TEST(fixture.ledger.UnexpiredCount() == 0U);
  BOOST_TEST(fixture.ledger.KeptBytes() == 0U);
}

// Guards against joined calls that get no outcome because the ticket expired
// while its request was running.
BOOST_AUTO_TEST_CASE(FinishAfterExpiryReachesJoinedCalls)
{
  Fixture fixture;
  const Ticket ticket = fixture.ledger.Issue().value();
  fixture.Begin(ticket);
  int callbackCount = 0;
  fixture.ledger.Begin(
    ticket, 1, [&](const TicketOutcome&) { ++callbackCount; });
  fixture.time += 6min;
  fixture.ledger.Issue().value();
  fixture.ledger.Finish(ticket, Fixture::Complete());
  BOOST_TEST(callbackCount == 1);
  BOOST_TEST(
    (fixture.Begin(ticket).outcome.kind == core::ErrorKind::TicketExpired));
}

// Guards against running requests with forged or corrupted tickets.
BOOST_AUTO_TEST_CASE(RefusesTicketsThatItDidNotIssue)
{
  Fixture fixture;
  Ticket ticket = fixture.ledger.Issue().value();
  ++ticket.sequence;
  BOOST_TEST(
    (fixture.Begin(ticket).outcome.kind == core::ErrorKind::TicketInvalid));
  ticket.check = ticket.CheckFor(77);
  BOOST_TEST(
    (fixture.Begin(ticket).outcome.kind == core::ErrorKind::TicketInvalid));
  BOOST_TEST(!fixture.ledger.Owns({ "host-1", 6 }));
}

// Guards against unbounded memory when callers request tickets and never use
// them.
BOOST_AUTO_TEST_CASE(LimitsUnexpiredTickets)
{
  Fixture fixture({ .tickets = 3 });
  for (int count = 0; count < 3; ++count) {
    BOOST_TEST(bool(fixture.ledger.Issue()));
  }
  BOOST_TEST(
    (fixture.ledger.Issue().error().kind == core::ErrorKind::Overloaded));
  fixture.time += 5min;
  BOOST_TEST(bool(fixture.ledger.Issue()));
}

// Guards against more memory per ticket than planned: 65,536 tickets must fit
// into 4 MiB of the daemon's 32 MB.
BOOST_AUTO_TEST_CASE(TicketMemoryIsBounded)
{
  BOOST_TEST_MESSAGE("bytes per ticket: " << TicketLedger::kBytesPerTicket);
  BOOST_TEST(TicketLedger::kBytesPerTicket <= 64U);
}

// Guards against unbounded memory for answers, and against a dropped answer
// that leads to a second run.
BOOST_AUTO_TEST_CASE(DropsOldestAnswersFirst)
{
  const std::size_t bytes = Fixture::Complete(100).answer->Bytes();
  Fixture fixture({ .answerBytes = 2 * bytes });
  std::vector<Ticket> tickets;
  for (int count = 0; count < 3; ++count) {
    tickets.push_back(fixture.ledger.Issue().value());
    fixture.Begin(tickets.back());
    fixture.ledger.Finish(tickets.back(), Fixture::Complete(100));
    BOOST_TEST(fixture.ledger.KeptBytes() <= 2 * bytes);
  }
  BOOST_TEST((fixture.Begin(tickets[0]).outcome.kind ==
              core::ErrorKind::TicketAnswerDropped));
  BOOST_TEST((fixture.Begin(tickets[1]).outcome.kind == core::ErrorKind::None));
  BOOST_TEST((fixture.Begin(tickets[2]).outcome.kind == core::ErrorKind::None));
  const Ticket large = fixture.ledger.Issue().value();
  fixture.Begin(large);
  fixture.ledger.Finish(large, Fixture::Complete(1000));
  BOOST_TEST((fixture.Begin(large).outcome.kind ==
              core::ErrorKind::TicketAnswerDropped));
  BOOST_TEST((fixture.Begin(tickets[1]).outcome.kind == core::ErrorKind::None));
}

// Guards against a joined call that never gets the outcome, or gets it after
// its join was cancelled.
BOOST_AUTO_TEST_CASE(JoinedCallsGetTheOutcomeOnce)
{
  Fixture fixture;
  const Ticket ticket = fixture.ledger.Issue().value();
  fixture.Begin(ticket);
  int first = 0;
  int second = 0;
  fixture.ledger.Begin(ticket, 1, [&](const TicketOutcome&) { ++first; });
  const TicketDecision cancelled =
    fixture.ledger.Begin(ticket, 1, [&](const TicketOutcome&) { ++second; });
  fixture.ledger.CancelJoin(ticket, cancelled.joinId);
  fixture.ledger.Finish(ticket, Fixture::Complete());
  BOOST_TEST(first == 1);
  BOOST_TEST(second == 0);
}

// Guards against reporting "not run" for a refused resend although the request
// may have run when it was first sent.
BOOST_AUTO_TEST_CASE(RefusalOfAUsedTicketIsUnknown)
{
  Fixture fixture;
  const Ticket used = fixture.ledger.Issue().value();
  fixture.Begin(used);
  BOOST_TEST((fixture.ledger.Refuse(used, core::ErrorKind::Stopping) ==
              core::ErrorKind::IssuerUnreachable));
  const Ticket unused = fixture.ledger.Issue().value();
  BOOST_TEST((fixture.ledger.Refuse(unused, core::ErrorKind::Stopping) ==
              core::ErrorKind::Stopping));
  BOOST_TEST((fixture.Begin(unused).outcome.kind == core::ErrorKind::Stopping));
}

// Guards against two threads that both run the request of one ticket.
BOOST_AUTO_TEST_CASE(ConcurrentUsesRunOnce)
{
  Fixture fixture;
  std::vector<Ticket> tickets;
  tickets.reserve(500);
  for (int count = 0; count < 500; ++count) {
    tickets.push_back(fixture.ledger.Issue().value());
  }
  std::atomic<int> runs{ 0 };
  std::atomic<int> answers{ 0 };
  {
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
      threads.emplace_back([&] {
        for (const Ticket& ticket : tickets) {
          const TicketDecision decision = fixture.ledger.Begin(
            ticket, 1, [&](const TicketOutcome&) { ++answers; });
          if (decision.action == Action::Run) {
            ++runs;
            ++answers;
            fixture.ledger.Finish(ticket, Fixture::Complete());
          } else if (decision.action == Action::Reply) {
            ++answers;
          }
        }
      });
    }
  }
  BOOST_TEST(runs == 500);
  BOOST_TEST(answers == 2000);
}
