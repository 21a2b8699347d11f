#include "calls/CallFlow.h"
#include "core/ErrorTable.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <utility>

using namespace fireflytrail;
using namespace fireflytrail::calls;
using namespace std::chrono_literals;
using core::ErrorKind;

namespace {

struct Fixture
{
  core::TimePoint time{ 1h };
  TicketLedger ledger{ { "host-1", 5 }, 77, [this] { return this->time; } };
  CrashGuard guard{ [this] { return this->time; } };
  std::uint64_t nextServer = 1;
  std::optional<ErrorKind> choiceError;
  bool retryAllowed = true;
  IssuerState issuerState = IssuerState::Reachable;
  TicketOutcome joinedOutcome;
  int joinedCount = 0;

  CallHooks Hooks()
  {
    CallHooks hooks;
    hooks.now = [this] { return this->time; };
    hooks.chooseServer =
      [this](
        std::span<const std::uint64_t> aAvoid) -> core::Result<ServerHandle> {
      if (this->choiceError) {
        return core::Error{ *this->choiceError, "" };
      }
      for (const std::uint64_t avoided : aAvoid) {
        BOOST_TEST(avoided != this->nextServer);
      }
      return ServerHandle{ this->nextServer++, nullptr };
    };
    hooks.tryChargeRetry = [this] { return this->retryAllowed; };
    hooks.issuerState = [this](const core::DaemonId&) {
      return this->issuerState;
    };
    hooks.onTicketFinished = [this](const TicketOutcome& aOutcome) {
      this->joinedOutcome = aOutcome;
      ++this->joinedCount;
    };
    return hooks;
  }

  CallRequest Request() const
  {
    CallRequest request;
    request.digest = 1;
    request.deadline = this->time + 1s;
    return request;
  }

  CallRequest TicketRequest()
  {
    CallRequest request = this->Request();
    request.atMostOnce = true;
    request.ticket = this->ledger.Issue().value().Text();
    return request;
  }

  CallFlow Flow(CallRequest aRequest)
  {
    return { std::move(aRequest), this->Hooks(), this->ledger, this->guard };
  }
};

AttemptResult
Failed(AttemptProgress aProgress, std::uint64_t aDeath = 0)
{
  AttemptResult result;
  result.progress = aProgress;
  result.death = aDeath;
  return result;
}

AttemptResult
Answered(unsigned aStatus = 200)
{
  auto answer = std::make_shared<Answer>();
  answer->status = aStatus;
  AttemptResult result;
  result.progress = AttemptProgress::Answered;
  result.answer = std::move(answer);
  return result;
}

ErrorKind
AnswerKind(const CallStep& aStep)
{
  BOOST_REQUIRE(std::holds_alternative<AnswerStep>(aStep));
  return std::get<AnswerStep>(aStep).kind;
}

bool
IsSend(const CallStep& aStep)
{
  return std::holds_alternative<SendStep>(aStep);
}

} // namespace

// Guards against losing the answer of a call without faults, and against not
// passing the deadline on to the server.
BOOST_AUTO_TEST_CASE(PassesOnTheAnswer)
{
  Fixture fixture;
  CallFlow flow = fixture.Flow(fixture.Request());
  const CallStep step = flow.Begin();
  BOOST_REQUIRE(IsSend(step));
  BOOST_TEST((std::get<SendStep>(step).timeLeft == 999ms));
  const CallStep last = flow.AttemptEnded(Answered(404));
  BOOST_TEST((AnswerKind(last) == ErrorKind::None));
  BOOST_TEST(std::get<AnswerStep>(last).answer->status == 404U);
  BOOST_TEST(flow.HasEnded());
}

// Guards against a retry that may run a request twice, for each progress of a
// failed attempt and each kind of request.
BOOST_AUTO_TEST_CASE(RetriesOnlyWhereARetryIsSafe)
{
  for (const bool repeatable : { false, true }) {
    for (const bool ticket : { false, true }) {
      for (const auto progress : { AttemptProgress::NothingSent,
                                   AttemptProgress::Refused,
                                   AttemptProgress::SentNoAnswer,
                                   AttemptProgress::AnswerTruncated,
                                   AttemptProgress::AnswerInvalid }) {
        Fixture fixture;
        CallRequest request =
          ticket ? fixture.TicketRequest() : fixture.Request();
        request.repeatable = repeatable;
        CallFlow flow = fixture.Flow(request);
        BOOST_REQUIRE(IsSend(flow.Begin()));
        const bool sentAgain = IsSend(flow.AttemptEnded(Failed(progress)));
        const bool isSafe =
          !MayHaveRun(progress) ||
          (repeatable && !ticket && progress != AttemptProgress::AnswerInvalid);
        BOOST_TEST(sentAgain == isSafe);
      }
    }
  }
}

// Guards against a false "not run" when the retry of a repeatable call was not
// run, but the first attempt may have been.
BOOST_AUTO_TEST_CASE(EarlierUnknownOutcomeOverridesNotRun)
{
  for (int ending = 0; ending < 4; ++ending) {
    Fixture fixture;
    CallRequest request = fixture.Request();
    request.repeatable = true;
    CallFlow flow = fixture.Flow(request);
    flow.Begin();
    CallStep step = WaitStep{};
    if (ending == 0) {
      fixture.choiceError = ErrorKind::NoServer;
    } else if (ending == 1) {
      fixture.time += 2s;
    }
    step = flow.AttemptEnded(Failed(AttemptProgress::SentNoAnswer));
    if (ending == 2) {
      step = flow.AttemptEnded(Failed(AttemptProgress::Refused));
    } else if (ending == 3) {
      step = flow.DeadlineReached(AttemptProgress::NothingSent);
    }
    BOOST_TEST((AnswerKind(step) == ErrorKind::ConnectionLost));
  }
}

// Guards against a false "not run" when the deadline is reached while the
// request is partly sent.
BOOST_AUTO_TEST_CASE(DeadlineKindDependsOnWhetherAByteLeft)
{
  Fixture fixture;
  CallFlow unsent = fixture.Flow(fixture.Request());
  unsent.Begin();
  BOOST_TEST(
    (AnswerKind(unsent.DeadlineReached(AttemptProgress::NothingSent)) ==
     ErrorKind::DeadlineBeforeSend));
  CallFlow partlySent = fixture.Flow(fixture.Request());
  partlySent.Begin();
  const CallStep step =
    partlySent.DeadlineReached(AttemptProgress::SentNoAnswer);
  BOOST_TEST((AnswerKind(step) == ErrorKind::DeadlineAfterSend));
  BOOST_TEST(!std::get<AnswerStep>(step).attemptContinues);
}

// Guards against discarding an answer that arrives after the deadline, although
// a resend with the same ticket could receive it.
BOOST_AUTO_TEST_CASE(LateAnswerOfATicketIsKept)
{
  Fixture fixture;
  const CallRequest request = fixture.TicketRequest();
  CallFlow flow = fixture.Flow(request);
  flow.Begin();
  fixture.time += 1s;
  const CallStep step = flow.DeadlineReached(AttemptProgress::SentNoAnswer);
  BOOST_TEST((AnswerKind(step) == ErrorKind::DeadlineAfterSend));
  BOOST_TEST(std::get<AnswerStep>(step).attemptContinues);

  CallRequest resent = request;
  resent.deadline = fixture.time + 1s;
  CallFlow joined = fixture.Flow(resent);
  BOOST_TEST(std::holds_alternative<WaitStep>(joined.Begin()));
  const CallStep last = flow.AttemptEnded(Answered(201));
  BOOST_TEST(!std::get<AnswerStep>(last).deliver);
  BOOST_REQUIRE_EQUAL(fixture.joinedCount, 1);
  const CallStep joinedStep = joined.TicketFinished(fixture.joinedOutcome);
  BOOST_TEST((AnswerKind(joinedStep) == ErrorKind::None));
  BOOST_TEST(std::get<AnswerStep>(joinedStep).answer->status == 201U);

  CallFlow third = fixture.Flow(resent);
  const CallStep kept = third.Begin();
  BOOST_TEST((AnswerKind(kept) == ErrorKind::None));
}

// Guards against an attempt of a call with a ticket that continues forever, and
// against a second run after the attempt has timed out.
BOOST_AUTO_TEST_CASE(AttemptWithoutAnswerFinishesItsTicket)
{
  Fixture fixture;
  CallRequest request = fixture.TicketRequest();
  CallFlow flow = fixture.Flow(request);
  flow.Begin();
  flow.DeadlineReached(AttemptProgress::SentNoAnswer);
  const CallStep step = flow.DeadlineReached(AttemptProgress::SentNoAnswer);
  BOOST_TEST(!std::get<AnswerStep>(step).deliver);
  BOOST_TEST(flow.HasEnded());
  CallFlow resent = fixture.Flow(request);
  BOOST_TEST((AnswerKind(resent.Begin()) == ErrorKind::TicketAnswerDropped));
}

// Guards against cancelling an attempt with a ticket because the caller's
// connection was lost, and against continuing one without a ticket.
BOOST_AUTO_TEST_CASE(CallerGoneCancelsOnlyCallsWithoutTicket)
{
  Fixture fixture;
  CallFlow plain = fixture.Flow(fixture.Request());
  plain.Begin();
  const CallStep step = plain.CallerGone(AttemptProgress::SentNoAnswer);
  BOOST_TEST((AnswerKind(step) == ErrorKind::CallerGone));
  BOOST_TEST(!std::get<AnswerStep>(step).attemptContinues);
  BOOST_TEST(std::get<AnswerStep>(step).deliver);

  const CallRequest request = fixture.TicketRequest();
  CallFlow flow = fixture.Flow(request);
  flow.Begin();
  BOOST_TEST(std::holds_alternative<WaitStep>(
    flow.CallerGone(AttemptProgress::NothingSent)));
  flow.AttemptEnded(Answered());
  CallFlow resent = fixture.Flow(request);
  BOOST_TEST((AnswerKind(resent.Begin()) == ErrorKind::None));
}

// Guards against a caller that has closed its sending side and gets no answer,
// or one that is not true.
BOOST_AUTO_TEST_CASE(CallerThatClosedIsAnswered)
{
  Fixture fixture;
  CallFlow unsent = fixture.Flow(fixture.Request());
  unsent.Begin();
  const CallStep notRun = unsent.CallerGone(AttemptProgress::NothingSent);
  BOOST_TEST((AnswerKind(notRun) == ErrorKind::CallerClosed));
  BOOST_TEST(std::get<AnswerStep>(notRun).deliver);

  CallRequest repeatable = fixture.Request();
  repeatable.repeatable = true;
  CallFlow retried = fixture.Flow(repeatable);
  retried.Begin();
  retried.AttemptEnded(Failed(AttemptProgress::SentNoAnswer));
  const CallStep unknown = retried.CallerGone(AttemptProgress::NothingSent);
  BOOST_TEST((AnswerKind(unknown) == ErrorKind::ConnectionLost));

  CallFlow ticketed = fixture.Flow(fixture.TicketRequest());
  ticketed.Begin();
  BOOST_TEST(std::holds_alternative<WaitStep>(
    ticketed.CallerGone(AttemptProgress::SentNoAnswer)));
  const CallStep answered = ticketed.AttemptEnded(Answered());
  BOOST_TEST((AnswerKind(answered) == ErrorKind::None));
  BOOST_TEST(std::get<AnswerStep>(answered).deliver);
}

// Guards against running an at-most-once call without a valid ticket.
BOOST_AUTO_TEST_CASE(RequiresATicket)
{
  Fixture fixture;
  CallRequest request = fixture.Request();
  request.atMostOnce = true;
  CallFlow flow = fixture.Flow(request);
  BOOST_TEST((AnswerKind(flow.Begin()) == ErrorKind::TicketRequired));
  request.ticket = "nonsense";
  CallFlow invalid = fixture.Flow(request);
  BOOST_TEST((AnswerKind(invalid.Begin()) == ErrorKind::TicketInvalid));
}

// Guards against a daemon that runs a call with a ticket of another daemon or
// reports "not run" for it: the call may be a resend.
BOOST_AUTO_TEST_CASE(OnlyTheIssuerRunsOrReportsNotRun)
{
  Fixture fixture;
  Ticket foreign;
  foreign.issuer = { "host-2", 9 };
  CallRequest request = fixture.Request();
  request.atMostOnce = true;
  request.ticket = foreign.Text();

  for (const auto progress :
       { AttemptProgress::NothingSent, AttemptProgress::SentNoAnswer }) {
    CallFlow flow = fixture.Flow(request);
    BOOST_REQUIRE(std::holds_alternative<ForwardStep>(flow.Begin()));
    BOOST_TEST((AnswerKind(flow.AttemptEnded(Failed(progress))) ==
                ErrorKind::IssuerUnreachable));
    CallFlow late = fixture.Flow(request);
    late.Begin();
    const auto kind = AnswerKind(late.DeadlineReached(progress));
    BOOST_TEST(
      (core::ErrorTable::RowOf(kind).outcome == core::CallOutcome::Unknown));
  }

  CallFlow relayed = fixture.Flow(request);
  relayed.Begin();
  AttemptResult notRun;
  notRun.progress = AttemptProgress::Answered;
  notRun.issuerKind = ErrorKind::ConnectFailed;
  BOOST_TEST(
    (AnswerKind(relayed.AttemptEnded(notRun)) == ErrorKind::ConnectFailed));

  fixture.issuerState = IssuerState::Gone;
  CallFlow gone = fixture.Flow(request);
  BOOST_TEST((AnswerKind(gone.Begin()) == ErrorKind::IssuerGone));
  fixture.issuerState = IssuerState::Unreachable;
  CallFlow unreachable = fixture.Flow(request);
  BOOST_TEST((AnswerKind(unreachable.Begin()) == ErrorKind::IssuerUnreachable));
  request.forwarded = true;
  CallFlow forwarded = fixture.Flow(request);
  BOOST_TEST((AnswerKind(forwarded.Begin()) == ErrorKind::IssuerGone));

  for (const auto kind : { ErrorKind::Stopping, ErrorKind::UnknownService }) {
    BOOST_TEST((CallFlow::RefusalKind(kind, request.ticket, fixture.ledger) ==
                ErrorKind::IssuerUnreachable));
    BOOST_TEST((CallFlow::RefusalKind(kind, "", fixture.ledger) == kind));
  }
}

// Guards against a restarted daemon that runs calls with tickets issued by its
// previous process.
BOOST_AUTO_TEST_CASE(TicketOfAnEarlierProcessIsGone)
{
  Fixture fixture;
  Ticket earlier;
  earlier.issuer = { "host-1", 4 };
  CallRequest request = fixture.Request();
  request.ticket = earlier.Text();
  CallFlow flow = fixture.Flow(request);
  BOOST_TEST((AnswerKind(flow.Begin()) == ErrorKind::IssuerGone));
}

// Guards against retries of nested calls that a retry has caused: the load
// would multiply with the call depth.
BOOST_AUTO_TEST_CASE(NestedCallsOfARetryAreNotRetried)
{
  Fixture fixture;
  CallRequest request = fixture.Request();
  request.attempt = 1;
  CallFlow flow = fixture.Flow(request);
  const CallStep step = flow.Begin();
  BOOST_TEST(std::get<SendStep>(step).attempt == 1U);
  BOOST_TEST((AnswerKind(flow.AttemptEnded(Failed(
                AttemptProgress::NothingSent))) == ErrorKind::ConnectFailed));
}

// Guards against retries beyond the budget, and against a retry whose `Attempt`
// number does not mark it as one.
BOOST_AUTO_TEST_CASE(RetriesAreNumberedAndCharged)
{
  Fixture fixture;
  CallFlow flow = fixture.Flow(fixture.Request());
  flow.Begin();
  const CallStep retry = flow.AttemptEnded(Failed(AttemptProgress::Refused));
  BOOST_REQUIRE(IsSend(retry));
  BOOST_TEST(std::get<SendStep>(retry).attempt == 1U);
  fixture.retryAllowed = false;
  BOOST_TEST((AnswerKind(flow.AttemptEnded(Failed(AttemptProgress::Refused))) ==
              ErrorKind::ServerRefused));
}

// Guards against a request that crashes a fourth server, and against answering
// before the other daemons can have received the record of the death.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedAfterThreeServers)
{
  Fixture fixture;
  std::uint64_t death = 0;
  unsigned sends = 0;
  ErrorKind kind = ErrorKind::None;
  for (int call = 0; call < 5; ++call) {
    CallRequest request = fixture.Request();
    request.repeatable = true;
    request.deadline = fixture.time + 5s;
    CallFlow flow = fixture.Flow(request);
    CallStep step = flow.Begin();
    while (IsSend(step)) {
      ++sends;
      step = flow.AttemptEnded(Failed(AttemptProgress::SentNoAnswer, ++death));
      if (!IsSend(step)) {
        BOOST_TEST(std::get<AnswerStep>(step).answerDelay.count() > 0);
      }
    }
    kind = AnswerKind(step);
  }
  BOOST_TEST(sends == 3U);
  BOOST_TEST((kind == ErrorKind::RequestCrashesServers));
}

// Guards against a ticket that stays in the running state forever because its
// flow was destroyed early; resends must get an unknown outcome.
BOOST_AUTO_TEST_CASE(DestroyedFlowFinishesItsTicket)
{
  Fixture fixture;
  const CallRequest request = fixture.TicketRequest();
  {
    CallFlow flow = fixture.Flow(request);
    flow.Begin();
  }
  CallFlow resent = fixture.Flow(request);
  BOOST_TEST((AnswerKind(resent.Begin()) == ErrorKind::TicketAnswerDropped));
}

namespace {

CallHooks
AsyncChoiceHooks(Fixture& aFixture)
{
  CallHooks hooks = aFixture.Hooks();
  hooks.chooseServer = nullptr;
  return hooks;
}

const calls::SendStep&
SendOf(const CallStep& aStep)
{
  BOOST_REQUIRE(std::holds_alternative<SendStep>(aStep));
  return std::get<SendStep>(aStep);
}

const AnswerStep&
AnswerOfStep(const CallStep& aStep)
{
  BOOST_REQUIRE(std::holds_alternative<AnswerStep>(aStep));
  return std::get<AnswerStep>(aStep);
}

} // namespace

// Guards against a call that waits for a server beyond its deadline, and
// against reporting an unknown outcome for it.
BOOST_FIXTURE_TEST_CASE(ACallThatWaitsForAServerEndsAsNotRun, Fixture)
{
  CallFlow flow(
    this->Request(), AsyncChoiceHooks(*this), this->ledger, this->guard);
  BOOST_TEST(std::holds_alternative<ChooseStep>(flow.Begin()));
  const CallStep step = flow.DeadlineReached(AttemptProgress::NothingSent);
  BOOST_TEST((AnswerOfStep(step).kind == ErrorKind::DeadlineBeforeSend));
}

// Guards against sending after the deadline because choosing a server was slow.
BOOST_FIXTURE_TEST_CASE(ALateChoiceIsNotSent, Fixture)
{
  CallFlow flow(
    this->Request(), AsyncChoiceHooks(*this), this->ledger, this->guard);
  flow.Begin();
  this->time += 1s;
  const CallStep step = flow.ServerChosen(ServerHandle{ 1, nullptr });
  BOOST_TEST((AnswerOfStep(step).kind == ErrorKind::DeadlineBeforeSend));
}

// Guards against replacing a server's failure answer by an error of the daemon
// when no server is available for the retry.
BOOST_FIXTURE_TEST_CASE(AFailureIsPassedOnIfTheRetryFindsNoServer, Fixture)
{
  CallRequest request = this->Request();
  request.repeatable = true;
  CallFlow flow(request, AsyncChoiceHooks(*this), this->ledger, this->guard);
  flow.Begin();
  SendOf(flow.ServerChosen(ServerHandle{ 1, nullptr }));
  auto answer = std::make_shared<Answer>();
  answer->status = 500;
  AttemptResult result{ .progress = AttemptProgress::Answered,
                        .answer = answer };
  result.isFailure = true;
  const CallStep retry = flow.AttemptEnded(result);
  BOOST_REQUIRE(std::holds_alternative<ChooseStep>(retry));
  BOOST_TEST(std::get<ChooseStep>(retry).isRetry);
  BOOST_TEST(std::get<ChooseStep>(retry).avoid.size() == 1U);
  const CallStep step =
    flow.ServerChosen(core::Error{ ErrorKind::Overloaded, "" });
  BOOST_TEST((AnswerOfStep(step).kind == ErrorKind::None));
  BOOST_TEST(AnswerOfStep(step).answer->status == 500U);
}

// Guards against a second run of a request that is not repeatable after a
// server has answered with a failure.
BOOST_FIXTURE_TEST_CASE(AFailureIsNotRetriedUnlessRepeatable, Fixture)
{
  CallRequest request = this->Request();
  request.repeatable = false;
  CallFlow flow(request, AsyncChoiceHooks(*this), this->ledger, this->guard);
  flow.Begin();
  SendOf(flow.ServerChosen(ServerHandle{ 1, nullptr }));
  auto answer = std::make_shared<Answer>();
  answer->status = 500;
  AttemptResult result{ .progress = AttemptProgress::Answered,
                        .answer = answer };
  result.isFailure = true;
  const CallStep step = flow.AttemptEnded(result);
  BOOST_TEST(AnswerOfStep(step).answer->status == 500U);
}

// Guards against more retries than the operators allow for a route.
BOOST_FIXTURE_TEST_CASE(RespectsTheRetryLimitOfTheRequest, Fixture)
{
  CallRequest request = this->Request();
  request.repeatable = true;
  request.maxRetries = 0;
  CallFlow flow(request, AsyncChoiceHooks(*this), this->ledger, this->guard);
  flow.Begin();
  SendOf(flow.ServerChosen(ServerHandle{ 1, nullptr }));
  const CallStep step =
    flow.AttemptEnded({ .progress = AttemptProgress::Refused });
  BOOST_TEST((AnswerOfStep(step).kind == ErrorKind::ServerRefused));
}
