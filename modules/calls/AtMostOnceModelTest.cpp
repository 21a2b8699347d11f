#include "calls/CallFlow.h"
#include "core/ErrorTable.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::calls;
using namespace std::chrono_literals;
using core::CallOutcome;
using core::ErrorKind;

namespace {

constexpr auto kLifetime = 1000ms;
constexpr std::size_t kTicketCount = 2;

/** Bounds of one exploration. */
struct Bounds
{
  std::size_t hosts;
  /** Number of times that the caller may send the request. */
  unsigned sends;
  /** Maximum number of events in a sequence. */
  std::size_t maxEvents;
};

/** State of one attempt to send the request to a server. */
enum class RequestState : std::uint8_t
{
  Connecting,
  Written,
  Ran,
  /** The connection was lost or closed; the server may still run it. */
  Orphaned,
  Gone,
};

/** Kinds of events. */
enum class EventKind : std::uint8_t
{
  CallerSends,
  ConnectFails,
  Write,
  ServerRuns,
  ServerRefuses,
  ConnectionLost,
  AnswerArrives,
  AnswerTruncated,
  ForwardFails,
  ForwardWritten,
  ForwardDelivered,
  ForwardLost,
  ForwardAnswered,
  JoinedDelivered,
  Deadline,
  CallerGone,
  IssuerRestarts,
  TicketsExpire,
};

struct Event
{
  EventKind input;
  /** Index of a flow, or of a host for `CallerSends`. */
  std::size_t index = 0;
};

/**
 * Model of one at-most-once request that its caller may send at any time
 * through any host, and with a second ticket only after "not run". Host 0
 * issues both tickets. Each answer, message and run on a server is a separate
 * event, so that the exploration covers all their orders.
 */
class Model
{
public:
  explicit Model(const Bounds& aBounds)
    : bounds(aBounds)
  {
    for (std::size_t host = 0; host < this->bounds.hosts; ++host) {
      this->hosts.push_back(this->NewHost(host, 1));
    }
    for (std::string& ticket : this->tickets) {
      ticket = this->hosts[0]->ledger.Issue().value().Text();
    }
  }

  ~Model() = default;

  Model(const Model&) = delete;
  Model& operator=(const Model&) = delete;

  /** Returns the events that are possible in the current state. */
  std::vector<Event> Events() const
  {
    std::vector<Event> events;
    if (this->sends < this->bounds.sends && !this->isComplete) {
      for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        events.push_back({ EventKind::CallerSends, host });
      }
    }
    for (std::size_t index = 0; index < this->flows.size(); ++index) {
      this->AddEventsOf(index, events);
    }
    if (this->restarts == 0) {
      events.push_back({ EventKind::IssuerRestarts });
    }
    if (!this->hasExpired) {
      events.push_back({ EventKind::TicketsExpire });
    }
    return events;
  }

  void Apply(const Event& aEvent)
  {
    switch (aEvent.input) {
      case EventKind::CallerSends:
        ++this->sends;
        this->StartFlow(aEvent.index, this->ticketInUse, std::nullopt);
        return;
      case EventKind::IssuerRestarts:
        this->RestartIssuer();
        return;
      case EventKind::TicketsExpire:
        this->hasExpired = true;
        this->time += kLifetime;
        return;
      default:
        this->ApplyToFlow(aEvent.input, aEvent.index);
    }
  }

  /** Returns the violated guarantee, or an empty text. */
  std::string Violation() const
  {
    unsigned all = 0;
    for (std::size_t ticket = 0; ticket < kTicketCount; ++ticket) {
      all += this->runs[ticket];
      if (this->notRunReported[ticket] && this->runs[ticket] > 0) {
        return "a call reported as not run has run";
      }
      if (this->completeReported[ticket] && this->runs[ticket] == 0) {
        return "a call reported as complete has not run";
      }
    }
    return all > 1 ? "the request has run twice" : "";
  }

  /**
   * Returns a text that is equal for states from which the same events can
   * follow. States with a known text are not explored again.
   */
  std::string Fingerprint() const
  {
    std::vector<std::string> parts;
    for (const auto& flow : this->flows) {
      std::string part = fmt::format("{}{}{}{}{}{}{}",
                                     flow->host,
                                     flow->ticket,
                                     flow->flow ? 1 : 0,
                                     flow->deadlines,
                                     flow->isCallerGone ? 1 : 0,
                                     flow->joinedOutcome ? 1 : 0,
                                     static_cast<int>(flow->forward));
      for (const RequestState request : flow->requests) {
        part += fmt::format("r{}", static_cast<int>(request));
      }
      part += fmt::format("s{}", static_cast<int>(flow->waitingFor));
      if (flow->issuerOutcome) {
        part += fmt::format("i{}", static_cast<int>(flow->issuerOutcome->kind));
      }
      if (flow->outcome) {
        part += fmt::format("k{}", static_cast<int>(*flow->outcome));
      }
      if (flow->forwardedFrom) {
        part += fmt::format("<{}", this->Describe(**flow->forwardedFrom));
      }
      parts.push_back(std::move(part));
    }
    std::ranges::sort(parts);
    return fmt::format("{}|{}|{}|{}{}{}{}{}{}{}{}{}{}",
                       fmt::join(parts, ","),
                       this->sends,
                       this->retries,
                       this->ticketInUse,
                       this->restarts,
                       this->hasExpired ? 1 : 0,
                       this->isComplete ? 1 : 0,
                       this->runs[0],
                       this->runs[1],
                       this->notRunReported[0] ? 1 : 0,
                       this->notRunReported[1] ? 1 : 0,
                       this->completeReported[0] ? 1 : 0,
                       this->completeReported[1] ? 1 : 0);
  }

private:
  struct Host
  {
    TicketLedger ledger;
    CrashGuard guard;
  };

  enum class ForwardState : std::uint8_t
  {
    None,
    Connecting,
    /** The message was sent and may be delivered at any time. */
    InFlight,
    Delivered,
    Lost,
  };

  enum class WaitingFor : std::uint8_t
  {
    Server,
    Issuer,
    Joined,
    Nothing,
  };

  struct Call
  {
    std::size_t host = 0;
    std::size_t ticket = 0;
    std::optional<CallFlow> flow;
    WaitingFor waitingFor = WaitingFor::Nothing;
    /** One for each attempt; the last one is in progress. */
    std::vector<RequestState> requests;
    ForwardState forward = ForwardState::None;
    /** The call on the host that forwarded this call, if any. */
    std::optional<std::shared_ptr<Call>> forwardedFrom;
    /** Outcome received from the issuer but not yet passed to the flow. */
    std::optional<TicketOutcome> issuerOutcome;
    /** Outcome of the joined call, not yet passed to the flow. */
    std::optional<TicketOutcome> joinedOutcome;
    std::optional<ErrorKind> outcome;
    unsigned deadlines = 0;
    bool isCallerGone = false;
  };

  std::unique_ptr<Host> NewHost(std::size_t aIndex, std::uint64_t aStart)
  {
    const auto now = [this] { return this->time; };
    return std::unique_ptr<Host>(
      new Host{ { { fmt::format("host-{}", aIndex), aStart },
                  77,
                  now,
                  { .lifetime = kLifetime } },
                CrashGuard(now) });
  }

  std::string Describe(const Call& aCall) const
  {
    return fmt::format(
      "{}{}{}{}",
      aCall.host,
      aCall.flow ? 1 : 0,
      aCall.deadlines,
      aCall.issuerOutcome ? static_cast<int>(aCall.issuerOutcome->kind) : -1);
  }

  void AddEventsOf(std::size_t aIndex, std::vector<Event>& aEvents) const
  {
    const Call& call = *this->flows[aIndex];
    const auto add = [&](std::initializer_list<EventKind> aInputs) {
      for (const EventKind input : aInputs) {
        aEvents.push_back({ input, aIndex });
      }
    };
    if (std::ranges::find(call.requests, RequestState::Orphaned) !=
        call.requests.end()) {
      add({ EventKind::ServerRuns });
    }
    if (call.forward == ForwardState::InFlight) {
      add({ EventKind::ForwardDelivered });
    }
    if (!call.flow) {
      return;
    }
    if (call.waitingFor == WaitingFor::Server) {
      switch (call.requests.back()) {
        case RequestState::Connecting:
          add({ EventKind::ConnectFails, EventKind::Write });
          break;
        case RequestState::Written:
          add({ EventKind::ServerRuns,
                EventKind::ServerRefuses,
                EventKind::ConnectionLost });
          break;
        case RequestState::Ran:
          add({ EventKind::AnswerArrives,
                EventKind::AnswerTruncated,
                EventKind::ConnectionLost });
          break;
        default:
          break;
      }
    }
    if (call.waitingFor == WaitingFor::Issuer) {
      if (call.forward == ForwardState::Connecting) {
        add({ EventKind::ForwardFails, EventKind::ForwardWritten });
      } else {
        add({ EventKind::ForwardLost });
      }
      if (call.issuerOutcome) {
        add({ EventKind::ForwardAnswered });
      }
    }
    if (call.joinedOutcome) {
      add({ EventKind::JoinedDelivered });
    }
    add({ EventKind::Deadline });
    if (!call.isCallerGone && call.deadlines == 0) {
      add({ EventKind::CallerGone });
    }
  }

  void StartFlow(std::size_t aHost,
                 std::size_t aTicket,
                 std::optional<std::shared_ptr<Call>> aForwardedFrom)
  {
    auto call = std::make_shared<Call>();
    call->host = aHost;
    call->ticket = aTicket;
    call->forwardedFrom = std::move(aForwardedFrom);
    CallRequest request;
    request.digest = 1;
    request.atMostOnce = true;
    request.deadline = this->time + 100ms;
    request.ticket = this->tickets[aTicket];
    request.forwarded = call->forwardedFrom.has_value();
    CallHooks hooks;
    hooks.now = [this] { return this->time; };
    hooks.chooseServer = [this](std::span<const std::uint64_t>) {
      return core::Result<ServerHandle>(
        ServerHandle{ ++this->lastServer, nullptr });
    };
    // One retry is enough to cover the effects of retries.
    hooks.tryChargeRetry = [this] { return this->retries++ == 0; };
    hooks.issuerState = [this](const core::DaemonId& aIssuer) {
      return aIssuer == this->hosts[0]->ledger.Issuer() ? IssuerState::Reachable
                                                        : IssuerState::Gone;
    };
    hooks.onTicketFinished =
      [weak = std::weak_ptr(call)](const TicketOutcome& aOutcome) {
        if (const auto joined = weak.lock()) {
          joined->joinedOutcome = aOutcome;
        }
      };
    Host& host = *this->hosts[aHost];
    call->flow.emplace(
      std::move(request), std::move(hooks), host.ledger, host.guard);
    this->flows.push_back(call);
    this->Execute(call, call->flow->Begin());
  }

  void Execute(const std::shared_ptr<Call>& aCall, const CallStep& aStep)
  {
    if (std::holds_alternative<SendStep>(aStep)) {
      aCall->waitingFor = WaitingFor::Server;
      aCall->requests.push_back(RequestState::Connecting);
    } else if (std::holds_alternative<ForwardStep>(aStep)) {
      aCall->waitingFor = WaitingFor::Issuer;
      aCall->forward = ForwardState::Connecting;
    } else if (std::holds_alternative<WaitStep>(aStep)) {
      aCall->waitingFor =
        aCall->requests.empty() ? WaitingFor::Joined : aCall->waitingFor;
    } else {
      this->Answer(aCall, std::get<AnswerStep>(aStep));
    }
  }

  void Answer(const std::shared_ptr<Call>& aCall, const AnswerStep& aStep)
  {
    if (aStep.deliver) {
      if (aCall->forwardedFrom) {
        (*aCall->forwardedFrom)->issuerOutcome =
          TicketOutcome{ aStep.kind, aStep.answer };
      } else {
        this->ReceiveAnswer(aCall->ticket, aStep.kind);
      }
    }
    if (aStep.attemptContinues) {
      return;
    }
    aCall->outcome = aStep.kind;
    aCall->waitingFor = WaitingFor::Nothing;
    aCall->flow.reset();
    aCall->joinedOutcome.reset();
    if (!aCall->requests.empty()) {
      RequestState& last = aCall->requests.back();
      // A request that was written may still arrive after the cancellation.
      last = last == RequestState::Written    ? RequestState::Orphaned
             : last == RequestState::Orphaned ? RequestState::Orphaned
                                              : RequestState::Gone;
    }
    if (aCall->forward == ForwardState::Connecting) {
      aCall->forward = ForwardState::None;
    }
  }

  void ReceiveAnswer(std::size_t aTicket, ErrorKind aKind)
  {
    const CallOutcome outcome = core::ErrorTable::RowOf(aKind).outcome;
    if (outcome == CallOutcome::Complete) {
      this->completeReported[aTicket] = true;
      this->isComplete = true;
    } else if (outcome == CallOutcome::NotRun) {
      this->notRunReported[aTicket] = true;
      if (aTicket == this->ticketInUse && aTicket + 1 < kTicketCount) {
        ++this->ticketInUse;
      }
    }
  }

  void RestartIssuer()
  {
    ++this->restarts;
    for (const auto& call : this->flows) {
      if (call->host == 0 && call->flow) {
        call->flow.reset();
        call->joinedOutcome.reset();
        call->waitingFor = WaitingFor::Nothing;
        if (!call->requests.empty() &&
            call->requests.back() == RequestState::Written) {
          call->requests.back() = RequestState::Orphaned;
        }
      }
    }
    this->hosts[0] = this->NewHost(0, 2);
  }

  AttemptProgress ProgressOf(const Call& aCall) const
  {
    const bool isUnsent = aCall.waitingFor == WaitingFor::Server
                            ? aCall.requests.back() == RequestState::Connecting
                            : aCall.forward == ForwardState::Connecting;
    return isUnsent ? AttemptProgress::NothingSent
                    : AttemptProgress::SentNoAnswer;
  }

  void RunRequest(Call& aCall, RequestState& aRequest)
  {
    ++this->runs[aCall.ticket];
    aRequest = aRequest == RequestState::Orphaned ? RequestState::Gone
                                                  : RequestState::Ran;
  }

  void EndAttempt(const std::shared_ptr<Call>& aCall,
                  RequestState aFinalState,
                  AttemptProgress aProgress)
  {
    aCall->requests.back() = aFinalState;
    AttemptResult result;
    result.progress = aProgress;
    if (aProgress == AttemptProgress::Answered) {
      result.answer = std::make_shared<Response>();
    }
    this->Execute(aCall, aCall->flow->AttemptEnded(result));
  }

  void EndForward(const std::shared_ptr<Call>& aCall,
                  const AttemptResult& aResult)
  {
    this->Execute(aCall, aCall->flow->AttemptEnded(aResult));
  }

  void ApplyToFlow(EventKind aInput, std::size_t aIndex)
  {
    const std::shared_ptr<Call> call = this->flows[aIndex];
    switch (aInput) {
      case EventKind::ConnectFails:
        this->EndAttempt(
          call, RequestState::Gone, AttemptProgress::NothingSent);
        break;
      case EventKind::Write:
        call->requests.back() = RequestState::Written;
        break;
      case EventKind::ServerRuns: {
        const auto orphaned =
          std::ranges::find(call->requests, RequestState::Orphaned);
        this->RunRequest(
          *call,
          orphaned != call->requests.end() ? *orphaned : call->requests.back());
        break;
      }
      case EventKind::ServerRefuses:
        this->EndAttempt(call, RequestState::Gone, AttemptProgress::Refused);
        break;
      case EventKind::ConnectionLost:
        this->EndAttempt(call,
                         call->requests.back() == RequestState::Written
                           ? RequestState::Orphaned
                           : RequestState::Gone,
                         AttemptProgress::SentNoAnswer);
        break;
      case EventKind::AnswerArrives:
        this->EndAttempt(call, RequestState::Gone, AttemptProgress::Answered);
        break;
      case EventKind::AnswerTruncated:
        this->EndAttempt(
          call, RequestState::Gone, AttemptProgress::AnswerTruncated);
        break;
      case EventKind::ForwardFails:
        this->EndForward(call, {});
        break;
      case EventKind::ForwardWritten:
        call->forward = ForwardState::InFlight;
        break;
      case EventKind::ForwardDelivered:
        call->forward = ForwardState::Delivered;
        this->StartFlow(0, call->ticket, call);
        break;
      case EventKind::ForwardLost:
        this->EndForward(
          call, AttemptResult{ AttemptProgress::SentNoAnswer, nullptr });
        break;
      case EventKind::ForwardAnswered:
        this->EndForward(call,
                         { .progress = AttemptProgress::Answered,
                           .answer = call->issuerOutcome->answer,
                           .issuerKind = call->issuerOutcome->kind });
        break;
      case EventKind::JoinedDelivered: {
        const TicketOutcome outcome = *call->joinedOutcome;
        call->joinedOutcome.reset();
        this->Execute(call, call->flow->TicketFinished(outcome));
        break;
      }
      case EventKind::Deadline:
        ++call->deadlines;
        this->Execute(call,
                      call->flow->DeadlineReached(this->ProgressOf(*call)));
        break;
      case EventKind::CallerGone:
        call->isCallerGone = true;
        this->Execute(call, call->flow->CallerGone(this->ProgressOf(*call)));
        break;
      default:
        BOOST_FAIL("not an event of a flow");
    }
  }

  // Needed because the member function `Answer` hides the type `Answer`.
  using Response = ::fireflytrail::calls::Answer;

  Bounds bounds;
  core::TimePoint time{ 1h };
  std::vector<std::unique_ptr<Host>> hosts;
  std::array<std::string, kTicketCount> tickets;
  std::vector<std::shared_ptr<Call>> flows;
  std::array<unsigned, kTicketCount> runs{};
  std::array<bool, kTicketCount> notRunReported{};
  std::array<bool, kTicketCount> completeReported{};
  std::size_t ticketInUse = 0;
  unsigned sends = 0;
  unsigned restarts = 0;
  unsigned retries = 0;
  std::uint64_t lastServer = 0;
  bool hasExpired = false;
  bool isComplete = false;
};

/**
 * Visits all states within the bounds, breadth first, and checks each. Returns
 * the number of distinct states.
 */
std::size_t
Explore(const Bounds& aBounds)
{
  std::unordered_set<std::string> seen;
  std::deque<std::vector<std::uint8_t>> paths{ {} };
  while (!paths.empty()) {
    const std::vector<std::uint8_t> path = std::move(paths.front());
    paths.pop_front();
    // Ledgers and flows cannot be copied, so each state is rebuilt by replaying
    // the events that led to it.
    const auto replay = [&] {
      auto model = std::make_unique<Model>(aBounds);
      for (const std::uint8_t choice : path) {
        model->Apply(model->Events()[choice]);
      }
      return model;
    };
    const std::size_t choices = replay()->Events().size();
    for (std::size_t choice = 0; choice < choices; ++choice) {
      const auto model = replay();
      model->Apply(model->Events()[choice]);
      const std::string violation = model->Violation();
      BOOST_REQUIRE_MESSAGE(
        violation.empty(),
        violation << ": " << fmt::format("{}", fmt::join(path, " ")));
      if (seen.insert(model->Fingerprint()).second &&
          path.size() + 1 < aBounds.maxEvents) {
        paths.push_back(path);
        paths.back().push_back(static_cast<std::uint8_t>(choice));
      }
    }
  }
  return seen.size();
}

} // namespace

// Guards against any order of sends, losses, late messages, deadlines, restarts
// and expiries in which a request runs twice, runs although it was reported as
// not run, or was reported as complete but has not run.
BOOST_AUTO_TEST_CASE(NoEventOrderRunsARequestTwice)
{
  const std::array all{ Bounds{ .hosts = 2, .sends = 3, .maxEvents = 10 },
                        Bounds{ .hosts = 3, .sends = 3, .maxEvents = 8 } };
  for (const Bounds& bounds : all) {
    const std::size_t states = Explore(bounds);
    BOOST_TEST(states > 1000U);
    fmt::print("{} hosts, {} sends, {} steps: {} states\n",
               bounds.hosts,
               bounds.sends,
               bounds.maxEvents,
               states);
  }
}
