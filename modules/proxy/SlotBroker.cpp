#include "proxy/SlotBroker.h"

#include "core/Hash.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::proxy {

using core::ErrorKind;
using routing::DispatchResult;
using routing::ServiceDispatcher;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

// Time in which a daemon answers a request for a slot: the way takes 3 ms in a
// region, and a host that has used up its processor share stands still for up
// to a tenth of a second, which is not worth waiting for.
constexpr milliseconds kDecisionTime = 25ms;

// Time for which a request that waits at another daemon is left there without
// a word. That daemon is then asked again, and says so if it still waits.
constexpr milliseconds kWaitingTime = 400ms;

// Time in which a daemon that has said that a request waits answers the second
// question. Longer than for the first: deciding alone while all instances are
// full only makes them slower.
constexpr milliseconds kSecondAnswerTime = 150ms;

// Parts of a cold server's rate for the daemon that dispatches its service, of
// which there may be two for a moment, and for all daemons together that decide
// alone. The platform allows one and a half times the rate.
constexpr double kDispatcherColdShare = 0.6;
constexpr double kAloneColdShare = 0.25;

// Misses in a row after which another daemon is asked, and for how long. One
// miss happens to a busy host.
constexpr unsigned kMissesToAvoid = 2;
constexpr milliseconds kAvoidTime = 2000ms;

} // namespace

SlotBroker::SlotBroker(boost::asio::io_context& aContext,
                       std::string aSelf,
                       SlotBrokerHooks aHooks)
  : context(aContext)
  , self(std::move(aSelf))
  , hooks(std::move(aHooks))
  , timer(aContext)
{
  assert(this->hooks.now && this->hooks.random && this->hooks.peers);
  assert(this->hooks.mayDispatch && this->hooks.send && this->hooks.isUsable);
  assert(this->hooks.peerChanged && this->hooks.hostCount);
  assert(this->hooks.measure);
}

void
SlotBroker::Update(const configuration::RouteConfiguration& aConfiguration,
                   const routing::ServiceDirectory& aDirectory)
{
  for (const auto& [name, service] : aConfiguration.services) {
    this->DispatcherOf(name).SetService(service);
  }
  for (auto& [name, dispatcher] : this->dispatchers) {
    dispatcher->SetInstances(aDirectory.TargetsOf(name));
  }
  this->ScheduleTick();
}

void
SlotBroker::SetTrialShare(const std::string& aService, double aShare)
{
  routing::DispatcherSettings own = this->settings;
  own.trialShare = aShare;
  this->DispatcherOf(aService).SetSettings(own);
}

std::uint64_t
SlotBroker::Acquire(const std::string& aService,
                    std::uint64_t aDigest,
                    routing::DispatchRequest aRequest,
                    DecidedFunction aOnDecided)
{
  assert(aOnDecided);
  const std::uint64_t number = ++this->lastNumber;
  aRequest.id = number;
  Pending& entry = this->pending[number];
  entry.service = aService;
  entry.digest = aDigest;
  entry.request = std::move(aRequest);
  entry.onDecided = std::move(aOnDecided);
  entry.asked = this->DispatcherName(aService);
  if (entry.asked.empty()) {
    this->DecideHere(number, false);
  } else {
    this->Ask(number, entry);
  }
  return number;
}

void
SlotBroker::Withdraw(std::uint64_t aNumber)
{
  const auto found = this->pending.find(aNumber);
  if (found == this->pending.end()) {
    return;
  }
  const Pending entry = std::move(found->second);
  this->pending.erase(found);
  if (entry.timer) {
    entry.timer->cancel();
  }
  if (entry.asked.empty()) {
    this->DispatcherOf(entry.service).Withdraw(aNumber);
    return;
  }
  wire::SlotRelease release;
  release.number = aNumber;
  release.service = entry.service;
  this->hooks.send(entry.asked, std::move(release));
}

void
SlotBroker::Release(const Slot& aSlot,
                    routing::UseOutcome aOutcome,
                    nanoseconds aDuration,
                    const std::optional<routing::LoadSample>& aSample)
{
  ServiceDispatcher& dispatcher = this->DispatcherOf(aSlot.service);
  if (aSlot.grantedBy.empty()) {
    dispatcher.Release(aSlot.grant, aOutcome, aDuration, aSample);
    this->ScheduleTick();
    return;
  }
  // Known here too, for the time when this daemon has to decide alone.
  dispatcher.Observe(*aSlot.instance, aOutcome, aDuration, aSample);
  wire::SlotRelease release;
  release.service = aSlot.service;
  release.grant = aSlot.grant;
  release.outcome = aOutcome;
  release.duration =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration);
  release.load = aSample;
  release.digest = aSlot.digest;
  this->hooks.send(aSlot.grantedBy, std::move(release));
}

void
SlotBroker::ReportDeath(const Slot& aSlot, std::uint64_t aDeath)
{
  if (aSlot.grantedBy.empty()) {
    // The request's own flow has recorded it in the same guard.
    return;
  }
  wire::SlotRelease report;
  report.service = aSlot.service;
  report.digest = aSlot.digest;
  report.death = aDeath;
  this->hooks.send(aSlot.grantedBy, std::move(report));
}

//==============================================================================
void
SlotBroker::OnMessage(const std::string& aFrom,
                      const wire::SlotRequest& aRequest)
{
  if (aRequest.digest != 0 && this->hooks.guard.IsBlocked(aRequest.digest)) {
    wire::SlotDecision blocked;
    blocked.number = aRequest.number;
    blocked.kind = ErrorKind::RequestCrashesServers;
    this->hooks.send(aFrom, std::move(blocked));
    return;
  }
  if (this->remoteNumbers.contains({ aFrom, aRequest.number })) {
    this->SayItWaits(aFrom, aRequest.number);
    return;
  }
  const core::TimePoint now = this->hooks.now();
  const std::uint64_t id = ++this->lastNumber;
  this->remotes.emplace(id, Remote{ aFrom, aRequest.number, aRequest.service });
  this->remoteNumbers[{ aFrom, aRequest.number }] = id;
  routing::DispatchRequest request;
  request.id = id;
  request.failureDomain = aRequest.failureDomain;
  request.goal = now + aRequest.goal;
  request.deadline = now + aRequest.deadline;
  request.priority = aRequest.priority;
  request.avoid = aRequest.avoid;
  request.expectedBytes = aRequest.expectedBytes;
  request.route = aRequest.route;
  request.coldShare = kDispatcherColdShare;
  request.isForAllHosts = true;
  this->DispatcherOf(aRequest.service).Submit(std::move(request));
  if (this->remotes.contains(id)) {
    this->SayItWaits(aFrom, aRequest.number);
  }
  this->ScheduleTick();
}

void
SlotBroker::OnMessage(const std::string& aFrom,
                      const wire::SlotDecision& aDecision)
{
  this->NoteAnswer(aFrom);
  const auto found = this->pending.find(aDecision.number);
  const bool isExpected =
    found != this->pending.end() && found->second.asked == aFrom;
  const bool isGranted =
    aDecision.kind == ErrorKind::None && aDecision.grant != 0;
  if (!isExpected) {
    if (isGranted) {
      // It came too late; the instance was not used.
      wire::SlotRelease release;
      release.service = aDecision.instance.service;
      release.grant = aDecision.grant;
      this->hooks.send(aFrom, std::move(release));
    }
    return;
  }
  if (aDecision.kind == ErrorKind::None && !isGranted) {
    found->second.isWaiting = true;
    this->AwaitDecision(aDecision.number, kWaitingTime);
    return;
  }
  DispatchResult result;
  result.kind = aDecision.kind;
  result.retryAfter = aDecision.retryAfter;
  if (isGranted) {
    routing::BackendInstance instance = aDecision.instance;
    instance.service = found->second.service;
    result.grant = aDecision.grant;
    result.instance =
      std::make_shared<const routing::BackendInstance>(std::move(instance));
    if (!this->hooks.isUsable(*result.instance)) {
      // This daemon knows more, for example that the instance is leaving.
      wire::SlotRelease release;
      release.service = found->second.service;
      release.grant = aDecision.grant;
      this->hooks.send(aFrom, std::move(release));
      this->DecideHere(aDecision.number, true);
      return;
    }
  }
  this->Finish(aDecision.number, result, aFrom);
}

void
SlotBroker::OnMessage(const std::string& aFrom,
                      const wire::SlotRelease& aRelease)
{
  if (aRelease.death != 0) {
    this->hooks.guard.RecordDeath(aRelease.digest, aRelease.death);
    return;
  }
  ServiceDispatcher& dispatcher = this->DispatcherOf(aRelease.service);
  if (aRelease.grant != 0) {
    if (aRelease.outcome == routing::UseOutcome::Answered) {
      this->hooks.guard.RecordCompletion(aRelease.digest);
    }
    dispatcher.Release(
      aRelease.grant, aRelease.outcome, aRelease.duration, aRelease.load);
    this->ScheduleTick();
    return;
  }
  const auto found = this->remoteNumbers.find({ aFrom, aRelease.number });
  if (found == this->remoteNumbers.end()) {
    return;
  }
  const std::uint64_t id = found->second;
  this->remoteNumbers.erase(found);
  this->remotes.erase(id);
  dispatcher.Withdraw(id);
}

//==============================================================================
std::string
SlotBroker::DispatcherName(std::string_view aService) const
{
  const core::TimePoint now = this->hooks.now();
  const std::string key = "slots/" + std::string(aService);
  const auto rankOf = [&key](const std::string& aName) {
    return std::pair(core::RendezvousWeight(key, aName), aName);
  };
  std::string best = this->hooks.mayDispatch() ? this->self : std::string();
  for (const std::string& name : this->hooks.peers()) {
    const auto state = this->peerStates.find(name);
    if (state != this->peerStates.end() && now < state->second.lostUntil) {
      continue;
    }
    if (best.empty() || rankOf(name) > rankOf(best)) {
      best = name;
    }
  }
  return best == this->self ? std::string() : best;
}

std::size_t
SlotBroker::WaitingCount() const
{
  std::size_t count = 0;
  for (const auto& [name, dispatcher] : this->dispatchers) {
    count += dispatcher->WaitingCount();
  }
  return count;
}

const ServiceDispatcher*
SlotBroker::FindDispatcher(std::string_view aService) const
{
  const auto found = this->dispatchers.find(aService);
  return found == this->dispatchers.end() ? nullptr : found->second.get();
}

ServiceDispatcher&
SlotBroker::DispatcherOf(const std::string& aService)
{
  auto& dispatcher = this->dispatchers[aService];
  if (!dispatcher) {
    dispatcher = std::make_unique<ServiceDispatcher>(
      routing::DispatcherHooks{
        .now = this->hooks.now,
        .random = this->hooks.random,
        .decided =
          [this](std::uint64_t aNumber, const DispatchResult& aResult) {
            this->OnDecided(aNumber, aResult);
          },
        .measure = [this](const std::shared_ptr<const routing::BackendInstance>&
                            aInstance) { this->Measure(aInstance); },
        .ended = this->hooks.ended },
      this->settings);
  }
  return *dispatcher;
}

void
SlotBroker::Measure(
  const std::shared_ptr<const routing::BackendInstance>& aInstance)
{
  this->hooks.measure(
    *aInstance,
    [this, aInstance](const std::optional<routing::Measurement>& aMeasurement) {
      this->DispatcherOf(aInstance->service)
        .OnMeasured(*aInstance, aMeasurement);
      this->ScheduleTick();
    });
}

void
SlotBroker::OnDecided(std::uint64_t aNumber, const DispatchResult& aResult)
{
  const auto remote = this->remotes.find(aNumber);
  if (remote == this->remotes.end()) {
    this->Finish(aNumber, aResult, {});
    return;
  }
  wire::SlotDecision decision;
  decision.number = remote->second.number;
  decision.kind = aResult.kind;
  decision.grant = aResult.grant;
  decision.retryAfter = aResult.retryAfter;
  if (aResult.instance) {
    decision.instance = *aResult.instance;
  }
  this->hooks.send(remote->second.from, std::move(decision));
  this->remoteNumbers.erase({ remote->second.from, remote->second.number });
  this->remotes.erase(remote);
}

void
SlotBroker::DecideHere(std::uint64_t aNumber, bool aIsAlone)
{
  Pending& entry = this->pending.at(aNumber);
  entry.request.coldShare =
    aIsAlone ? kAloneColdShare / static_cast<double>(this->hooks.hostCount())
             : kDispatcherColdShare;
  entry.request.isForAllHosts = !aIsAlone;
  entry.asked.clear();
  if (entry.timer) {
    entry.timer->cancel();
  }
  this->DispatcherOf(entry.service).Submit(entry.request);
  this->ScheduleTick();
}

void
SlotBroker::SayItWaits(const std::string& aTo, std::uint64_t aNumber)
{
  wire::SlotDecision waiting;
  waiting.number = aNumber;
  this->hooks.send(aTo, std::move(waiting));
}

void
SlotBroker::Ask(std::uint64_t aNumber, Pending& aPending)
{
  const core::TimePoint now = this->hooks.now();
  const auto left = [now](core::TimePoint aTime) {
    return std::max(std::chrono::floor<milliseconds>(aTime - now), 0ms);
  };
  wire::SlotRequest request;
  request.number = aNumber;
  request.service = aPending.service;
  request.failureDomain = aPending.request.failureDomain;
  request.goal = left(aPending.request.goal);
  request.deadline = left(aPending.request.deadline);
  request.priority = aPending.request.priority;
  request.avoid = aPending.request.avoid;
  request.digest = aPending.digest;
  request.expectedBytes = aPending.request.expectedBytes;
  request.route = static_cast<std::uint32_t>(aPending.request.route);
  this->hooks.send(aPending.asked, std::move(request));
  this->AwaitDecision(aNumber,
                      aPending.isWaiting ? kSecondAnswerTime : kDecisionTime);
}

void
SlotBroker::AwaitDecision(std::uint64_t aNumber, milliseconds aTime)
{
  Pending& entry = this->pending.at(aNumber);
  if (!entry.timer) {
    entry.timer = std::make_shared<boost::asio::steady_timer>(this->context);
  }
  entry.timer->expires_after(aTime);
  entry.timer->async_wait([this, aNumber](boost::system::error_code aError) {
    const auto found = this->pending.find(aNumber);
    if (aError || found == this->pending.end() || found->second.asked.empty()) {
      return;
    }
    this->OnSilence(aNumber, found->second);
  });
}

void
SlotBroker::OnSilence(std::uint64_t aNumber, Pending& aPending)
{
  if (aPending.isWaiting) {
    this->Ask(aNumber, aPending);
    aPending.isWaiting = false;
    return;
  }
  wire::SlotRelease withdrawal;
  withdrawal.number = aNumber;
  withdrawal.service = aPending.service;
  this->hooks.send(aPending.asked, std::move(withdrawal));
  this->NoteMiss(aPending.asked);
  this->DecideHere(aNumber, true);
}

void
SlotBroker::NoteMiss(const std::string& aName)
{
  PeerState& state = this->peerStates[aName];
  if (++state.misses < kMissesToAvoid) {
    return;
  }
  const core::TimePoint now = this->hooks.now();
  if (now >= state.lostUntil) {
    this->hooks.peerChanged(aName, true);
  }
  state.lostUntil = now + kAvoidTime;
}

void
SlotBroker::NoteAnswer(const std::string& aName)
{
  const auto state = this->peerStates.find(aName);
  if (state == this->peerStates.end()) {
    return;
  }
  if (state->second.misses >= kMissesToAvoid) {
    this->hooks.peerChanged(aName, false);
  }
  this->peerStates.erase(state);
}

void
SlotBroker::Finish(std::uint64_t aNumber,
                   const DispatchResult& aResult,
                   const std::string& aGrantedBy)
{
  const auto found = this->pending.find(aNumber);
  if (found == this->pending.end()) {
    return;
  }
  const Pending decided = std::move(found->second);
  this->pending.erase(found);
  if (decided.timer) {
    decided.timer->cancel();
  }
  std::optional<Slot> slot;
  if (aResult.instance) {
    slot = Slot{ decided.service,
                 aResult.grant,
                 aResult.instance,
                 aGrantedBy,
                 decided.digest };
  }
  decided.onDecided(aResult, std::move(slot));
}

void
SlotBroker::ScheduleTick()
{
  std::optional<core::TimePoint> due;
  for (const auto& [name, dispatcher] : this->dispatchers) {
    if (const auto next = dispatcher->NextDue()) {
      due = due ? std::min(*due, *next) : *next;
    }
  }
  if (!due || (this->timerDue && *this->timerDue <= *due)) {
    return;
  }
  this->timerDue = due;
  this->timer.expires_at(*due);
  this->timer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    this->timerDue.reset();
    for (auto& [name, dispatcher] : this->dispatchers) {
      dispatcher->Tick();
    }
    this->ScheduleTick();
  });
}

} // namespace fireflytrail::proxy
