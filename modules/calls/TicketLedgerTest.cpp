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
using Action = TicketUse::Action;

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

  TicketUse Begin(const Ticket& aTicket, std::uint64_t aDigest = 1)
  {
    return this->ledger.Begin(aTicket, aDigest, [](const TicketOutcome&) {});
  }
};

} // namespace

// Guards against a second run: only the first use runs, whatever follows.
BOOST_AUTO_TEST_CASE(OnlyTheFirstUseRuns)
{
  Fixture fixture;
  const Ticket ticket = fixture.ledger.Issue().value();
  BOOST_TEST((fixture.Begin(ticket).action == Action::Run));
  BOOST_TEST((fixture.Begin(ticket).action == Action::Join));
  fixture.ledger.Finish(ticket, Fixture::Complete());
  const TicketUse use = fixture.Begin(ticket);
  BOOST_TEST((use.action == Action::Reply));
  BOOST_TEST((use.outcome.kind == core::ErrorKind::None));
  BOOST_REQUIRE(use.outcome.answer);
  BOOST_TEST(use.outcome.answer->body == "aaaaaaaaaa");
}

// Guards against a delayed copy of a request that runs after its caller was
// told "not run" and has taken another ticket.
BOOST_AUTO_TEST_CASE(NotRunIsFinal)
{
  Fixture fixture;
  const Ticket ticket = fixture.ledger.Issue().value();
  BOOST_TEST((fixture.Begin(ticket).action == Action::Run));
  fixture.ledger.Finish(ticket, { core::ErrorKind::ConnectFailed, nullptr });
  const TicketUse use = fixture.Begin(ticket);
  BOOST_TEST((use.action == Action::Reply));
  BOOST_TEST((use.outcome.kind == core::ErrorKind::ConnectFailed));
}

// Guards against a caller that sends again for ever, because each resend gets
// the same unknown outcome that allows one more.
BOOST_AUTO_TEST_CASE(UnknownOutcomeAllowsNoEndlessResends)
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

// Guards against a ticket that answers for another request.
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

// Guards against a second run after the ledger has forgotten the first: a used
// ticket is remembered up to its expiry and refused from then on.
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
  BOOST_TEST(fixture.ledger.Outstanding() == 0U);
  BOOST_TEST(fixture.ledger.KeptBytes() == 0U);
}

// Guards against a fault when the work outlives its ticket.
BOOST_AUTO_TEST_CASE(FinishAfterExpiryReachesJoinedCalls)
{
  Fixture fixture;
  const Ticket ticket = fixture.ledger.Issue().value();
  fixture.Begin(ticket);
  int heard = 0;
  fixture.ledger.Begin(ticket, 1, [&](const TicketOutcome&) { ++heard; });
  fixture.time += 6min;
  fixture.ledger.Issue().value();
  fixture.ledger.Finish(ticket, Fixture::Complete());
  BOOST_TEST(heard == 1);
  BOOST_TEST(
    (fixture.Begin(ticket).outcome.kind == core::ErrorKind::TicketExpired));
}

// Guards against forged and damaged tickets, which must not run.
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

// Guards against growth with callers that take tickets and never use them.
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

// Guards against the promised memory for one ticket growing unnoticed: 65,536
// tickets must stay within 4 MiB of the daemon's 32 MB.
BOOST_AUTO_TEST_CASE(TicketsFitTheirShareOfMemory)
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

// Guards against a joined call that never gets its answer or gets it after it
// has left.
BOOST_AUTO_TEST_CASE(JoinedCallsGetTheOutcomeOnce)
{
  Fixture fixture;
  const Ticket ticket = fixture.ledger.Issue().value();
  fixture.Begin(ticket);
  int first = 0;
  int second = 0;
  fixture.ledger.Begin(ticket, 1, [&](const TicketOutcome&) { ++first; });
  const TicketUse leaving =
    fixture.ledger.Begin(ticket, 1, [&](const TicketOutcome&) { ++second; });
  fixture.ledger.Leave(ticket, leaving.joinId);
  fixture.ledger.Finish(ticket, Fixture::Complete());
  BOOST_TEST(first == 1);
  BOOST_TEST(second == 0);
}

// Guards against a "not run" for a resend that is refused early although its
// first send may have run.
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

// Guards against two threads that both run the work of one ticket.
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
          const TicketUse use = fixture.ledger.Begin(
            ticket, 1, [&](const TicketOutcome&) { ++answers; });
          if (use.action == Action::Run) {
            ++runs;
            ++answers;
            fixture.ledger.Finish(ticket, Fixture::Complete());
          } else if (use.action == Action::Reply) {
            ++answers;
          }
        }
      });
    }
  }
  BOOST_TEST(runs == 500);
  BOOST_TEST(answers == 2000);
}
