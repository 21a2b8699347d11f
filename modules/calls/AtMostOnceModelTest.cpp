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
constexpr std::size_t kTickets = 2;

/** Bounds of one exploration. */
struct Bounds
{
  std::size_t hosts;
  unsigned sends;
  std::size_t steps;
};

/** A request that was written to a server and may still run there. */
enum class Request : std::uint8_t
{
  Connecting,
  Written,
  Ran,
  /** The connection was lost; the server may run the request later. */
  Orphan,
  Gone,
};

enum class Input : std::uint8_t
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
  Input input;
  /** Index of a flow, or of a host for `CallerSends`. */
  std::size_t index = 0;
};

/**
 * One sale that its caller may send at any time through any host, with a
 * second ticket only after "not run". Host 0 issues both tickets. Each answer,
 * message and server run is one event, so that all their orders are met.
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

  std::vector<Event> Events() const
  {
    std::vector<Event> events;
    if (this->sends < this->bounds.sends && !this->isComplete) {
      for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        events.push_back({ Input::CallerSends, host });
      }
    }
    for (std::size_t index = 0; index < this->flows.size(); ++index) {
      this->AddEventsOf(index, events);
    }
    if (this->restarts == 0) {
      events.push_back({ Input::IssuerRestarts });
    }
    if (!this->hasExpired) {
      events.push_back({ Input::TicketsExpire });
    }
    return events;
  }

  void Apply(const Event& aEvent)
  {
    switch (aEvent.input) {
      case Input::CallerSends:
        ++this->sends;
        this->StartFlow(aEvent.index, this->ticketInUse, std::nullopt);
        return;
      case Input::IssuerRestarts:
        this->RestartIssuer();
        return;
      case Input::TicketsExpire:
        this->hasExpired = true;
        this->time += kLifetime;
        return;
      default:
        this->ApplyToFlow(aEvent.input, aEvent.index);
    }
  }

  /** Returns what is wrong, or an empty text. */
  std::string Fault() const
  {
    unsigned all = 0;
    for (std::size_t ticket = 0; ticket < kTickets; ++ticket) {
      all += this->runs[ticket];
      if (this->notRunTold[ticket] && this->runs[ticket] > 0) {
        return "a call that was told to be not run has run";
      }
      if (this->completeTold[ticket] && this->runs[ticket] == 0) {
        return "a call was told to be complete and has not run";
      }
    }
    return all > 1 ? "the sale has run twice" : "";
  }

  /** Returns a text that is equal for states with the same continuations. */
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
                                     flow->inbox ? 1 : 0,
                                     static_cast<int>(flow->forward));
      for (const Request request : flow->requests) {
        part += fmt::format("r{}", static_cast<int>(request));
      }
      part += fmt::format("s{}", static_cast<int>(flow->waiting));

      if (flow->fromIssuer) {
        part += fmt::format("i{}", static_cast<int>(flow->fromIssuer->kind));
      }
      if (flow->outcome) {
        part += fmt::format("k{}", static_cast<int>(*flow->outcome));
      }
      if (flow->relay) {
        part += fmt::format("<{}", this->Describe(**flow->relay));
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
                       this->notRunTold[0] ? 1 : 0,
                       this->notRunTold[1] ? 1 : 0,
                       this->completeTold[0] ? 1 : 0,
                       this->completeTold[1] ? 1 : 0);
  }

private:
  struct Host
  {
    TicketLedger ledger;
    CrashGuard guard;
  };

  enum class Forward : std::uint8_t
  {
    None,
    Connecting,
    /** The message is on its way and may arrive at any time. */
    OnTheWay,
    Arrived,
    Lost,
  };

  enum class Waiting : std::uint8_t
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
    Waiting waiting = Waiting::Nothing;
    /** One for each attempt; the last is the running one. */
    std::vector<Request> requests;
    Forward forward = Forward::None;
    /** The flow that forwarded this call, or none. */
    std::optional<std::shared_ptr<Call>> relay;
    /** Outcome that has come back from the issuer. */
    std::optional<TicketOutcome> fromIssuer;
    std::optional<TicketOutcome> inbox;
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
      aCall.fromIssuer ? static_cast<int>(aCall.fromIssuer->kind) : -1);
  }

  void AddEventsOf(std::size_t aIndex, std::vector<Event>& aEvents) const
  {
    const Call& call = *this->flows[aIndex];
    const auto add = [&](std::initializer_list<Input> aInputs) {
      for (const Input input : aInputs) {
        aEvents.push_back({ input, aIndex });
      }
    };
    if (std::ranges::find(call.requests, Request::Orphan) !=
        call.requests.end()) {
      add({ Input::ServerRuns });
    }
    if (call.forward == Forward::OnTheWay) {
      add({ Input::ForwardDelivered });
    }
    if (!call.flow) {
      return;
    }
    if (call.waiting == Waiting::Server) {
      switch (call.requests.back()) {
        case Request::Connecting:
          add({ Input::ConnectFails, Input::Write });
          break;
        case Request::Written:
          add(
            { Input::ServerRuns, Input::ServerRefuses, Input::ConnectionLost });
          break;
        case Request::Ran:
          add({ Input::AnswerArrives,
                Input::AnswerTruncated,
                Input::ConnectionLost });
          break;
        default:
          break;
      }
    }
    if (call.waiting == Waiting::Issuer) {
      if (call.forward == Forward::Connecting) {
        add({ Input::ForwardFails, Input::ForwardWritten });
      } else {
        add({ Input::ForwardLost });
      }
      if (call.fromIssuer) {
        add({ Input::ForwardAnswered });
      }
    }
    if (call.inbox) {
      add({ Input::JoinedDelivered });
    }
    add({ Input::Deadline });
    if (!call.isCallerGone && call.deadlines == 0) {
      add({ Input::CallerGone });
    }
  }

  void StartFlow(std::size_t aHost,
                 std::size_t aTicket,
                 std::optional<std::shared_ptr<Call>> aRelay)
  {
    auto call = std::make_shared<Call>();
    call->host = aHost;
    call->ticket = aTicket;
    call->relay = std::move(aRelay);
    CallRequest request;
    request.digest = 1;
    request.atMostOnce = true;
    request.deadline = this->time + 100ms;
    request.ticket = this->tickets[aTicket];
    request.forwarded = call->relay.has_value();
    CallHooks hooks;
    hooks.now = [this] { return this->time; };
    hooks.chooseServer = [this](std::span<const std::uint64_t>) {
      return core::Result<ServerHandle>(
        ServerHandle{ ++this->lastServer, nullptr });
    };
    // One retry is enough to meet its effects.
    hooks.takeRetry = [this] { return this->retries++ == 0; };
    hooks.issuerState = [this](const core::DaemonId& aIssuer) {
      return aIssuer == this->hosts[0]->ledger.Issuer() ? IssuerState::Reachable
                                                        : IssuerState::Gone;
    };
    hooks.joinedFinished =
      [weak = std::weak_ptr(call)](const TicketOutcome& aOutcome) {
        if (const auto joined = weak.lock()) {
          joined->inbox = aOutcome;
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
      aCall->waiting = Waiting::Server;
      aCall->requests.push_back(Request::Connecting);
    } else if (std::holds_alternative<ForwardStep>(aStep)) {
      aCall->waiting = Waiting::Issuer;
      aCall->forward = Forward::Connecting;
    } else if (std::holds_alternative<WaitStep>(aStep)) {
      aCall->waiting =
        aCall->requests.empty() ? Waiting::Joined : aCall->waiting;
    } else {
      this->Answer(aCall, std::get<AnswerStep>(aStep));
    }
  }

  void Answer(const std::shared_ptr<Call>& aCall, const AnswerStep& aStep)
  {
    if (aStep.deliver) {
      if (aCall->relay) {
        (*aCall->relay)->fromIssuer = TicketOutcome{ aStep.kind, aStep.answer };
      } else {
        this->CallerHears(aCall->ticket, aStep.kind);
      }
    }
    if (aStep.attemptGoesOn) {
      return;
    }
    aCall->outcome = aStep.kind;
    aCall->waiting = Waiting::Nothing;
    aCall->flow.reset();
    aCall->inbox.reset();
    if (!aCall->requests.empty()) {
      Request& last = aCall->requests.back();
      // What was written stays on its way after a cancellation.
      last = last == Request::Written  ? Request::Orphan
             : last == Request::Orphan ? Request::Orphan
                                       : Request::Gone;
    }
    if (aCall->forward == Forward::Connecting) {
      aCall->forward = Forward::None;
    }
  }

  void CallerHears(std::size_t aTicket, ErrorKind aKind)
  {
    const CallOutcome outcome = core::ErrorTable::RowOf(aKind).outcome;
    if (outcome == CallOutcome::Complete) {
      this->completeTold[aTicket] = true;
      this->isComplete = true;
    } else if (outcome == CallOutcome::NotRun) {
      this->notRunTold[aTicket] = true;
      if (aTicket == this->ticketInUse && aTicket + 1 < kTickets) {
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
        call->inbox.reset();
        call->waiting = Waiting::Nothing;
        if (!call->requests.empty() &&
            call->requests.back() == Request::Written) {
          call->requests.back() = Request::Orphan;
        }
      }
    }
    this->hosts[0] = this->NewHost(0, 2);
  }

  AttemptProgress ProgressOf(const Call& aCall) const
  {
    const bool isUnsent = aCall.waiting == Waiting::Server
                            ? aCall.requests.back() == Request::Connecting
                            : aCall.forward == Forward::Connecting;
    return isUnsent ? AttemptProgress::NothingSent
                    : AttemptProgress::SentNoAnswer;
  }

  void Run(Call& aCall, Request& aRequest)
  {
    ++this->runs[aCall.ticket];
    aRequest = aRequest == Request::Orphan ? Request::Gone : Request::Ran;
  }

  void End(const std::shared_ptr<Call>& aCall,
           Request aLeft,
           AttemptProgress aProgress)
  {
    aCall->requests.back() = aLeft;
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

  void ApplyToFlow(Input aInput, std::size_t aIndex)
  {
    const std::shared_ptr<Call> call = this->flows[aIndex];
    switch (aInput) {
      case Input::ConnectFails:
        this->End(call, Request::Gone, AttemptProgress::NothingSent);
        break;
      case Input::Write:
        call->requests.back() = Request::Written;
        break;
      case Input::ServerRuns: {
        const auto orphan = std::ranges::find(call->requests, Request::Orphan);
        this->Run(*call,
                  orphan != call->requests.end() ? *orphan
                                                 : call->requests.back());
        break;
      }
      case Input::ServerRefuses:
        this->End(call, Request::Gone, AttemptProgress::Refused);
        break;
      case Input::ConnectionLost:
        this->End(call,
                  call->requests.back() == Request::Written ? Request::Orphan
                                                            : Request::Gone,
                  AttemptProgress::SentNoAnswer);
        break;
      case Input::AnswerArrives:
        this->End(call, Request::Gone, AttemptProgress::Answered);
        break;
      case Input::AnswerTruncated:
        this->End(call, Request::Gone, AttemptProgress::AnswerTruncated);
        break;
      case Input::ForwardFails:
        this->EndForward(call, {});
        break;
      case Input::ForwardWritten:
        call->forward = Forward::OnTheWay;
        break;
      case Input::ForwardDelivered:
        call->forward = Forward::Arrived;
        this->StartFlow(0, call->ticket, call);
        break;
      case Input::ForwardLost:
        this->EndForward(
          call, AttemptResult{ AttemptProgress::SentNoAnswer, nullptr });
        break;
      case Input::ForwardAnswered:
        this->EndForward(call,
                         { .progress = AttemptProgress::Answered,
                           .answer = call->fromIssuer->answer,
                           .issuerKind = call->fromIssuer->kind });
        break;
      case Input::JoinedDelivered: {
        const TicketOutcome outcome = *call->inbox;
        call->inbox.reset();
        this->Execute(call, call->flow->TicketFinished(outcome));
        break;
      }
      case Input::Deadline:
        ++call->deadlines;
        this->Execute(call,
                      call->flow->DeadlineReached(this->ProgressOf(*call)));
        break;
      case Input::CallerGone:
        call->isCallerGone = true;
        this->Execute(call, call->flow->CallerGone(this->ProgressOf(*call)));
        break;
      default:
        BOOST_FAIL("not an event of a flow");
    }
  }

  using Response = ::fireflytrail::calls::Answer;

  Bounds bounds;
  core::TimePoint time{ 1h };
  std::vector<std::unique_ptr<Host>> hosts;
  std::array<std::string, kTickets> tickets;
  std::vector<std::shared_ptr<Call>> flows;
  std::array<unsigned, kTickets> runs{};
  std::array<bool, kTickets> notRunTold{};
  std::array<bool, kTickets> completeTold{};
  std::size_t ticketInUse = 0;
  unsigned sends = 0;
  unsigned restarts = 0;
  unsigned retries = 0;
  std::uint64_t lastServer = 0;
  bool hasExpired = false;
  bool isComplete = false;
};

/** Visits all states within the bounds; returns their number. */
std::size_t
Explore(const Bounds& aBounds)
{
  std::unordered_set<std::string> seen;
  std::deque<std::vector<std::uint8_t>> paths{ {} };
  while (!paths.empty()) {
    const std::vector<std::uint8_t> path = std::move(paths.front());
    paths.pop_front();
    // Ledgers and flows cannot be copied, so a state is reached by replay.
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
      const std::string fault = model->Fault();
      BOOST_REQUIRE_MESSAGE(fault.empty(),
                            fault << ": "
                                  << fmt::format("{}", fmt::join(path, " ")));
      if (seen.insert(model->Fingerprint()).second &&
          path.size() + 1 < aBounds.steps) {
        paths.push_back(path);
        paths.back().push_back(static_cast<std::uint8_t>(choice));
      }
    }
  }
  return seen.size();
}

} // namespace

// Guards against any order of sends, losses, late messages, deadlines, restarts
// and expiries in which a sale runs twice or a "not run" turns out false.
BOOST_AUTO_TEST_CASE(NoOrderOfEventsRunsASaleTwice)
{
  const std::array all{ Bounds{ .hosts = 2, .sends = 3, .steps = 10 },
                        Bounds{ .hosts = 3, .sends = 3, .steps = 8 } };
  for (const Bounds& bounds : all) {
    const std::size_t states = Explore(bounds);
    BOOST_TEST(states > 1000U);
    fmt::print("{} hosts, {} sends, {} steps: {} states\n",
               bounds.hosts,
               bounds.sends,
               bounds.steps,
               states);
  }
}
