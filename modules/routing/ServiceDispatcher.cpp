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

// Time after its request's deadline at which a grant counts as ended although
// nobody has said so: its host has stopped.
constexpr milliseconds kGrantGrace = 1000ms;

// Shortest and longest time after which a refused caller is told to return.
// Below the first it would find the same load, beyond the second most callers
// have given up.
constexpr milliseconds kLeastRetryAfter = 50ms;
constexpr milliseconds kMostRetryAfter = 2000ms;

// Work that may wait, as the time in which all usable slots do it. The newest
// goes first, so under lasting overload what waits beyond this is not served in
// time any more and is refused while its caller can still come back.
constexpr milliseconds kMostQueuedWork = 150ms;

// Time over which refusals are counted: their callers are about to return and
// need room too.
constexpr milliseconds kReturnTime = 1000ms;

// Time to return when no instance is usable: discovery reports new instances
// about that often.
constexpr milliseconds kRetryWithoutInstances = 500ms;

// Step by which one duration moves the usual duration up or down, so that half
// of the durations are longer. An average would be that of the slow instances
// just when load is at its worst, and no request would seem to be in time.
constexpr double kTypicalStep = 0.03;

// Slots at instances known to be good that are kept ready in each failure
// domain with requests: the requests of a domain arrive in twos and threes.
constexpr double kReserveSlots = 8;

// Shortest time between two measurements of one instance: a good report is
// worth half as much after it, and at 6 ms each, measurements take one percent
// of four slots.
constexpr milliseconds kMeasureInterval = 150ms;

// Requests that may wait however few instances there are.
constexpr double kLeastQueue = 4;

// Weight of one report in the average slowdown of the service.
constexpr double kMeanSlowdownWeight = 0.02;

// While requests wait, room at instances is looked for this often: reports of
// other callers' requests fade without an event.
constexpr milliseconds kWaitingInterval = 10ms;

// Spread of equal costs, so that idle instances are used evenly.
constexpr double kCostJitterMs = 2;

// Cost of each request that an instance has already, in parts of the usual
// duration: work shares the processor below the usable slots only slightly.
constexpr double kBusyCost = 0.05;

constexpr double kBytesPerKilobyte = 1000;

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
  , typical(aSettings.firstTypical)
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
    if (const auto known = this->targets.find(key);
        known != this->targets.end()) {
      target = std::move(known->second);
    }
    const bool isChanged =
      !target.source.instance || *target.source.instance != *source.instance;
    if (isChanged && source.instance->coldFor.count() > 0) {
      target.coldUntil = now + source.instance->coldFor;
    }
    target.source = source;
    next.emplace(key, std::move(target));
  }
  this->targets = std::move(next);
  this->ServeWaiting();
}

void
ServiceDispatcher::SetService(const configuration::BackendService& aService)
{
  this->service = aService;
}

void
ServiceDispatcher::Submit(DispatchRequest aRequest)
{
  this->KeepReserve(aRequest);
  const Choice choice = this->waiting.empty() ? this->ChooseForShare(aRequest)
                                              : Choice{ nullptr, true };
  if (choice.target != nullptr) {
    this->Give(aRequest, *choice.target);
    return;
  }
  if (!choice.hasTargets) {
    this->Refuse(aRequest.id, ErrorKind::NoServer, kRetryWithoutInstances);
    return;
  }
  const TimePoint now = this->hooks.now();
  const nanoseconds wait = this->ExpectedWait(this->AheadOf(aRequest));
  if (now + wait + this->typical > aRequest.deadline) {
    this->Refuse(aRequest.id, ErrorKind::Overloaded, this->TimeUntilRoom());
    return;
  }
  this->waiting.push_back({ std::move(aRequest), now });
  this->ServeWaiting();
}

void
ServiceDispatcher::Withdraw(std::uint64_t aId)
{
  std::erase_if(this->waiting, [aId](const Waiting& aWaiting) {
    return aWaiting.request.id == aId;
  });
}

void
ServiceDispatcher::Release(std::uint64_t aGrant,
                           UseOutcome aOutcome,
                           nanoseconds aDuration,
                           const std::optional<LoadSample>& aSample)
{
  const auto grant = this->grants.find(aGrant);
  if (grant == this->grants.end()) {
    return;
  }
  const auto target = this->targets.find(grant->second.key);
  const std::uint64_t route = grant->second.route;
  this->grants.erase(grant);
  if (target != this->targets.end()) {
    if (this->hooks.ended) {
      this->hooks.ended({ target->second.source.instance,
                          target->second.source.isOnTrial,
                          this->hooks.now() < target->second.coldUntil,
                          route,
                          aOutcome,
                          aDuration,
                          this->typical });
    }
    // The report counts the request that it came with.
    if (aSample) {
      this->TakeSample(target->second.load, *aSample);
    }
    target->second.load.End(
      aOutcome, aDuration, this->typical, this->hooks.now());
  }
  this->TakeTypical(aOutcome, aDuration);
  this->ServeWaiting();
}

void
ServiceDispatcher::Observe(const BackendInstance& aInstance,
                           UseOutcome aOutcome,
                           nanoseconds aDuration,
                           const std::optional<LoadSample>& aSample)
{
  const auto target = this->targets.find(KeyOf(aInstance));
  if (target == this->targets.end()) {
    return;
  }
  InstanceLoad& load = target->second.load;
  load.Begin();
  if (aSample) {
    this->TakeSample(load, *aSample);
  }
  load.End(aOutcome, aDuration, this->typical, this->hooks.now());
  this->TakeTypical(aOutcome, aDuration);
}

void
ServiceDispatcher::OnMeasured(const BackendInstance& aInstance,
                              const std::optional<Measurement>& aMeasurement)
{
  const auto target = this->targets.find(KeyOf(aInstance));
  if (target == this->targets.end() || !aMeasurement) {
    return;
  }
  this->TakeSample(target->second.load, aMeasurement->load);
  if (aMeasurement->coldFor.count() > 0) {
    target->second.coldUntil = this->hooks.now() + aMeasurement->coldFor;
  }
  this->ServeWaiting();
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
    const auto target = this->targets.find(grant->second.key);
    if (target != this->targets.end()) {
      target->second.load.End(
        UseOutcome::Cancelled, nanoseconds(0), this->typical, now);
    }
    grant = this->grants.erase(grant);
  }
  this->ServeWaiting();
}

std::optional<TimePoint>
ServiceDispatcher::NextDue() const
{
  if (!this->waiting.empty()) {
    return this->hooks.now() + kWaitingInterval;
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
      return target.source.isUsable && target.source.isOnTrial == aOnTrial &&
             now >= target.coldUntil;
    }));
}

ServiceDispatcher::Choice
ServiceDispatcher::ChooseForShare(const DispatchRequest& aRequest)
{
  if (this->settings.trialShare > 0 && aRequest.isForAllHosts) {
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
  double least = std::numeric_limits<double>::infinity();
  for (auto& [key, target] : this->targets) {
    if (!target.source.isUsable || target.source.isOnTrial != aOnTrial ||
        std::ranges::find(aRequest.avoid, key) != aRequest.avoid.end()) {
      continue;
    }
    choice.hasTargets = true;
    if (!this->HasRoom(target, now)) {
      continue;
    }
    if (this->IsTooSlowFor(target, aRequest)) {
      continue;
    }
    const double cost = this->CostOf(target, aRequest, now);
    if (cost < least) {
      least = cost;
      choice.target = &target;
    }
  }
  return choice;
}

void
ServiceDispatcher::KeepReserve(const DispatchRequest& aRequest)
{
  if (!this->hooks.measure || !aRequest.isForAllHosts) {
    return;
  }
  const TimePoint now = this->hooks.now();
  double reserve = 0;
  Target* oldest = nullptr;
  for (auto& [key, target] : this->targets) {
    if (!target.source.isUsable || now < target.coldUntil ||
        target.source.instance->failureDomain != aRequest.failureDomain ||
        !this->HasRoom(target, now)) {
      continue;
    }
    if (target.load.IsKnownGood(now)) {
      reserve += this->UsableSlots(target) - target.load.Busy(now);
    } else if (now - target.measuredAt >= kMeasureInterval &&
               now - target.load.SampledAt() >= kMeasureInterval &&
               (oldest == nullptr ||
                target.load.SampledAt() < oldest->load.SampledAt())) {
      oldest = &target;
    }
  }
  if (reserve < kReserveSlots && oldest != nullptr) {
    oldest->measuredAt = now;
    this->hooks.measure(oldest->source.instance);
  }
}

bool
ServiceDispatcher::HasRoom(const Target& aTarget, TimePoint aNow) const
{
  if (aTarget.load.IsEjected(aNow)) {
    return false;
  }
  if (aTarget.load.IsOnProbation()) {
    return aTarget.load.InFlight() == 0;
  }
  if (aNow < aTarget.coldUntil && aNow < aTarget.nextColdSend) {
    return false;
  }
  return aTarget.load.Busy(aNow) + 0.5 < this->UsableSlots(aTarget);
}

double
ServiceDispatcher::UsableSlots(const Target& aTarget) const
{
  return std::max(
    1.0,
    std::floor(this->settings.usableShare * aTarget.source.instance->slots));
}

double
ServiceDispatcher::CostOf(const Target& aTarget,
                          const DispatchRequest& aRequest,
                          TimePoint aNow) const
{
  const double typicalMs = Milliseconds(this->typical);
  double cost =
    Milliseconds(aTarget.load.Delay(this->typical, this->meanSlowdown, aNow));
  cost += kBusyCost * typicalMs * aTarget.load.Busy(aNow);
  if (aTarget.source.instance->failureDomain != aRequest.failureDomain) {
    cost += Milliseconds(this->settings.crossDomainCost) +
            Milliseconds(this->settings.crossDomainCostPerKilobyte) *
              static_cast<double>(aRequest.expectedBytes) / kBytesPerKilobyte;
  }
  if (aNow < aTarget.coldUntil) {
    // A cold instance takes about twice as long.
    cost += typicalMs;
  }
  constexpr double kRange =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return cost +
         kCostJitterMs * static_cast<double>(this->hooks.random()) / kRange;
}

void
ServiceDispatcher::Give(const DispatchRequest& aRequest, Target& aTarget)
{
  const TimePoint now = this->hooks.now();
  if (aRequest.isForAllHosts) {
    this->trialCredit = std::min(2.0,
                                 this->trialCredit + this->settings.trialShare -
                                   (aTarget.source.isOnTrial ? 1 : 0));
  }
  if (now<aTarget.coldUntil&& this->service.coldRequestsPerSecond> 0) {
    const double rate =
      this->service.coldRequestsPerSecond * aRequest.coldShare;
    aTarget.nextColdSend =
      now + std::chrono::duration_cast<nanoseconds>(
              std::chrono::duration<double>(1 / std::max(rate, 0.01)));
  }
  aTarget.load.Begin();
  const std::uint64_t id = ++this->lastGrant;
  this->grants.emplace(id,
                       Grant{ KeyOf(*aTarget.source.instance),
                              aRequest.deadline + kGrantGrace,
                              aRequest.route });
  this->hooks.decided(aRequest.id,
                      { .kind = ErrorKind::None,
                        .grant = id,
                        .instance = aTarget.source.instance,
                        .retryAfter = milliseconds(0) });
}

void
ServiceDispatcher::Refuse(std::uint64_t aId,
                          ErrorKind aKind,
                          nanoseconds aRetryAfter)
{
  const TimePoint now = this->hooks.now();
  this->returning = this->Returning() + 1;
  this->returningAt = now;
  // A part is random, so that callers refused together do not return together.
  const nanoseconds spread(
    static_cast<nanoseconds::rep>(this->hooks.random() % 1000) *
    std::max<nanoseconds>(aRetryAfter, kLeastRetryAfter).count() / 2000);
  const auto time = std::chrono::ceil<milliseconds>(aRetryAfter + spread);
  this->hooks.decided(
    aId,
    { .kind = aKind,
      .grant = 0,
      .instance = nullptr,
      .retryAfter = std::clamp(time, kLeastRetryAfter, kMostRetryAfter) });
}

bool
ServiceDispatcher::IsInTime(const DispatchRequest& aRequest) const
{
  return this->hooks.now() + this->typical <= aRequest.goal;
}

bool
ServiceDispatcher::IsTooSlowFor(const Target& aTarget,
                                const DispatchRequest& aRequest) const
{
  const TimePoint now = this->hooks.now();
  const double slowdown = aTarget.load.FreshSlowdown(now);
  if (slowdown <= 1 || !this->IsInTime(aRequest)) {
    return false;
  }
  const nanoseconds duration(static_cast<nanoseconds::rep>(
    static_cast<double>(this->typical.count()) * slowdown));
  return now + duration > aRequest.goal;
}

void
ServiceDispatcher::TakeSample(InstanceLoad& aLoad, const LoadSample& aSample)
{
  aLoad.Report(aSample, this->hooks.now());
  this->meanSlowdown +=
    kMeanSlowdownWeight * (aSample.slowdown - this->meanSlowdown);
}

void
ServiceDispatcher::ServeWaiting()
{
  this->RefuseHopeless();
  bool isServed = true;
  while (!this->waiting.empty() && isServed) {
    isServed = this->Serve(this->NextWaiting());
    if (!isServed) {
      // Slow instances are left to those that cannot be in time any more.
      const auto late = this->NextLate();
      isServed = late != this->waiting.end() && this->Serve(late);
    }
  }
  this->RefuseExcess();
}

void
ServiceDispatcher::RefuseExcess()
{
  if (this->waiting.empty()) {
    return;
  }
  const double slots = std::max(this->UsableSlotsOfAll(), 1.0);
  const double most = std::max(slots * Milliseconds(kMostQueuedWork) /
                                 Milliseconds(this->typical),
                               kLeastQueue);
  while (static_cast<double>(this->waiting.size()) > most) {
    // The list is in order of arrival: the oldest of the least urgent.
    auto worst = this->waiting.begin();
    for (auto entry = this->waiting.begin(); entry != this->waiting.end();
         ++entry) {
      const bool isWorstInTime = this->IsInTime(worst->request);
      const bool isInTime = this->IsInTime(entry->request);
      if (isInTime != isWorstInTime
            ? isWorstInTime
            : entry->request.priority > worst->request.priority) {
        worst = entry;
      }
    }
    const std::uint64_t id = worst->request.id;
    this->waiting.erase(worst);
    this->Refuse(id, ErrorKind::Overloaded, this->TimeUntilRoom());
  }
}

double
ServiceDispatcher::Returning() const
{
  const std::chrono::duration<double> age =
    this->hooks.now() - this->returningAt;
  return this->returning *
         std::exp(-age / std::chrono::duration<double>(kReturnTime));
}

bool
ServiceDispatcher::Serve(std::list<Waiting>::iterator aEntry)
{
  const Choice choice = this->ChooseForShare(aEntry->request);
  if (choice.target == nullptr && choice.hasTargets) {
    return false;
  }
  const DispatchRequest request = std::move(aEntry->request);
  this->waiting.erase(aEntry);
  if (choice.target == nullptr) {
    this->Refuse(request.id, ErrorKind::NoServer, kRetryWithoutInstances);
  } else {
    this->Give(request, *choice.target);
  }
  return true;
}

std::list<ServiceDispatcher::Waiting>::iterator
ServiceDispatcher::NextWaiting()
{
  auto best = this->waiting.begin();
  for (auto entry = this->waiting.begin(); entry != this->waiting.end();
       ++entry) {
    const bool bestInTime = this->IsInTime(best->request);
    const bool entryInTime = this->IsInTime(entry->request);
    if (entryInTime != bestInTime) {
      best = entryInTime ? entry : best;
    } else if (entry->request.priority != best->request.priority) {
      best = entry->request.priority < best->request.priority ? entry : best;
    } else if (entryInTime) {
      // The newest has the most time left: in a lasting burst, the oldest would
      // each be served just too late.
      best = entry;
    }
  }
  return best;
}

std::list<ServiceDispatcher::Waiting>::iterator
ServiceDispatcher::NextLate()
{
  auto best = this->waiting.end();
  for (auto entry = this->waiting.begin(); entry != this->waiting.end();
       ++entry) {
    if (!this->IsInTime(entry->request) &&
        (best == this->waiting.end() ||
         entry->request.priority < best->request.priority)) {
      best = entry;
    }
  }
  return best;
}

void
ServiceDispatcher::RefuseHopeless()
{
  const TimePoint now = this->hooks.now();
  for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
    // A run that ends after the deadline helps nobody and takes a slot.
    if (now + this->typical < entry->request.deadline) {
      ++entry;
      continue;
    }
    const std::uint64_t id = entry->request.id;
    entry = this->waiting.erase(entry);
    this->Refuse(id, ErrorKind::Overloaded, this->TimeUntilRoom());
  }
}

double
ServiceDispatcher::UsableSlotsOfAll() const
{
  const TimePoint now = this->hooks.now();
  double usable = 0;
  for (const auto& [key, target] : this->targets) {
    if (target.source.isUsable && !target.load.IsEjected(now)) {
      usable += this->UsableSlots(target);
    }
  }
  return usable;
}

nanoseconds
ServiceDispatcher::ExpectedWait(std::size_t aAhead) const
{
  const double usable = this->UsableSlotsOfAll();
  if (usable == 0) {
    return kRetryWithoutInstances;
  }
  return nanoseconds(
    static_cast<nanoseconds::rep>(static_cast<double>(this->typical.count()) *
                                  static_cast<double>(aAhead + 1) / usable));
}

nanoseconds
ServiceDispatcher::TimeUntilRoom() const
{
  return this->ExpectedWait(this->waiting.size() +
                            static_cast<std::size_t>(this->Returning()));
}

std::size_t
ServiceDispatcher::AheadOf(const DispatchRequest& aRequest) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->waiting, [&](const Waiting& aWaiting) {
      return aWaiting.request.priority <= aRequest.priority;
    }));
}

void
ServiceDispatcher::TakeTypical(UseOutcome aOutcome, nanoseconds aDuration)
{
  // One that ran out of time took at least as long. Without these, the usual
  // duration would look short just when everything takes too long.
  if (aOutcome != UseOutcome::Answered && aOutcome != UseOutcome::TimedOut) {
    return;
  }
  const double factor =
    aDuration > this->typical ? 1 + kTypicalStep : 1 - kTypicalStep;
  this->typical = std::max<nanoseconds>(
    nanoseconds(static_cast<nanoseconds::rep>(
      static_cast<double>(this->typical.count()) * factor)),
    1ms);
}

} // namespace fireflytrail::routing
