#include "routing/ServiceDispatcher.h"

#include "core/Hash.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <utility>

namespace fireflytrail::routing {

using namespace std::chrono_literals;
using core::ErrorKind;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

// Time after the deadline of its request at which a grant that was not released
// ends, since its host has presumably stopped.
constexpr milliseconds kGrantGracePeriod = 1000ms;

// Minimum and maximum of the time after which a refused caller is asked to
// retry. Before the minimum it would meet the same load; after the maximum most
// callers have given up.
constexpr milliseconds kMinRetryAfter = 50ms;
constexpr milliseconds kMaxRetryAfter = 2000ms;

// Time constant with which the count of refusals decays. Refused callers are
// expected to retry within this time and need capacity too.
constexpr milliseconds kRetryWindow = 1000ms;

// Retry time when no instance is usable: service discovery reports new
// instances about that often.
constexpr milliseconds kRetryAfterWithoutInstances = 500ms;

// Free slots at instances known to be good that are to be available in each
// failure domain that sends requests: the requests of a domain arrive in twos
// and threes.
constexpr double kReserveSlots = 8;

// Minimum time between two measurements of one instance. After it a good report
// has lost half its value, and at 6 ms each, measurements take one percent of
// four slots.
constexpr milliseconds kMinMeasureInterval = 150ms;

// Slots up to which all are used while requests wait. Leaving one of two free
// halves the throughput; two requests that each take 1.7 times as long raise
// it.
constexpr double kMaxSlotsToFill = 2;

// EWMA weight of one report in the average slowdown of the service.
constexpr double kMeanSlowdownWeight = 0.02;

// Interval at which waiting requests are checked against the instances. The
// number of other senders' requests that is assumed at an instance decays over
// time, without an event that would cause a check.
constexpr milliseconds kWaitingCheckInterval = 10ms;

// Time for which the state of a removed instance is kept. An instance that was
// cut off from the store is listed again with its first report after that.
constexpr milliseconds kRemovedRetention = 60'000ms;

// Maximum of the random part of a cost, so that idle instances of equal cost
// are used evenly.
constexpr double kCostJitterMs = 2;

// Cost of each request that is already at an instance, as a fraction of the
// typical duration. Below the limit of usable slots, requests that share the
// processor slow each other down only slightly.
constexpr double kCostPerRequestInFlight = 0.05;

// Cost of a repeat after a refusal, as a fraction of the typical duration. It
// takes little time, but the number of repeats is limited.
constexpr double kCostPerRepeat = 0.5;

// Share of requests that an instance is at least assumed to accept.
constexpr double kMinAcceptedShare = 0.05;

// Slots that are assumed while all instances are excluded or pause: most are
// back within half a second.
constexpr double kSlotsIfNoneIsUsable = 1;

constexpr double kBytesPerKilobyte = 1000;

// Rate at which an instance that names a lower limit gets requests: without an
// answer it would never be known that the limit has ended.
constexpr double kMinLimitRate = 0.25;

// Requests a second at which a cold instance gets some at least.
constexpr double kMinColdRate = 0.01;

// Time without requests of other hosts after which a dispatcher that receives
// one again begins anew to decide for all: another may have done so meanwhile.
constexpr milliseconds kDispatchGap = 2000ms;

// Part of the time between the turns of two hosts that a turn lasts. Hosts draw
// their turns, so that some overlap.
constexpr double kTurnShare = 0.5;

/** Returns the time between two requests at a share of a limit. */
nanoseconds
IntervalOf(double aRequestsPerSecond, double aShare)
{
  const double rate = std::max(aRequestsPerSecond, kMinLimitRate) * aShare;
  return std::chrono::duration_cast<nanoseconds>(
    std::chrono::duration<double>(1 / std::max(rate, kMinLimitRate / 1000)));
}

/** Whether the instance itself answered. */
bool
HasAnswer(AttemptOutcome aOutcome)
{
  return aOutcome == AttemptOutcome::Answered ||
         aOutcome == AttemptOutcome::Failed ||
         aOutcome == AttemptOutcome::Refused;
}

/** Whether an instance refused a request although it has free slots. */
bool
IsRefusalWithRoom(AttemptOutcome aOutcome,
                  const std::optional<LoadSample>& aSample)
{
  return aOutcome == AttemptOutcome::Refused && aSample &&
         aSample->running + aSample->waiting < aSample->slots;
}

double
Milliseconds(nanoseconds aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

ServiceDispatcher::ServiceDispatcher(DispatcherHooks aHooks,
                                     DispatcherSettings aSettings)
  : hooks(std::move(aHooks))
  , settings(aSettings)
  , waiting(aSettings.order)
  , durations(aSettings.initialTypicalDuration)
{
  assert(this->hooks.now && this->hooks.random && this->hooks.decided);
}

std::uint64_t
ServiceDispatcher::KeyOf(const BackendInstance& aInstance)
{
  return core::HashOf(aInstance.id, aInstance.startedAt);
}

void
ServiceDispatcher::SetInstances(const std::vector<DispatchTarget>& aTargets)
{
  const TimePoint now = this->hooks.now();
  std::map<std::uint64_t, Target> next;
  for (const DispatchTarget& source : aTargets) {
    assert(source.instance);
    const std::uint64_t key = KeyOf(*source.instance);
    Target target;
    if (auto known = this->targets.extract(key); !known.empty()) {
      target = std::move(known.mapped());
    } else if (auto removed = this->removedTargets.extract(key);
               !removed.empty()) {
      target = std::move(removed.mapped().target);
    }
    const bool isChanged =
      !target.source.instance || *target.source.instance != *source.instance;
    if (isChanged && source.instance->remainingColdTime.count() > 0) {
      this->SetCold(target, source.instance->remainingColdTime);
    }
    target.key = key;
    target.source = source;
    target.isLeaving = this->leavingKeys.contains(key);
    next.emplace(key, std::move(target));
  }
  for (auto& [key, target] : this->targets) {
    this->removedTargets.insert_or_assign(
      key, RemovedTarget{ std::move(target), now });
  }
  this->targets = std::move(next);
  this->DropRemovedTargets();
  this->usableSlotsAt = {};
  this->DispatchWaiting();
}

void
ServiceDispatcher::SetService(const configuration::BackendService& aService)
{
  this->service = aService;
}

void
ServiceDispatcher::Submit(DispatchRequest aRequest)
{
  const TimePoint now = this->hooks.now();
  const DurationEstimate& estimate = this->durations.Of(aRequest.route);
  this->coldShare = aRequest.coldRateShare;
  if (aRequest.isCentrallyDispatched) {
    if (now - this->lastCentralAt > kDispatchGap) {
      this->centralSince = now;
    }
    this->lastCentralAt = now;
    this->centralColdShare = aRequest.coldRateShare;
  }
  aRequest.isPromised = this->promises.Redeem(aRequest.digest, now);
  this->waiting.CountArrival(aRequest, estimate, now);
  if (this->waiting.IsEmpty()) {
    // While requests wait, no instance is idle.
    this->MeasureIfReserveIsLow(aRequest);
  }
  const Choice choice = this->waiting.IsEmpty()
                          ? this->ChooseByTrialShare(aRequest)
                          : Choice{ nullptr, true, std::nullopt };
  if (choice.target != nullptr) {
    this->GrantInstance(aRequest, *choice.target);
    return;
  }
  if (!choice.hasTargets) {
    this->RefuseWithoutTargets(aRequest, choice);
    return;
  }
  const double slots = this->TotalUsableSlots();
  if (!this->waiting.MayWait(
        aRequest, estimate, slots > 0 ? slots : kSlotsIfNoneIsUsable, now)) {
    this->RefuseForLoad(aRequest);
    return;
  }
  const bool isInTime = this->IsInTime(aRequest, now);
  this->waiting.Add(std::move(aRequest), estimate, now);
  if (isInTime && this->waiting.Size() > 1) {
    this->DispatchWaiting(nullptr);
  } else {
    // A slow instance that is left to late requests may have room, and slots
    // that are used only while requests wait are free for the first of them.
    this->DispatchWaiting();
  }
}

void
ServiceDispatcher::Withdraw(std::uint64_t aId)
{
  this->waiting.Remove(aId);
}

void
ServiceDispatcher::Release(std::uint64_t aGrant,
                           AttemptOutcome aOutcome,
                           nanoseconds aDuration,
                           const std::optional<LoadSample>& aSample,
                           const ServerNotice& aNotice)
{
  const auto grant = this->grants.find(aGrant);
  if (grant == this->grants.end()) {
    return;
  }
  Target* const target = this->FindTarget(grant->second.key);
  const std::uint64_t route = grant->second.route;
  const TimePoint begin = grant->second.begin;
  if (aNotice.isLeaving) {
    this->MarkLeaving(grant->second.key);
  }
  this->grants.erase(grant);
  if (target != nullptr) {
    if (this->hooks.onRequestEnded) {
      this->hooks.onRequestEnded({ target->source.instance,
                                   target->source.isOnTrial,
                                   this->hooks.now() < target->coldUntil,
                                   route,
                                   aOutcome,
                                   aDuration,
                                   this->TypicalDuration() });
    }
    // The report counts the request with whose answer it came, so it is applied
    // before the request ends.
    if (aSample) {
      this->ApplyReport(target->load, *aSample);
    }
    if (HasAnswer(aOutcome)) {
      this->ApplyNotice(*target, aNotice, begin);
    } else {
      this->ApplyPause(*target, aNotice);
    }
    if (IsRefusalWithRoom(aOutcome, aSample)) {
      target->load.EndRefusedWithRoom(this->hooks.now());
    } else {
      target->load.End(aOutcome,
                       aDuration,
                       this->durations.Of(route).typical,
                       this->hooks.now());
    }
  }
  this->RecordDuration(route, aOutcome, aDuration);
  if (aNotice.isLeaving || aNotice.pause) {
    this->DispatchWaiting();
  } else {
    this->DispatchWaiting(this->IfListed(target));
  }
}

void
ServiceDispatcher::Observe(const BackendInstance& aInstance,
                           AttemptOutcome aOutcome,
                           nanoseconds aDuration,
                           const std::optional<LoadSample>& aSample,
                           const ServerNotice& aNotice)
{
  if (aNotice.isLeaving) {
    this->MarkLeaving(KeyOf(aInstance));
  }
  Target* const target = this->FindTarget(KeyOf(aInstance));
  if (target == nullptr) {
    return;
  }
  InstanceLoad& load = target->load;
  load.Begin();
  if (aSample) {
    this->ApplyReport(load, *aSample);
  }
  if (HasAnswer(aOutcome)) {
    this->ApplyNotice(*target, aNotice, this->hooks.now() - aDuration);
  }
  if (IsRefusalWithRoom(aOutcome, aSample)) {
    load.EndRefusedWithRoom(this->hooks.now());
  } else {
    load.End(aOutcome, aDuration, this->TypicalDuration(), this->hooks.now());
  }
  this->RecordDuration(0, aOutcome, aDuration);
}

void
ServiceDispatcher::OnMeasured(const BackendInstance& aInstance,
                              const std::optional<Measurement>& aMeasurement)
{
  Target* const target = this->FindTarget(KeyOf(aInstance));
  if (target == nullptr || !aMeasurement) {
    return;
  }
  this->ApplyReport(target->load, aMeasurement->load);
  if (aMeasurement->notice.isLeaving) {
    this->MarkLeaving(target->key);
  }
  this->ApplyNotice(*target, aMeasurement->notice, target->measuredAt);
  if (aMeasurement->remainingColdTime.count() > 0) {
    this->SetCold(*target, aMeasurement->remainingColdTime);
  }
  if (aMeasurement->notice.isLeaving || aMeasurement->notice.pause) {
    this->DispatchWaiting();
  } else {
    this->DispatchWaiting(this->IfListed(target));
  }
}

void
ServiceDispatcher::Tick()
{
  const TimePoint now = this->hooks.now();
  for (auto grant = this->grants.begin(); grant != this->grants.end();) {
    if (grant->second.expires > now) {
      ++grant;
      continue;
    }
    if (Target* const target = this->FindTarget(grant->second.key)) {
      target->load.End(AttemptOutcome::Cancelled,
                       nanoseconds(0),
                       this->TypicalDuration(),
                       now);
    }
    grant = this->grants.erase(grant);
  }
  this->DropRemovedTargets();
  this->DispatchWaiting();
}

std::optional<TimePoint>
ServiceDispatcher::NextDue() const
{
  if (!this->waiting.IsEmpty()) {
    return this->hooks.now() + kWaitingCheckInterval;
  }
  std::optional<TimePoint> due;
  for (const auto& [id, grant] : this->grants) {
    due = due ? std::min(*due, grant.expires) : grant.expires;
  }
  return due;
}

std::size_t
ServiceDispatcher::GrantCount(bool aOnTrial) const
{
  std::size_t count = 0;
  for (const auto& [key, target] : this->targets) {
    if (target.source.isOnTrial == aOnTrial) {
      count += target.load.InFlight();
    }
  }
  return count;
}

std::size_t
ServiceDispatcher::WarmCount(bool aOnTrial) const
{
  const TimePoint now = this->hooks.now();
  return static_cast<std::size_t>(
    std::ranges::count_if(this->targets, [&](const auto& aEntry) {
      const Target& target = aEntry.second;
      return this->IsUsable(target) && target.source.isOnTrial == aOnTrial &&
             now >= target.coldUntil;
    }));
}

ServiceDispatcher::Target*
ServiceDispatcher::FindTarget(std::uint64_t aKey)
{
  return const_cast<Target*>(std::as_const(*this).FindTarget(aKey));
}

const ServiceDispatcher::Target*
ServiceDispatcher::FindTarget(std::uint64_t aKey) const
{
  if (const auto listed = this->targets.find(aKey);
      listed != this->targets.end()) {
    return &listed->second;
  }
  const auto removed = this->removedTargets.find(aKey);
  return removed == this->removedTargets.end() ? nullptr
                                               : &removed->second.target;
}

ServiceDispatcher::Target*
ServiceDispatcher::IfListed(Target* aTarget)
{
  return aTarget != nullptr && this->targets.contains(aTarget->key) ? aTarget
                                                                    : nullptr;
}

void
ServiceDispatcher::DropRemovedTargets()
{
  const TimePoint now = this->hooks.now();
  std::erase_if(this->removedTargets, [now](const auto& aEntry) {
    return aEntry.second.target.load.InFlight() == 0 &&
           now - aEntry.second.removedAt >= kRemovedRetention;
  });
}

ServiceDispatcher::Choice
ServiceDispatcher::ChooseByTrialShare(const DispatchRequest& aRequest)
{
  if (this->settings.trialShare > 0 && aRequest.isCentrallyDispatched) {
    const bool isForAll = this->settings.trialShare >= 1;
    const double credit = this->trialCredit + this->settings.trialShare;
    if (isForAll || credit >= 1) {
      const Choice trial = this->Choose(aRequest, true);
      if (trial.target != nullptr || (isForAll && trial.hasTargets)) {
        return trial;
      }
    }
  }
  return this->Choose(aRequest, false);
}

ServiceDispatcher::Choice
ServiceDispatcher::Choose(const DispatchRequest& aRequest, bool aOnTrial)
{
  const TimePoint now = this->hooks.now();
  Choice choice;
  double lowestCost = std::numeric_limits<double>::infinity();
  for (auto& [key, target] : this->targets) {
    if (!this->MayRun(target, aRequest, aOnTrial)) {
      continue;
    }
    if (now < target.pausedUntil) {
      choice.firstReturn = choice.firstReturn
                             ? std::min(*choice.firstReturn, target.pausedUntil)
                             : target.pausedUntil;
      continue;
    }
    choice.hasTargets = true;
    if (!this->HasCapacity(target, aRequest, now)) {
      continue;
    }
    if (this->IsTooSlowFor(target, aRequest, now)) {
      continue;
    }
    const double cost = this->CostOf(target, aRequest, now);
    if (cost < lowestCost) {
      lowestCost = cost;
      choice.target = &target;
    }
  }
  return choice;
}

void
ServiceDispatcher::MeasureIfReserveIsLow(const DispatchRequest& aRequest)
{
  if (!this->hooks.measure || !aRequest.isCentrallyDispatched) {
    return;
  }
  const TimePoint now = this->hooks.now();
  double freeGoodSlots = 0;
  Target* leastRecent = nullptr;
  for (auto& [key, target] : this->targets) {
    // A measurement counts as a request of an instance that names a limit.
    if (!this->IsUsable(target) || now < target.coldUntil || target.limit ||
        now < target.pausedUntil ||
        target.source.instance->failureDomain != aRequest.failureDomain ||
        !this->HasCapacity(target, aRequest, now)) {
      continue;
    }
    if (target.load.IsKnownGood(now)) {
      freeGoodSlots +=
        this->UsableSlots(target) - target.load.EstimatedInFlight(now);
    } else if (now - target.measuredAt >= kMinMeasureInterval &&
               now - target.load.ReportedAt() >= kMinMeasureInterval &&
               (leastRecent == nullptr ||
                target.load.ReportedAt() < leastRecent->load.ReportedAt())) {
      leastRecent = &target;
    }
  }
  if (freeGoodSlots < kReserveSlots && leastRecent != nullptr) {
    leastRecent->measuredAt = now;
    this->hooks.measure(leastRecent->source.instance);
  }
}

bool
ServiceDispatcher::MayRun(const Target& aTarget,
                          const DispatchRequest& aRequest,
                          bool aOnTrial) const
{
  return this->IsUsable(aTarget) && aTarget.source.isOnTrial == aOnTrial &&
         std::ranges::find(aRequest.avoid, aTarget.key) == aRequest.avoid.end();
}

bool
ServiceDispatcher::IsUsable(const Target& aTarget) const
{
  return aTarget.source.isUsable && !aTarget.isLeaving;
}

bool
ServiceDispatcher::HasCapacity(const Target& aTarget,
                               const DispatchRequest& aRequest,
                               TimePoint aNow) const
{
  const double slots = this->UsableSlots(aTarget);
  if (aTarget.load.InFlight() + 0.5 >= slots || aTarget.load.IsEjected(aNow)) {
    return false;
  }
  if (aTarget.limit && !this->MaySendLimited(aTarget, aRequest, aNow)) {
    return false;
  }
  if (aNow < aTarget.coldUntil && !this->MaySendCold(aTarget, aRequest, aNow)) {
    return false;
  }
  if (aTarget.load.IsOnProbation()) {
    return aTarget.load.InFlight() == 0;
  }
  return aTarget.load.EstimatedInFlight(aNow) + 0.5 < slots;
}

bool
ServiceDispatcher::MaySendCold(const Target& aTarget,
                               const DispatchRequest& aRequest,
                               TimePoint aNow) const
{
  if (this->service.coldRequestsPerSecond <= 0) {
    return true;
  }
  const bool isCentral = aRequest.isCentrallyDispatched;
  const double rate =
    this->service.coldRequestsPerSecond *
    (isCentral ? this->centralColdShare : aRequest.coldRateShare);
  const auto interval = std::chrono::duration_cast<nanoseconds>(
    std::chrono::duration<double>(1 / std::max(rate, kMinColdRate)));
  if (aNow - aTarget.lastColdSend < interval) {
    return false;
  }
  if (!isCentral) {
    return this->IsOwnTurn(
      aTarget, aRequest, aNow - aTarget.coldSince, interval);
  }
  return aNow - this->centralSince >= this->TurnOf(aTarget) * interval;
}

bool
ServiceDispatcher::MaySendLimited(const Target& aTarget,
                                  const DispatchRequest& aRequest,
                                  TimePoint aNow) const
{
  const nanoseconds interval = IntervalOf(*aTarget.limit, aRequest.limitShare);
  return aNow - aTarget.lastLimitedSend >= interval &&
         this->IsOwnTurn(
           aTarget, aRequest, aNow - aTarget.limitSince, interval);
}

bool
ServiceDispatcher::IsOwnTurn(const Target& aTarget,
                             const DispatchRequest& aRequest,
                             nanoseconds aSince,
                             nanoseconds aInterval) const
{
  if (aRequest.independentHosts <= 1) {
    return true;
  }
  const double intervals = std::chrono::duration<double>(aSince) /
                           std::chrono::duration<double>(aInterval);
  const double position = intervals - this->TurnOf(aTarget);
  return position - std::floor(position) <
         kTurnShare / static_cast<double>(aRequest.independentHosts);
}

double
ServiceDispatcher::TurnOf(const Target& aTarget) const
{
  constexpr double kRange =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return static_cast<double>(
           core::HashOf(aTarget.source.instance->id, this->settings.hostKey)) /
         kRange;
}

void
ServiceDispatcher::SetCold(Target& aTarget, nanoseconds aTime) const
{
  const TimePoint now = this->hooks.now();
  if (now >= aTarget.coldUntil) {
    aTarget.coldSince = now;
  }
  aTarget.coldUntil = now + aTime;
}

double
ServiceDispatcher::UsableSlots(const Target& aTarget) const
{
  const double slots = aTarget.source.instance->slots;
  if (slots <= kMaxSlotsToFill && !this->waiting.IsEmpty()) {
    return slots;
  }
  return std::max(1.0, std::floor(this->settings.usableShare * slots));
}

void
ServiceDispatcher::MarkLeaving(std::uint64_t aKey)
{
  const bool isNew = this->leavingKeys.insert(aKey).second;
  const auto target = this->targets.find(aKey);
  if (target == this->targets.end()) {
    return;
  }
  target->second.isLeaving = true;
  if (isNew && this->hooks.onLeaving) {
    this->hooks.onLeaving(*target->second.source.instance);
  }
}

void
ServiceDispatcher::ApplyPause(Target& aTarget, const ServerNotice& aNotice)
{
  if (aNotice.pause) {
    aTarget.pausedUntil =
      std::max(aTarget.pausedUntil, this->hooks.now() + *aNotice.pause);
  }
}

void
ServiceDispatcher::ApplyNotice(Target& aTarget,
                               const ServerNotice& aNotice,
                               TimePoint aRequestBegin)
{
  const TimePoint now = this->hooks.now();
  this->ApplyPause(aTarget, aNotice);
  const std::optional<double> previous = aTarget.limit;
  if (aNotice.requestsPerSecond) {
    if (!aTarget.limit) {
      aTarget.limitSince = now;
      aTarget.lastLimitedSend = now;
    }
    aTarget.limit = aNotice.requestsPerSecond;
    aTarget.limitNamedAt = now;
  } else if (aRequestBegin >= aTarget.limitNamedAt) {
    // An answer without a limit ends it only if it is certainly later than the
    // one that named it: releases of several hosts overtake each other.
    aTarget.limit.reset();
  }
  if (aTarget.limit != previous && this->hooks.onLimitChanged) {
    this->hooks.onLimitChanged(*aTarget.source.instance, aTarget.limit);
  }
}

double
ServiceDispatcher::CostOf(const Target& aTarget,
                          const DispatchRequest& aRequest,
                          TimePoint aNow) const
{
  const nanoseconds typical = this->durations.Of(aRequest.route).typical;
  const double typicalMs = Milliseconds(typical);
  double cost = Milliseconds(
    aTarget.load.ExpectedExtraDuration(typical, this->meanSlowdown, aNow));
  cost +=
    kCostPerRequestInFlight * typicalMs * aTarget.load.EstimatedInFlight(aNow);
  if (aTarget.source.instance->failureDomain != aRequest.failureDomain) {
    cost += Milliseconds(this->settings.crossDomainCost) +
            Milliseconds(this->settings.crossDomainCostPerKilobyte) *
              static_cast<double>(aRequest.expectedBytes) / kBytesPerKilobyte;
  }
  if (aNow < aTarget.coldUntil) {
    // A cold instance takes about twice as long as a warm one.
    cost += typicalMs;
  }
  // The expected number of further attempts, each of which costs a repeat.
  const double refusedShare = aTarget.load.RefusedShare(aNow);
  cost += kCostPerRepeat * typicalMs * refusedShare /
          std::max(1 - refusedShare, kMinAcceptedShare);
  constexpr double kRange =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return cost +
         kCostJitterMs * static_cast<double>(this->hooks.random()) / kRange;
}

void
ServiceDispatcher::GrantInstance(const DispatchRequest& aRequest,
                                 Target& aTarget)
{
  const TimePoint now = this->hooks.now();
  if (aRequest.isCentrallyDispatched) {
    this->trialCredit = std::min(2.0,
                                 this->trialCredit + this->settings.trialShare -
                                   (aTarget.source.isOnTrial ? 1 : 0));
  }
  if (now < aTarget.coldUntil) {
    aTarget.lastColdSend = now;
  }
  if (aTarget.limit) {
    // One request that was not sent when it could have been is made up for.
    const nanoseconds interval =
      IntervalOf(*aTarget.limit, aRequest.limitShare);
    aTarget.lastLimitedSend = std::min(
      now, std::max(aTarget.lastLimitedSend + interval, now - interval));
  }
  this->waiting.CountGranted(aRequest, this->durations.Of(aRequest.route), now);
  aTarget.load.Begin();
  const std::uint64_t id =
    this->hooks.nextGrant ? this->hooks.nextGrant() : ++this->lastGrant;
  this->grants.emplace(id,
                       Grant{ KeyOf(*aTarget.source.instance),
                              aRequest.deadline + kGrantGracePeriod,
                              aRequest.route,
                              now });
  this->hooks.decided(aRequest.id,
                      { .kind = ErrorKind::None,
                        .grant = id,
                        .instance = aTarget.source.instance,
                        .retryAfter = milliseconds(0) });
}

void
ServiceDispatcher::Refuse(const DispatchRequest& aRequest,
                          ErrorKind aKind,
                          nanoseconds aRetryAfter,
                          milliseconds aMaxRetryAfter)
{
  const TimePoint now = this->hooks.now();
  this->waiting.CountRefused(aRequest, now);
  this->recentRefusals = this->ExpectedRetries() + 1;
  this->recentRefusalsAt = now;
  // Random jitter, so that callers that are refused together do not retry
  // together.
  const nanoseconds jitter(
    static_cast<nanoseconds::rep>(this->hooks.random() % 1000) *
    std::max<nanoseconds>(aRetryAfter, kMinRetryAfter).count() / 2000);
  const auto retryTime = std::chrono::ceil<milliseconds>(aRetryAfter + jitter);
  this->hooks.decided(
    aRequest.id,
    { .kind = aKind,
      .grant = 0,
      .instance = nullptr,
      .retryAfter = std::clamp(retryTime, kMinRetryAfter, aMaxRetryAfter) });
}

void
ServiceDispatcher::RefuseForLoad(const DispatchRequest& aRequest)
{
  const nanoseconds retryAfter = this->TimeUntilCapacity();
  if (retryAfter <= kMaxRetryAfter) {
    this->promises.Promise(aRequest.digest, retryAfter, this->hooks.now());
  }
  this->Refuse(aRequest, ErrorKind::Overloaded, retryAfter, kMaxRetryAfter);
}

void
ServiceDispatcher::RefuseWithoutTargets(const DispatchRequest& aRequest,
                                        const Choice& aChoice)
{
  if (!aChoice.firstReturn) {
    this->Refuse(aRequest,
                 ErrorKind::NoServer,
                 kRetryAfterWithoutInstances,
                 kMaxRetryAfter);
    return;
  }
  // This time is known, not estimated, so it is not cut.
  this->Refuse(aRequest,
               ErrorKind::Overloaded,
               *aChoice.firstReturn - this->hooks.now(),
               milliseconds::max());
}

bool
ServiceDispatcher::IsInTime(const DispatchRequest& aRequest,
                            TimePoint aNow) const
{
  return aNow + this->durations.Of(aRequest.route).typical <= aRequest.goal;
}

bool
ServiceDispatcher::IsTooSlowFor(const Target& aTarget,
                                const DispatchRequest& aRequest,
                                TimePoint aNow) const
{
  const double slowdown = aTarget.load.FreshSlowdown(aNow);
  if (slowdown <= 1 || !this->IsInTime(aRequest, aNow)) {
    return false;
  }
  const nanoseconds duration(static_cast<nanoseconds::rep>(
    static_cast<double>(this->durations.Of(aRequest.route).typical.count()) *
    slowdown));
  return aNow + duration > aRequest.goal;
}

void
ServiceDispatcher::ApplyReport(InstanceLoad& aLoad, const LoadSample& aSample)
{
  aLoad.ApplyReport(aSample, this->hooks.now());
  this->meanSlowdown +=
    kMeanSlowdownWeight * (aSample.slowdown - this->meanSlowdown);
}

void
ServiceDispatcher::DispatchWaiting(Target* aFreed)
{
  if (this->waiting.IsEmpty()) {
    return;
  }
  const TimePoint now = this->hooks.now();
  this->RefuseUnservable(now);
  if (this->settings.trialShare > 0 ||
      now - this->allTriedAt >= kWaitingCheckInterval) {
    this->DispatchWaiting();
    return;
  }
  if (aFreed != nullptr) {
    while (!this->waiting.IsEmpty() && this->TryDispatchTo(*aFreed, now)) {
    }
  }
  this->RefuseExcess(now);
}

bool
ServiceDispatcher::TryDispatchTo(Target& aTarget, TimePoint aNow)
{
  for (std::size_t index = 0; index < kCandidates; ++index) {
    const DispatchRequest* const candidate = this->Candidate(index, aNow);
    if (candidate == nullptr || !this->MayRun(aTarget, *candidate, false) ||
        aNow < aTarget.pausedUntil ||
        !this->HasCapacity(aTarget, *candidate, aNow) ||
        this->IsTooSlowFor(aTarget, *candidate, aNow)) {
      continue;
    }
    this->GrantInstance(this->waiting.Take(candidate->id), aTarget);
    return true;
  }
  return false;
}

void
ServiceDispatcher::DispatchWaiting()
{
  const TimePoint now = this->hooks.now();
  this->RefuseUnservable(now);
  this->allTriedAt = now;
  bool isDispatched = true;
  while (!this->waiting.IsEmpty() && isDispatched) {
    isDispatched = false;
    for (std::size_t index = 0; index < kCandidates && !isDispatched; ++index) {
      const DispatchRequest* const candidate = this->Candidate(index, now);
      isDispatched = candidate != nullptr && this->TryDispatch(*candidate);
    }
  }
  this->RefuseExcess(now);
}

const DispatchRequest*
ServiceDispatcher::Candidate(std::size_t aIndex, TimePoint aNow) const
{
  switch (aIndex) {
    case 0:
      return this->waiting.First(aNow);
    case 1:
      return this->waiting.MostPatient(aNow);
    default:
      return this->waiting.FirstLate(aNow);
  }
}

void
ServiceDispatcher::RefuseExcess(TimePoint aNow)
{
  if (this->waiting.IsEmpty()) {
    return;
  }
  const double slots = std::max(this->TotalUsableSlots(), 1.0);
  for (const DispatchRequest& request :
       this->waiting.TakeExcess(slots, this->TypicalDuration(), aNow)) {
    this->RefuseForLoad(request);
  }
}

double
ServiceDispatcher::ExpectedRetries() const
{
  const std::chrono::duration<double> age =
    this->hooks.now() - this->recentRefusalsAt;
  return this->recentRefusals *
         std::exp(-age / std::chrono::duration<double>(kRetryWindow));
}

bool
ServiceDispatcher::TryDispatch(const DispatchRequest& aWaiting)
{
  const Choice choice = this->ChooseByTrialShare(aWaiting);
  if (choice.target == nullptr && choice.hasTargets) {
    return false;
  }
  const DispatchRequest request = this->waiting.Take(aWaiting.id);
  if (choice.target == nullptr) {
    this->RefuseWithoutTargets(request, choice);
  } else {
    this->GrantInstance(request, *choice.target);
  }
  return true;
}

void
ServiceDispatcher::RefuseUnservable(TimePoint aNow)
{
  for (const DispatchRequest& request : this->waiting.TakeHopeless(aNow)) {
    this->RefuseForLoad(request);
  }
}

double
ServiceDispatcher::TotalUsableSlots() const
{
  const TimePoint now = this->hooks.now();
  if (now - this->usableSlotsAt < kWaitingCheckInterval) {
    return this->usableSlots;
  }
  this->usableSlotsAt = now;
  this->usableSlots = 0;
  const double typicalSeconds =
    std::chrono::duration<double>(this->TypicalDuration()).count();
  for (const auto& [key, target] : this->targets) {
    if (!this->IsUsable(target) || target.load.IsEjected(now) ||
        now < target.pausedUntil) {
      continue;
    }
    // Of an instance that takes a limited rate, no more slots are occupied than
    // that rate fills.
    double rate = std::numeric_limits<double>::infinity();
    if (target.limit) {
      rate = *target.limit;
    }
    if (now<target.coldUntil&& this->service.coldRequestsPerSecond> 0) {
      rate =
        std::min(rate, this->service.coldRequestsPerSecond * this->coldShare);
    }
    this->usableSlots +=
      std::min(this->UsableSlots(target), rate * typicalSeconds);
  }
  return this->usableSlots;
}

nanoseconds
ServiceDispatcher::RemainingPause(const BackendInstance& aInstance) const
{
  const Target* const target = this->FindTarget(KeyOf(aInstance));
  return target == nullptr ? nanoseconds(0)
                           : target->pausedUntil - this->hooks.now();
}

nanoseconds
ServiceDispatcher::TimeUntilCapacity() const
{
  const double slots = this->TotalUsableSlots();
  if (slots == 0) {
    return kRetryAfterWithoutInstances;
  }
  // The caller that returns needs a slot as well.
  const double returning =
    static_cast<double>(this->durations.OfService().mean.count()) *
    (1 + std::floor(this->ExpectedRetries()));
  return nanoseconds(static_cast<nanoseconds::rep>(
    (static_cast<double>(this->waiting.Work().count()) + returning) / slots));
}

void
ServiceDispatcher::RecordDuration(std::uint64_t aRoute,
                                  AttemptOutcome aOutcome,
                                  nanoseconds aDuration)
{
  // A request that timed out took at least as long as was recorded. Without
  // such requests, the typical duration would seem short when everything takes
  // too long.
  if (aOutcome == AttemptOutcome::Answered ||
      aOutcome == AttemptOutcome::TimedOut) {
    this->durations.Record(aRoute, aDuration);
  }
}

} // namespace fireflytrail::routing
