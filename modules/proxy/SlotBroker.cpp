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

// Timeout for the answer to a slot request. A message takes 3 ms within a
// region. A host that has used up its processor share is stalled for up to a
// tenth of a second, which is too long to wait for.
constexpr milliseconds kDecisionTimeout = 25ms;

// Time after which a slot request that is queued at another daemon is repeated
// if no message about it has arrived. The daemon then replies if the request is
// still queued.
constexpr milliseconds kQueuedRecheckInterval = 400ms;

// Timeout for the answer to such a repeated slot request. It is longer than the
// first timeout because a local decision while all instances are full only
// makes them slower.
constexpr milliseconds kRecheckTimeout = 150ms;

// Longest time for which a request is held while there is no list of instances
// and no daemon that dispatches, and the interval at which that is checked.
constexpr milliseconds kMaxHoldTime = 1500ms;
constexpr milliseconds kHoldCheckInterval = 50ms;

// Shares of a cold server's rate for the daemon that dispatches its service, of
// which there may briefly be two, and for all daemons together that decide
// locally as a fallback. The platform allows one and a half times the rate.
constexpr double kDispatcherColdShare = 0.6;
constexpr double kFallbackColdShare = 0.25;

// A dispatching daemon uses its share only as far as the other hosts ask it:
// hosts that are cut off from each other all dispatch. It is served by this
// part of them within this time, since not every host has requests all the
// time.
constexpr double kServedHostWeight = 2;
constexpr milliseconds kAskerTime = 3000ms;

// Daemons that are asked for a slot at the most, one after the other, if all
// servers are cold: one that decides alone could send them next to nothing.
constexpr std::size_t kMaxAskedDaemons = 3;

// The same for the limit that a server has named. A second dispatching daemon
// is used for two seconds at a time; the platform allows one and a half times
// the limit over four.
constexpr double kDispatcherLimitShare = 0.95;
constexpr double kFallbackLimitShare = 0.05;

// Consecutive timeouts after which another daemon is asked, and for how long. A
// single timeout can occur at a busy host.
constexpr unsigned kTimeoutsToAvoid = 2;
constexpr milliseconds kAvoidDuration = 2000ms;

} // namespace

SlotBroker::SlotBroker(boost::asio::io_context& aContext,
                       core::DaemonId aSelf,
                       SlotBrokerHooks aHooks,
                       routing::DispatcherSettings aSettings)
  : context(aContext)
  , self(std::move(aSelf))
  , hooks(std::move(aHooks))
  , timer(aContext)
  , settings(aSettings)
  , numbers(this->self.start)
{
  this->settings.hostKey = core::HashOf(this->self.name);
  assert(this->hooks.now && this->hooks.random && this->hooks.peers);
  assert(this->hooks.mayDispatch && this->hooks.send && this->hooks.isUsable);
  assert(this->hooks.onPeerAvailabilityChange && this->hooks.hostCount);
  assert(this->hooks.measure);
}

void
SlotBroker::Update(const configuration::RouteConfiguration& aConfiguration,
                   const routing::ServiceDirectory& aDirectory)
{
  for (const auto& [name, service] : aConfiguration.services) {
    this->GetOrCreateDispatcher(name).SetService(service);
  }
  for (auto& [name, dispatcher] : this->dispatchers) {
    dispatcher->SetInstances(aDirectory.TargetsOf(name));
  }
  this->SubmitHeldRequests();
  this->ScheduleTick();
}

void
SlotBroker::SetTrialShare(const std::string& aService, double aShare)
{
  routing::DispatcherSettings trialSettings = this->settings;
  trialSettings.trialShare = aShare;
  this->GetOrCreateDispatcher(aService).SetSettings(trialSettings);
}

std::uint64_t
SlotBroker::Acquire(const std::string& aService,
                    std::uint64_t aDigest,
                    routing::DispatchRequest aRequest,
                    DecidedFunction aOnDecided)
{
  assert(aOnDecided);
  const std::uint64_t number = this->numbers.Next();
  aRequest.id = number;
  PendingRequest& entry = this->pending[number];
  entry.service = aService;
  entry.digest = aDigest;
  entry.request = std::move(aRequest);
  entry.request.digest = aDigest;
  entry.onDecided = std::move(aOnDecided);
  entry.askedDaemon = this->DispatchingDaemonName(aService);
  entry.holdUntil =
    std::min(this->hooks.now() + kMaxHoldTime, entry.request.deadline);
  if (entry.askedDaemon.empty()) {
    if (this->LacksInstances()) {
      this->Hold(number);
    } else {
      this->DecideLocally(number, !this->hooks.mayDispatch());
    }
  } else {
    this->SendSlotRequest(number, entry);
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
  const PendingRequest entry = std::move(found->second);
  this->pending.erase(found);
  if (entry.timer) {
    entry.timer->cancel();
  }
  if (entry.askedDaemon.empty()) {
    this->GetOrCreateDispatcher(entry.service).Withdraw(aNumber);
    return;
  }
  wire::SlotRelease release;
  release.number = aNumber;
  release.service = entry.service;
  this->hooks.send(entry.askedDaemon, std::move(release));
}

void
SlotBroker::Release(const Slot& aSlot,
                    routing::AttemptOutcome aOutcome,
                    nanoseconds aDuration,
                    const std::optional<routing::LoadSample>& aSample,
                    const routing::ServerNotice& aNotice)
{
  ServiceDispatcher& dispatcher = this->GetOrCreateDispatcher(aSlot.service);
  if (aSlot.grantedBy.empty()) {
    dispatcher.Release(aSlot.grant, aOutcome, aDuration, aSample, aNotice);
    this->ScheduleTick();
    return;
  }
  // Record the outcome here as well, in case this daemon has to decide alone
  // later.
  dispatcher.Observe(*aSlot.instance, aOutcome, aDuration, aSample, aNotice);
  wire::SlotRelease release;
  release.service = aSlot.service;
  release.grant = aSlot.grant;
  release.outcome = aOutcome;
  release.duration =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration);
  release.load = aSample;
  release.notice = aNotice;
  release.digest = aSlot.digest;
  this->hooks.send(aSlot.grantedBy, std::move(release));
}

void
SlotBroker::ReportDeath(const Slot& aSlot, std::uint64_t aDeath)
{
  if (aSlot.grantedBy.empty()) {
    // The request's `CallFlow` has already recorded the death in the same
    // guard.
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
SlotBroker::OnMessage(const core::DaemonId& aFrom,
                      const wire::SlotRequest& aRequest)
{
  if (!this->NoteProcess(aFrom)) {
    return;
  }
  if (aRequest.digest != 0 && this->hooks.guard.IsBlocked(aRequest.digest)) {
    wire::SlotDecision blocked;
    blocked.number = aRequest.number;
    blocked.kind = ErrorKind::RequestCrashesServers;
    this->hooks.send(aFrom.name, std::move(blocked));
    return;
  }
  if (this->remoteRequestIds.contains({ aFrom, aRequest.number })) {
    this->SendQueuedReply(aFrom.name, aRequest.number);
    return;
  }
  if (this->LacksInstances()) {
    std::erase_if(this->heldRequests, [&](const HeldRequest& aHeld) {
      return aHeld.from == aFrom && aHeld.request.number == aRequest.number;
    });
    this->heldRequests.push_back({ aFrom, aRequest, this->hooks.now() });
    this->SendQueuedReply(aFrom.name, aRequest.number);
    return;
  }
  const core::TimePoint now = this->hooks.now();
  const std::uint64_t id = this->numbers.Next();
  this->remoteRequests.emplace(
    id, RemoteRequest{ aFrom, aRequest.number, aRequest.service });
  this->remoteRequestIds[{ aFrom, aRequest.number }] = id;
  routing::DispatchRequest request;
  request.id = id;
  request.failureDomain = aRequest.failureDomain;
  request.goal = now + aRequest.goal;
  request.deadline = now + aRequest.deadline;
  request.priority = aRequest.priority;
  request.avoid = aRequest.avoid;
  request.expectedBytes = aRequest.expectedBytes;
  request.route = aRequest.route;
  request.organisation = aRequest.organisation;
  request.digest = aRequest.digest;
  this->askers[aRequest.service][aFrom.name] = now;
  request.coldRateShare = this->ColdShareOf(aRequest.service);
  request.limitShare = kDispatcherLimitShare;
  request.isCentrallyDispatched = true;
  this->GetOrCreateDispatcher(aRequest.service).Submit(std::move(request));
  if (this->remoteRequests.contains(id)) {
    this->SendQueuedReply(aFrom.name, aRequest.number);
  }
  this->ScheduleTick();
}

void
SlotBroker::OnMessage(const core::DaemonId& aFrom,
                      const wire::SlotDecision& aDecision)
{
  this->RecordAnswer(aFrom.name);
  const auto found = this->pending.find(aDecision.number);
  const bool isExpected =
    found != this->pending.end() && found->second.askedDaemon == aFrom.name;
  const bool isGranted =
    aDecision.kind == ErrorKind::None && aDecision.grant != 0;
  if (!isExpected) {
    if (isGranted) {
      // The decision arrived too late; the instance was not used.
      this->ReturnGrant(
        aFrom.name, aDecision.instance.service, aDecision.grant);
    }
    return;
  }
  if (aDecision.kind == ErrorKind::None && !isGranted) {
    found->second.isQueued = true;
    this->StartDecisionTimer(aDecision.number, kQueuedRecheckInterval);
    return;
  }
  DispatchResult result;
  result.kind = aDecision.kind;
  result.retryAfter = aDecision.retryAfter;
  if (isGranted) {
    routing::BackendInstance instance = aDecision.instance;
    if (instance.service.empty()) {
      // A daemon of an earlier release does not state it.
      instance.service = found->second.service;
    }
    if (instance.service != found->second.service) {
      this->ReturnGrant(aFrom.name, instance.service, aDecision.grant);
      this->DecideLocally(aDecision.number, true);
      return;
    }
    result.grant = aDecision.grant;
    result.instance =
      std::make_shared<const routing::BackendInstance>(std::move(instance));
    const ServiceDispatcher& dispatcher =
      this->GetOrCreateDispatcher(found->second.service);
    const bool isLeaving = dispatcher.IsLeaving(*result.instance);
    const nanoseconds pause = dispatcher.RemainingPause(*result.instance);
    if (isLeaving || pause > 0ns || !this->hooks.isUsable(*result.instance)) {
      // This daemon has newer data, for example that the instance is leaving.
      routing::ServerNotice notice{ .isLeaving = isLeaving };
      if (pause > 0ns) {
        notice.pause = std::chrono::ceil<milliseconds>(pause);
      }
      this->ReturnGrant(
        aFrom.name, found->second.service, aDecision.grant, notice);
      this->DecideLocally(aDecision.number, true);
      return;
    }
  }
  this->CompleteRequest(aDecision.number, result, aFrom.name);
}

void
SlotBroker::OnMessage(const core::DaemonId& aFrom,
                      const wire::SlotRelease& aRelease)
{
  if (aRelease.death != 0) {
    this->hooks.guard.RecordDeath(aRelease.digest, aRelease.death);
    return;
  }
  ServiceDispatcher& dispatcher = this->GetOrCreateDispatcher(aRelease.service);
  if (aRelease.grant != 0) {
    if (aRelease.outcome == routing::AttemptOutcome::Answered) {
      this->hooks.guard.RecordCompletion(aRelease.digest);
    }
    if (!this->numbers.IsOwn(aRelease.grant)) {
      // An earlier process of this daemon gave out the grant.
      return;
    }
    dispatcher.Release(aRelease.grant,
                       aRelease.outcome,
                       aRelease.duration,
                       aRelease.load,
                       aRelease.notice);
    this->ScheduleTick();
    return;
  }
  std::erase_if(this->heldRequests, [&](const HeldRequest& aHeld) {
    return aHeld.from == aFrom && aHeld.request.number == aRelease.number;
  });
  const auto found = this->remoteRequestIds.find({ aFrom, aRelease.number });
  if (found == this->remoteRequestIds.end()) {
    return;
  }
  const std::uint64_t id = found->second;
  this->remoteRequestIds.erase(found);
  this->remoteRequests.erase(id);
  dispatcher.Withdraw(id);
}

bool
SlotBroker::NoteProcess(const core::DaemonId& aFrom)
{
  const auto [known, isNew] =
    this->peerProcesses.try_emplace(aFrom.name, PeerProcess{ aFrom.start, {} });
  PeerProcess& process = known->second;
  if (isNew || process.currentStart == aFrom.start) {
    return true;
  }
  if (process.replacedStart == aFrom.start) {
    return false;
  }
  process.replacedStart = std::exchange(process.currentStart, aFrom.start);
  this->WithdrawRequestsOfReplaced(aFrom);
  return true;
}

void
SlotBroker::WithdrawRequestsOfReplaced(const core::DaemonId& aCurrent)
{
  const auto isReplaced = [&aCurrent](const core::DaemonId& aFrom) {
    return aFrom.name == aCurrent.name && aFrom.start != aCurrent.start;
  };
  std::erase_if(this->heldRequests, [&](const HeldRequest& aHeld) {
    return isReplaced(aHeld.from);
  });
  for (auto entry = this->remoteRequests.begin();
       entry != this->remoteRequests.end();) {
    const auto& [id, request] = *entry;
    if (!isReplaced(request.from)) {
      ++entry;
      continue;
    }
    this->GetOrCreateDispatcher(request.service).Withdraw(id);
    this->remoteRequestIds.erase({ request.from, request.number });
    entry = this->remoteRequests.erase(entry);
  }
}

//==============================================================================
std::string
SlotBroker::DispatchingDaemonName(
  std::string_view aService,
  const std::vector<std::string>& aWithout) const
{
  const core::TimePoint now = this->hooks.now();
  const std::string key = "slots/" + std::string(aService);
  const auto rankOf = [&key](const std::string& aName) {
    return std::pair(core::RendezvousWeight(key, aName), aName);
  };
  std::string best =
    this->hooks.mayDispatch() ? this->self.name : std::string();
  for (const std::string& name : this->hooks.peers()) {
    const auto state = this->peerStates.find(name);
    if (state != this->peerStates.end() && now < state->second.avoidedUntil) {
      continue;
    }
    if (std::ranges::find(aWithout, name) != aWithout.end()) {
      continue;
    }
    if (best.empty() || rankOf(name) > rankOf(best)) {
      best = name;
    }
  }
  return best == this->self.name ? std::string() : best;
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
SlotBroker::GetOrCreateDispatcher(const std::string& aService)
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
        .onRequestEnded = this->hooks.onRequestEnded,
        .onLimitChanged = this->hooks.onLimitChanged,
        .onLeaving = this->hooks.onLeaving,
        .nextGrant = [this] { return this->numbers.Next(); } },
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
      this->GetOrCreateDispatcher(aInstance->service)
        .OnMeasured(*aInstance, aMeasurement);
      this->ScheduleTick();
    });
}

void
SlotBroker::OnDecided(std::uint64_t aNumber, const DispatchResult& aResult)
{
  const auto remote = this->remoteRequests.find(aNumber);
  if (remote == this->remoteRequests.end()) {
    this->CompleteRequest(aNumber, aResult, {});
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
  this->hooks.send(remote->second.from.name, std::move(decision));
  this->remoteRequestIds.erase({ remote->second.from, remote->second.number });
  this->remoteRequests.erase(remote);
}

void
SlotBroker::DecideLocally(std::uint64_t aNumber, bool aIsFallback)
{
  PendingRequest& entry = this->pending.at(aNumber);
  entry.request.coldRateShare =
    aIsFallback
      ? kFallbackColdShare / static_cast<double>(this->hooks.hostCount())
      : this->ColdShareOf(entry.service);
  entry.request.limitShare =
    aIsFallback
      ? kFallbackLimitShare / static_cast<double>(this->hooks.hostCount())
      : kDispatcherLimitShare;
  entry.request.isCentrallyDispatched = !aIsFallback;
  entry.request.independentHosts = aIsFallback ? this->hooks.hostCount() : 1;
  entry.askedDaemon.clear();
  if (entry.timer) {
    entry.timer->cancel();
  }
  this->GetOrCreateDispatcher(entry.service).Submit(entry.request);
  this->ScheduleTick();
}

double
SlotBroker::ColdShareOf(const std::string& aService)
{
  const core::TimePoint now = this->hooks.now();
  std::map<std::string, core::TimePoint, std::less<>>& hosts =
    this->askers[aService];
  std::erase_if(hosts, [now](const auto& aHost) {
    return now - aHost.second > kAskerTime;
  });
  const double served = static_cast<double>(hosts.size() + 1) /
                        static_cast<double>(this->hooks.hostCount());
  return kDispatcherColdShare * std::min(1.0, served * kServedHostWeight);
}

void
SlotBroker::ReturnGrant(const std::string& aTo,
                        const std::string& aService,
                        std::uint64_t aGrant,
                        routing::ServerNotice aNotice)
{
  wire::SlotRelease release;
  release.service = aService;
  release.grant = aGrant;
  release.notice = aNotice;
  this->hooks.send(aTo, std::move(release));
}

void
SlotBroker::SendQueuedReply(const std::string& aTo, std::uint64_t aNumber)
{
  wire::SlotDecision queued;
  queued.number = aNumber;
  this->hooks.send(aTo, std::move(queued));
}

void
SlotBroker::SendSlotRequest(std::uint64_t aNumber, PendingRequest& aPending)
{
  const core::TimePoint now = this->hooks.now();
  const auto remaining = [now](core::TimePoint aTime) {
    return std::max(std::chrono::floor<milliseconds>(aTime - now), 0ms);
  };
  wire::SlotRequest request;
  request.number = aNumber;
  request.service = aPending.service;
  request.failureDomain = aPending.request.failureDomain;
  request.goal = remaining(aPending.request.goal);
  request.deadline = remaining(aPending.request.deadline);
  request.priority = aPending.request.priority;
  request.avoid = aPending.request.avoid;
  request.digest = aPending.digest;
  request.expectedBytes = aPending.request.expectedBytes;
  request.route = static_cast<std::uint32_t>(aPending.request.route);
  request.organisation = aPending.request.organisation;
  this->hooks.send(aPending.askedDaemon, std::move(request));
  this->StartDecisionTimer(
    aNumber, aPending.isQueued ? kRecheckTimeout : kDecisionTimeout);
}

void
SlotBroker::StartDecisionTimer(std::uint64_t aNumber, milliseconds aTime)
{
  PendingRequest& entry = this->pending.at(aNumber);
  if (!entry.timer) {
    entry.timer = std::make_shared<boost::asio::steady_timer>(this->context);
  }
  entry.timer->expires_after(aTime);
  entry.timer->async_wait([this, aNumber](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    const auto found = this->pending.find(aNumber);
    if (found == this->pending.end() || found->second.askedDaemon.empty()) {
      return;
    }
    this->OnDecisionTimeout(aNumber, found->second);
  });
}

void
SlotBroker::OnDecisionTimeout(std::uint64_t aNumber, PendingRequest& aPending)
{
  if (aPending.isQueued) {
    this->SendSlotRequest(aNumber, aPending);
    aPending.isQueued = false;
    return;
  }
  wire::SlotRelease withdrawal;
  withdrawal.number = aNumber;
  withdrawal.service = aPending.service;
  this->hooks.send(aPending.askedDaemon, std::move(withdrawal));
  this->RecordTimeout(aPending.askedDaemon);
  if (this->AskNext(aNumber, aPending)) {
    return;
  }
  if (this->LacksInstances()) {
    this->Hold(aNumber);
  } else {
    this->DecideLocally(aNumber, true);
  }
}

bool
SlotBroker::AskNext(std::uint64_t aNumber, PendingRequest& aPending)
{
  const ServiceDispatcher& dispatcher =
    this->GetOrCreateDispatcher(aPending.service);
  aPending.silentDaemons.push_back(aPending.askedDaemon);
  if (aPending.silentDaemons.size() >= kMaxAskedDaemons ||
      dispatcher.WarmCount(false) + dispatcher.WarmCount(true) > 0) {
    return false;
  }
  std::string next =
    this->DispatchingDaemonName(aPending.service, aPending.silentDaemons);
  if (next.empty()) {
    return false;
  }
  aPending.askedDaemon = std::move(next);
  this->SendSlotRequest(aNumber, aPending);
  return true;
}

bool
SlotBroker::LacksInstances() const
{
  return this->hooks.hasInstances && !this->hooks.hasInstances();
}

void
SlotBroker::Hold(std::uint64_t aNumber)
{
  PendingRequest& entry = this->pending.at(aNumber);
  entry.askedDaemon.clear();
  if (!entry.timer) {
    entry.timer = std::make_shared<boost::asio::steady_timer>(this->context);
  }
  entry.timer->expires_after(kHoldCheckInterval);
  entry.timer->async_wait([this, aNumber](boost::system::error_code aError) {
    if (!aError && this->pending.contains(aNumber)) {
      this->RetryHeld(aNumber);
    }
  });
}

void
SlotBroker::RetryHeld(std::uint64_t aNumber)
{
  PendingRequest& entry = this->pending.at(aNumber);
  entry.askedDaemon = this->DispatchingDaemonName(entry.service);
  if (!entry.askedDaemon.empty()) {
    this->SendSlotRequest(aNumber, entry);
  } else if (this->LacksInstances() && this->hooks.now() < entry.holdUntil) {
    this->Hold(aNumber);
  } else {
    this->DecideLocally(aNumber, !this->hooks.mayDispatch());
  }
}

void
SlotBroker::SubmitHeldRequests()
{
  if (this->LacksInstances()) {
    return;
  }
  const core::TimePoint now = this->hooks.now();
  for (HeldRequest& held : std::exchange(this->heldRequests, {})) {
    const auto age = std::chrono::ceil<milliseconds>(now - held.arrivedAt);
    held.request.goal = std::max(held.request.goal - age, 0ms);
    held.request.deadline = std::max(held.request.deadline - age, 0ms);
    this->OnMessage(held.from, held.request);
  }
}

void
SlotBroker::RecordTimeout(const std::string& aName)
{
  PeerState& state = this->peerStates[aName];
  if (++state.consecutiveTimeouts < kTimeoutsToAvoid) {
    return;
  }
  const core::TimePoint now = this->hooks.now();
  if (now >= state.avoidedUntil) {
    this->hooks.onPeerAvailabilityChange(aName, true);
  }
  state.avoidedUntil = now + kAvoidDuration;
}

void
SlotBroker::RecordAnswer(const std::string& aName)
{
  const auto state = this->peerStates.find(aName);
  if (state == this->peerStates.end()) {
    return;
  }
  if (state->second.consecutiveTimeouts >= kTimeoutsToAvoid) {
    this->hooks.onPeerAvailabilityChange(aName, false);
  }
  this->peerStates.erase(state);
}

void
SlotBroker::CompleteRequest(std::uint64_t aNumber,
                            const DispatchResult& aResult,
                            const std::string& aGrantedBy)
{
  const auto found = this->pending.find(aNumber);
  if (found == this->pending.end()) {
    return;
  }
  const PendingRequest decided = std::move(found->second);
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
