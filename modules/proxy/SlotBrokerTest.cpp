#include "proxy/SlotBroker.h"

#include "wire/FrameCodec.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <variant>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::proxy;
using namespace std::chrono_literals;

namespace {

std::vector<std::uint8_t>
FrameOf(const wire::WireMessage& aMessage)
{
  const std::string frame = wire::FrameCodec::Encode(aMessage).value();
  return { frame.begin(), frame.end() };
}

/** Daemons that exchange messages through an event loop. */
struct Fleet
{
  boost::asio::io_context context;
  calls::CrashGuard guard{ std::chrono::steady_clock::now };
  std::map<std::string, std::unique_ptr<SlotBroker>> brokers;
  /** Daemons whose incoming and outgoing messages are dropped. */
  std::set<std::string> unresponsive;
  /** Whether the daemons run on hosts that may dispatch. */
  bool mayDispatch = true;
  /** Daemons to which the list of instances has not arrived. */
  std::set<std::string> withoutInstances;
  /** The slot requests of all daemons. */
  std::vector<wire::SlotRequest> sent;
  /** Service of each instance. */
  std::map<std::string, std::string> instances{ { "i", "s" } };
  /** The processes of the daemons. */
  std::map<std::string, std::uint64_t> starts;
  std::uint64_t randomState = 0;
  /** How long the instances stay cold. */
  std::chrono::milliseconds coldTime{ 0 };
  std::size_t hostCount = 2;

  Fleet()
  {
    for (const char* name : { "x", "y" }) {
      this->Start(name);
    }
    this->Update();
  }

  /** Starts a daemon, or replaces its process. */
  void Start(const std::string& aName)
  {
    this->starts[aName] = this->randomState += 0x9e3779b97f4a7c15ULL;
    this->brokers[aName] =
      std::make_unique<SlotBroker>(this->context,
                                   core::DaemonId{ aName, this->starts[aName] },
                                   this->HooksOf(aName));
  }

  void Update()
  {
    configuration::RouteConfiguration routes;
    routing::ServiceDirectory directory(std::chrono::steady_clock::now);
    for (const auto& [id, service] : this->instances) {
      routes.services[service].name = service;
      routes.services[service].coldRequestsPerSecond = 5;
      routing::BackendInstance instance;
      instance.id = id;
      instance.service = service;
      instance.address = "127.0.0.1:1";
      instance.slots = 4;
      instance.remainingColdTime = this->coldTime;
      directory.Put(std::move(instance));
    }
    for (const auto& [name, broker] : this->brokers) {
      broker->Update(routes, directory);
    }
  }

  SlotBrokerHooks HooksOf(const std::string& aName)
  {
    return {
      .now = std::chrono::steady_clock::now,
      .random = [this] { return this->randomState += 0x9e3779b97f4a7c15ULL; },
      .peers =
        [this, aName] {
          std::vector<std::string> names;
          for (const auto& [name, broker] : this->brokers) {
            if (name != aName && this->mayDispatch) {
              names.push_back(name);
            }
          }
          return names;
        },
      .mayDispatch = [this] { return this->mayDispatch; },
      .hostCount = [this] { return this->hostCount; },
      .send =
        [this, from = core::DaemonId{ aName, this->starts.at(aName) }](
          const std::string& aTo, const wire::WireMessage& aMessage) {
          if (const auto* request = std::get_if<wire::SlotRequest>(&aMessage)) {
            this->sent.push_back(*request);
          }
          boost::asio::post(this->context,
                            [this, from, aTo, frame = FrameOf(aMessage)] {
                              if (!this->unresponsive.contains(from.name) &&
                                  !this->unresponsive.contains(aTo)) {
                                wire::FrameCodec codec;
                                codec.Feed(frame);
                                this->Deliver(from, aTo, *codec.Next());
                              }
                            });
        },
      .isUsable = [](const routing::BackendInstance&) { return true; },
      .guard = this->guard,
      .measure =
        [](
          const routing::BackendInstance&,
          const std::function<void(const std::optional<routing::Measurement>&)>&
            aOnMeasured) { aOnMeasured(std::nullopt); },
      .onRequestEnded = [](const routing::EndedRequest&) {},
      .hasInstances =
        [this, aName] { return !this->withoutInstances.contains(aName); },
      .onPeerAvailabilityChange = [](const std::string&, bool) {}
    };
  }

  void Deliver(const core::DaemonId& aFrom,
               const std::string& aTo,
               const wire::WireMessage& aMessage)
  {
    SlotBroker& broker = *this->brokers.at(aTo);
    if (const auto* request = std::get_if<wire::SlotRequest>(&aMessage)) {
      broker.OnMessage(aFrom, *request);
    } else if (const auto* decision =
                 std::get_if<wire::SlotDecision>(&aMessage)) {
      broker.OnMessage(aFrom, *decision);
    } else if (const auto* release =
                 std::get_if<wire::SlotRelease>(&aMessage)) {
      broker.OnMessage(aFrom, *release);
    }
  }

  /**
   * Returns the name of the daemon that dispatches the service, or of the other
   * one.
   */
  std::string NameOf(bool aIsDispatching) const
  {
    const bool isXDispatching =
      this->brokers.at("x")->DispatchingDaemonName("s").empty();
    return isXDispatching == aIsDispatching ? "x" : "y";
  }

  /**
   * Adds a service with one instance of the same name that a daemon dispatches.
   */
  std::string AddServiceOf(const std::string& aDispatching)
  {
    std::string service = "t";
    while (
      !this->brokers.at(aDispatching)->DispatchingDaemonName(service).empty()) {
      service += "t";
    }
    this->instances[service] = service;
    this->Update();
    return service;
  }

  struct Outcome
  {
    bool isDecided = false;
    core::ErrorKind kind = core::ErrorKind::None;
    std::optional<Slot> slot;
  };

  std::shared_ptr<Outcome> Acquire(const std::string& aName,
                                   const std::string& aService = "s")
  {
    const auto outcome = std::make_shared<Outcome>();
    routing::DispatchRequest request;
    request.goal = std::chrono::steady_clock::now() + 600ms;
    request.deadline = std::chrono::steady_clock::now() + 4s;
    this->brokers.at(aName)->Acquire(
      aService,
      0,
      std::move(request),
      [outcome](const routing::DispatchResult& aResult,
                std::optional<Slot> aSlot) {
        outcome->isDecided = true;
        outcome->kind = aResult.kind;
        outcome->slot = std::move(aSlot);
      });
    return outcome;
  }

  /** Returns the number of a request whose outcome does not matter. */
  std::uint64_t AcquireNumber(const std::string& aName)
  {
    this->Acquire(aName);
    return this->sent.back().number;
  }

  void Run(std::chrono::milliseconds aTime)
  {
    this->context.restart();
    this->context.run_for(aTime);
  }
};

} // namespace

// Guards against daemons that decide locally during a burst because their
// requests are queued at the dispatching daemon for a long time. Instances then
// get more requests than their usable slots and take twice as long for all of
// them (in icheon-lampgas-grown scale-1, up to half of the requests were
// decided locally and the share served in time fell to 8 %).
BOOST_FIXTURE_TEST_CASE(QueuedRequestStaysWithTheDispatcher, Fleet)
{
  const std::string other = this->NameOf(false);
  std::vector<std::shared_ptr<Outcome>> granted;
  granted.reserve(3);
  for (int index = 0; index < 3; ++index) {
    granted.push_back(this->Acquire(other));
  }
  this->Run(20ms);
  for (const auto& outcome : granted) {
    BOOST_REQUIRE(outcome->slot.has_value());
    BOOST_TEST(outcome->slot->grantedBy == this->NameOf(true));
  }
  const auto queued = this->Acquire(other);
  this->Run(1000ms);
  BOOST_TEST(!queued->isDecided);
  this->brokers.at(other)->Release(
    *granted.front()->slot, routing::AttemptOutcome::Answered, 100ms, {});
  this->Run(20ms);
  BOOST_REQUIRE(queued->slot.has_value());
  BOOST_TEST(queued->slot->grantedBy == this->NameOf(true));
}

// Guards against a request that waits forever because the daemon at which it is
// queued has stopped.
BOOST_FIXTURE_TEST_CASE(QueuedRequestIsDecidedLocallyWhenTheDispatcherStops,
                        Fleet)
{
  const std::string other = this->NameOf(false);
  for (int index = 0; index < 3; ++index) {
    this->Acquire(other);
  }
  this->Run(20ms);
  const auto queued = this->Acquire(other);
  this->Run(20ms);
  this->unresponsive.insert(this->NameOf(true));
  this->Run(700ms);
  BOOST_REQUIRE(queued->slot.has_value());
  BOOST_TEST(queued->slot->grantedBy.empty());
}

// Guards against a request that waits longer than the decision timeout for a
// daemon that does not answer at all.
BOOST_FIXTURE_TEST_CASE(UnansweredRequestIsDecidedLocallyAtOnce, Fleet)
{
  const std::string other = this->NameOf(false);
  this->unresponsive.insert(this->NameOf(true));
  const auto outcome = this->Acquire(other);
  this->Run(60ms);
  BOOST_REQUIRE(outcome->slot.has_value());
  BOOST_TEST(outcome->slot->grantedBy.empty());
}

// Guards against a request to a leaving server that was granted by a daemon
// which has not heard that it leaves.
BOOST_FIXTURE_TEST_CASE(GrantForAServerThatStatedItIsLeavingIsNotUsed, Fleet)
{
  const std::string other = this->NameOf(false);
  const auto granted = this->Acquire(other);
  this->Run(20ms);
  BOOST_REQUIRE(granted->slot.has_value());
  // The release to the dispatching daemon is lost.
  this->unresponsive.insert(this->NameOf(true));
  this->brokers.at(other)->Release(*granted->slot,
                                   routing::AttemptOutcome::Answered,
                                   100ms,
                                   std::nullopt,
                                   routing::ServerNotice{ .isLeaving = true });
  this->unresponsive.clear();
  const auto later = this->Acquire(other);
  this->Run(60ms);
  BOOST_TEST(later->isDecided);
  BOOST_TEST(!later->slot.has_value());
  // The dispatching daemon has learned it from the rejected grant.
  const auto own = this->Acquire(this->NameOf(true));
  this->Run(20ms);
  BOOST_TEST(own->isDecided);
  BOOST_TEST(!own->slot.has_value());
}

// Guards against a request to a server that has told only this daemon to pause,
// granted by a daemon that has not heard of it.
BOOST_FIXTURE_TEST_CASE(GrantForAServerThatPausesIsNotUsed, Fleet)
{
  const std::string other = this->NameOf(false);
  const auto granted = this->Acquire(other);
  this->Run(20ms);
  BOOST_REQUIRE(granted->slot.has_value());
  this->unresponsive.insert(this->NameOf(true));
  this->brokers.at(other)->Release(*granted->slot,
                                   routing::AttemptOutcome::Refused,
                                   1ms,
                                   std::nullopt,
                                   routing::ServerNotice{ .pause = 500ms });
  this->unresponsive.clear();
  const auto later = this->Acquire(other);
  this->Run(60ms);
  BOOST_TEST(later->isDecided);
  BOOST_TEST(!later->slot.has_value());
  this->Run(500ms);
  const auto afterwards = this->Acquire(other);
  this->Run(60ms);
  BOOST_TEST(afterwards->slot.has_value());
}

// Guards against a limit that each daemon uses as if it dispatched for all,
// because none of the hosts that may dispatch is known.
BOOST_FIXTURE_TEST_CASE(DaemonsWithoutADispatcherShareTheLimit, Fleet)
{
  this->mayDispatch = false;
  for (const auto& [name, broker] : this->brokers) {
    const auto first = this->Acquire(name);
    BOOST_REQUIRE(first->slot.has_value());
    broker->Release(*first->slot,
                    routing::AttemptOutcome::Answered,
                    1ms,
                    std::nullopt,
                    routing::ServerNotice{ .requestsPerSecond = 100 });
    this->Run(100ms);
    // All daemons together may use a twentieth of the limit.
    const auto early = this->Acquire(name);
    BOOST_TEST(!early->slot.has_value());
  }
}

// Guards against refusals after a loss of power of all hosts, when the daemons
// do not know each other or the instances yet.
BOOST_FIXTURE_TEST_CASE(RequestIsHeldUntilADispatcherIsKnown, Fleet)
{
  const std::string other = this->NameOf(false);
  this->mayDispatch = false;
  this->withoutInstances = { other };
  const auto outcome = this->Acquire(other);
  this->Run(200ms);
  BOOST_TEST(!outcome->isDecided);
  this->mayDispatch = true;
  this->Run(200ms);
  BOOST_REQUIRE(outcome->slot.has_value());
  BOOST_TEST(outcome->slot->grantedBy == this->NameOf(true));
}

// Guards against the same at the daemon that dispatches, and against requests
// that it has forgotten when the list of instances arrives.
BOOST_FIXTURE_TEST_CASE(DispatcherHoldsRequestsUntilInstancesAreKnown, Fleet)
{
  this->withoutInstances = { "x", "y" };
  const auto outcome = this->Acquire(this->NameOf(false));
  const auto own = this->Acquire(this->NameOf(true));
  this->Run(200ms);
  BOOST_TEST(!outcome->isDecided);
  BOOST_TEST(!own->isDecided);
  this->withoutInstances.clear();
  this->Update();
  this->Run(100ms);
  BOOST_REQUIRE(outcome->slot.has_value());
  BOOST_TEST(outcome->slot->grantedBy == this->NameOf(true));
  BOOST_TEST(own->slot.has_value());
}

// Guards against a request that waits although no daemon appears.
BOOST_FIXTURE_TEST_CASE(RequestIsNotHeldForever, Fleet)
{
  this->mayDispatch = false;
  this->withoutInstances = { "x" };
  const auto outcome = this->Acquire("x");
  this->Run(1700ms);
  BOOST_TEST(outcome->isDecided);
}

// Guards against a decision that is sent for a request of a process that has
// ended, and that its replacement takes for the decision on a request of its
// own. The request then runs at an instance of another service.
BOOST_FIXTURE_TEST_CASE(NewProcessNeverGetsAnInstanceForItsPredecessor, Fleet)
{
  const std::string dispatching = this->NameOf(true);
  const std::string other = this->NameOf(false);
  const std::string second = this->AddServiceOf(dispatching);
  std::vector<std::shared_ptr<Outcome>> running;
  running.reserve(3);
  for (int index = 0; index < 3; ++index) {
    running.push_back(this->Acquire(dispatching));
  }
  // Three requests of the old process wait; the new process asks for as many
  // instances of the other service, so that any number of a request is used by
  // both.
  for (int index = 0; index < 3; ++index) {
    this->Acquire(other);
  }
  this->Run(20ms);
  this->Start(other);
  this->Update();
  std::vector<std::shared_ptr<Outcome>> outcomes;
  outcomes.reserve(3);
  for (int index = 0; index < 3; ++index) {
    outcomes.push_back(this->Acquire(other, second));
  }
  this->Run(10ms);
  for (const auto& outcome : running) {
    this->brokers.at(dispatching)
      ->Release(*outcome->slot, routing::AttemptOutcome::Answered, 20ms, {});
  }
  this->Run(60ms);
  for (const auto& outcome : outcomes) {
    BOOST_REQUIRE(outcome->slot.has_value());
    BOOST_TEST(outcome->slot->instance->id == second);
  }
}

// Guards against requests of a process that has ended, which hold back those of
// running processes and get slots that nobody uses.
BOOST_FIXTURE_TEST_CASE(RequestsOfAReplacedProcessAreWithdrawn, Fleet)
{
  const std::string dispatching = this->NameOf(true);
  const std::string other = this->NameOf(false);
  for (int index = 0; index < 3; ++index) {
    this->Acquire(dispatching);
  }
  this->Acquire(other);
  this->Run(20ms);
  BOOST_TEST(this->brokers.at(dispatching)->WaitingCount() == 1U);
  this->Start(other);
  this->Update();
  const auto outcome = this->Acquire(other);
  this->Run(20ms);
  BOOST_TEST(!outcome->isDecided);
  BOOST_TEST(this->brokers.at(dispatching)->WaitingCount() == 1U);
}

// Guards against a slot request of a process that has ended, read late from its
// connection, which would withdraw the requests of the new process.
BOOST_FIXTURE_TEST_CASE(LateRequestOfAReplacedProcessIsIgnored, Fleet)
{
  const std::string dispatching = this->NameOf(true);
  const std::string other = this->NameOf(false);
  for (int index = 0; index < 3; ++index) {
    this->Acquire(dispatching);
  }
  this->Acquire(other);
  this->Run(20ms);
  const core::DaemonId replaced{ other, this->starts.at(other) };
  this->Start(other);
  this->Update();
  this->Acquire(other);
  this->Run(20ms);
  wire::SlotRequest late;
  late.number = 7;
  late.service = "s";
  late.goal = 600ms;
  late.deadline = 4s;
  this->Deliver(replaced, dispatching, late);
  this->Run(20ms);
  BOOST_TEST(this->brokers.at(dispatching)->WaitingCount() == 1U);
}

// Guards against a decision whose instance is taken for one of the service that
// was asked for.
BOOST_FIXTURE_TEST_CASE(GrantOfAnotherServiceIsReturned, Fleet)
{
  const std::string dispatching = this->NameOf(true);
  const std::string other = this->NameOf(false);
  const auto outcome = this->Acquire(other);
  wire::SlotDecision decision;
  decision.number = this->sent.back().number;
  decision.grant = 5;
  decision.instance.id = "j";
  decision.instance.service = "t";
  this->Deliver({ dispatching, 1 }, other, decision);
  BOOST_REQUIRE(outcome->slot.has_value());
  BOOST_TEST(outcome->slot->instance->id == "i");
  BOOST_TEST(outcome->slot->grantedBy.empty());
}

// Guards against slots that stay taken until the deadline of a request that no
// longer needs them, because its decision came too late and the grant was
// returned without its service.
BOOST_FIXTURE_TEST_CASE(GrantThatCameTooLateIsReturned, Fleet)
{
  const std::string dispatching = this->NameOf(true);
  const std::string other = this->NameOf(false);
  this->brokers.at(other)->Withdraw(this->AcquireNumber(other));
  this->Run(20ms);
  const auto* dispatcher = this->brokers.at(dispatching)->FindDispatcher("s");
  BOOST_REQUIRE(dispatcher != nullptr);
  BOOST_TEST(dispatcher->GrantCount() == 0U);
}

// Guards against the release of a grant of a process that has ended, which
// would end a grant of its replacement: the instance gets more requests than it
// has slots, and what was stated about one instance is applied to another.
BOOST_FIXTURE_TEST_CASE(NewProcessIgnoresReleasesOfItsPredecessorsGrants, Fleet)
{
  const std::string dispatching = this->NameOf(true);
  const std::string other = this->NameOf(false);
  const auto old = this->Acquire(other);
  this->Run(20ms);
  BOOST_REQUIRE(old->slot.has_value());
  this->Start(dispatching);
  this->Update();
  const auto current = this->Acquire(other);
  this->Run(20ms);
  BOOST_REQUIRE(current->slot.has_value());
  this->brokers.at(other)->Release(*old->slot,
                                   routing::AttemptOutcome::Answered,
                                   20ms,
                                   std::nullopt,
                                   routing::ServerNotice{ .isLeaving = true });
  this->Run(20ms);
  const auto* dispatcher = this->brokers.at(dispatching)->FindDispatcher("s");
  BOOST_REQUIRE(dispatcher != nullptr);
  BOOST_TEST(dispatcher->GrantCount() == 1U);
  BOOST_TEST(!dispatcher->IsLeaving(*current->slot->instance));
}

// Guards against requests that fail or overrun cold servers because each daemon
// decides alone as soon as the dispatching daemon does not answer, while
// another one could dispatch.
BOOST_FIXTURE_TEST_CASE(NextDaemonIsAskedWhileAllServersAreCold, Fleet)
{
  this->coldTime = 30s;
  this->Start("z");
  this->Update();
  std::string first;
  for (const auto& [name, broker] : this->brokers) {
    if (broker->DispatchingDaemonName("s").empty()) {
      first = name;
    }
  }
  std::string second;
  std::string third;
  for (const auto& [name, broker] : this->brokers) {
    const std::string next = broker->DispatchingDaemonName("s", { first });
    if (name != first && !next.empty()) {
      second = next;
      third = name;
    }
  }
  BOOST_REQUIRE(!third.empty());
  this->unresponsive.insert(first);
  const auto outcome = this->Acquire(third);
  this->Run(1000ms);
  BOOST_REQUIRE(outcome->slot.has_value());
  BOOST_TEST(outcome->slot->grantedBy == second);
}

// Guards against a cold server that is overrun by hosts which are cut off from
// each other, or have just started: each takes itself for the dispatching one.
BOOST_FIXTURE_TEST_CASE(DaemonThatNobodyAsksUsesItsShareOfAColdServer, Fleet)
{
  this->coldTime = 30s;
  this->hostCount = 19;
  this->brokers.erase("y");
  this->Update();
  std::size_t granted = 0;
  for (int index = 0; index < 10; ++index) {
    const auto outcome = this->Acquire("x");
    this->Run(100ms);
    granted += outcome->slot.has_value() ? 1 : 0;
  }
  // A second at 0.32 requests a second.
  BOOST_TEST(granted <= 1U);
}
