#pragma once

#include "configuration/BackendService.h"
#include "core/Hooks.h"
#include "routing/BackendInstance.h"
#include "routing/DispatchRequest.h"
#include "routing/InstanceLoad.h"
#include "routing/Measurement.h"
#include "routing/ReturnPromises.h"
#include "routing/RouteDurations.h"
#include "routing/ServerNotice.h"
#include "routing/WaitingQueue.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fireflytrail::routing {

/** The end of a request that was granted an instance. */
struct EndedRequest
{
  std::shared_ptr<const BackendInstance> instance;
  /** Whether the instance is on trial. */
  bool isOnTrial = false;
  /** Whether the instance was cold. */
  bool isCold = false;
  std::uint64_t route = 0;
  AttemptOutcome outcome = AttemptOutcome::Cancelled;
  std::chrono::nanoseconds duration{ 0 };
  /** Typical duration of a request to the service. */
  std::chrono::nanoseconds typicalDuration{ 0 };
};

/** Functions through which a `ServiceDispatcher` reaches its environment. All
 * must be set, except for optional ones. */
struct DispatcherHooks
{
  core::NowFunction now;
  core::RandomFunction random;
  /** Receives the decision about a request, exactly once for each request that
   * is not withdrawn. May be called within `Submit`, `Release`, `OnMeasured`,
   * `SetInstances` and `Tick`. */
  std::function<void(std::uint64_t, const DispatchResult&)> decided;
  /** Optional: asks an instance for its load; the result is to be passed to
   * `OnMeasured`. */
  std::function<void(const std::shared_ptr<const BackendInstance>&)> measure;
  /** Optional: called when a granted request is released, with its outcome. */
  std::function<void(const EndedRequest&)> onRequestEnded;
  /** Optional: called when an instance names another limit, or none any more.
   */
  std::function<void(const BackendInstance&, std::optional<double>)>
    onLimitChanged;
  /** Optional: called when an instance first states that it is leaving. */
  std::function<void(const BackendInstance&)> onLeaving;
  /** Optional: returns the id of the next grant, which must not be 0 or in use.
   * Without it, grants are counted from 1. */
  std::function<std::uint64_t()> nextGrant = nullptr;
};

/** Parameters of a dispatcher's decisions. */
struct DispatcherSettings
{
  /**
   * Fraction of an instance's slots that is used. Instances slow down when they
   * are nearly full: with the last of four slots in use, all requests take 1.7
   * times as long, so that throughput is lower than with three.
   */
  double usableShare = 0.8;
  /** Extra duration that is accepted to keep a request in its failure domain.
   */
  std::chrono::milliseconds crossDomainCost{ 10 };
  /** The same, in addition, for each kilobyte of the request and its answer,
   * since traffic between failure domains is billed. The price of 5 KB is a
   * quarter of the value of an answer in time. A 25 % risk of choosing a slow
   * instance loses as much. */
  std::chrono::milliseconds crossDomainCostPerKilobyte{ 30 };
  /** Fraction of the requests that go to instances on trial. With 1 all do, and
   * other instances get none while any is on trial. */
  double trialShare = 0;
  /** Typical duration that is assumed before the first answer. */
  std::chrono::milliseconds initialTypicalDuration{ 100 };
  /** Differs between hosts, so that those that decide alone take turns. */
  std::uint64_t hostKey = 0;
  /** Set at construction only. */
  OrderOfService order = OrderOfService::NewestFirst;
};

/** An instance as a target of requests. */
struct DispatchTarget
{
  std::shared_ptr<const BackendInstance> instance;
  /** Whether it may get requests now. */
  bool isUsable = true;
  /** Whether it runs a version on trial; see `trialShare`. */
  bool isOnTrial = false;
};

/**
 * Decides for one service which instance runs which request and when, which
 * requests wait and which are refused. It handles these load patterns:
 *
 * - many hosts that know little of each other would overload the same instance:
 *   the requests of all hosts pass through one dispatcher, which counts them;
 * - noisy neighbours slow instances down for some 300 ms: the instance with the
 *   most recent good report is preferred; a request that would be late at a
 *   slow instance waits as long as it can still be in time elsewhere;
 * - bursts for which too few instances are known to be good: idle instances are
 *   measured in advance, each at most once per minimum interval;
 * - instances slow down when nearly full: not all of their slots are used. Of
 *   two slots both are, as long as requests wait: they do more together;
 * - a burst above capacity: requests wait here, where they can still go to any
 *   instance; `WaitingQueue` decides which goes first;
 * - lasting overload: `WaitingQueue` decides which requests are refused. They
 *   are refused with the estimated time until there is capacity, which allows
 *   for the retries of requests that were refused before, and those that return
 *   as told are refused last (`ReturnPromises`);
 * - a burst at hundreds of instances: the work for each request must not grow
 *   with their number while all are full, or the dispatcher itself becomes the
 *   bottleneck;
 * - instances that refuse requests though they have room: they stay in use,
 *   unless others accept more;
 * - instances that fail fast look idle: they are excluded after repeated
 *   failures;
 * - cold instances: their requests are paced to the rate that they can handle.
 *   The rate holds for all hosts together, also while each decides alone: a
 * host then sends in a turn of its own, and a turn that was not used is lost. A
 *   dispatcher that begins to decide for all waits before its first request,
 *   since another may have sent some a moment before;
 * - instances that name a limit: they get no more than their share of it, so
 *   that all hosts together stay within it, in turns as well. Requests beyond
 * it go to others or, if they would miss their deadline, are refused at once;
 * - instances that want a pause: they get no requests until it is over. If all
 *   instances pause, requests are refused at once with the time of the first
 *   that takes requests again, spread so that callers do not return together.
 *
 * Performs no I/O. Not thread-safe.
 */
class ServiceDispatcher
{
public:
  ServiceDispatcher(DispatcherHooks aHooks, DispatcherSettings aSettings = {});
  ServiceDispatcher(const ServiceDispatcher&) = delete;
  ServiceDispatcher& operator=(const ServiceDispatcher&) = delete;

  /** Returns the key that identifies an instance in `DispatchRequest::avoid`.
   */
  static std::uint64_t KeyOf(const BackendInstance& aInstance);

  /**
   * Replaces the instances. The load and health of those that stay are kept,
   * and for some time those of the removed ones: an entry that lapsed while its
   * instance was cut off from the store appears again, and requests may still
   * run there.
   */
  void SetInstances(const std::vector<DispatchTarget>& aTargets);

  /** Sets the operators' settings of the service. */
  void SetService(const configuration::BackendService& aService);

  /** Replaces the settings; waiting requests are not decided again. */
  void SetSettings(const DispatcherSettings& aSettings)
  {
    this->settings = aSettings;
  }

  //============================================================================
  /** Requests an instance. The request's id must not be in use. */
  void Submit(DispatchRequest aRequest);

  /** Cancels a request that is not decided yet; unknown ids are ignored. */
  void Withdraw(std::uint64_t aId);

  /**
   * Ends a grant. Unknown grants are ignored, since a grant expires some time
   * after the deadline of its request. Without an answer of the instance, the
   * notice states what the sender already knew: that it is leaving, or pauses.
   */
  void Release(std::uint64_t aGrant,
               AttemptOutcome aOutcome,
               std::chrono::nanoseconds aDuration,
               const std::optional<LoadSample>& aSample,
               const ServerNotice& aNotice = {});

  /** Records the outcome of a request whose instance was granted by another
   * dispatcher. */
  void Observe(const BackendInstance& aInstance,
               AttemptOutcome aOutcome,
               std::chrono::nanoseconds aDuration,
               const std::optional<LoadSample>& aSample,
               const ServerNotice& aNotice = {});

  /** Applies the result of measuring an instance; nothing if it did not answer.
   */
  void OnMeasured(const BackendInstance& aInstance,
                  const std::optional<Measurement>& aMeasurement);

  /** Ends expired grants and decides waiting requests if possible. Call at
   * `NextDue`. */
  void Tick();

  /** Whether an instance has stated, as far as known here, that it is leaving.
   * This holds until its process ends. */
  bool IsLeaving(const BackendInstance& aInstance) const
  {
    return this->leavingKeys.contains(KeyOf(aInstance));
  }

  /** Returns how much longer an instance wants no requests, as far as known
   * here; 0 or less if it takes them. */
  std::chrono::nanoseconds RemainingPause(
    const BackendInstance& aInstance) const;

  /** Returns when `Tick` must be called next; nothing if no request waits and
   * there is no grant. */
  std::optional<core::TimePoint> NextDue() const;

  //============================================================================
  /** Returns the number of waiting requests. */
  std::size_t WaitingCount() const { return this->waiting.Size(); }

  /** Returns the number of grants that have not ended. */
  std::size_t GrantCount() const { return this->grants.size(); }

  /** Returns the number of grants that have not ended, at the instances that
   * are on trial or at the others. Grants at removed instances are not counted.
   */
  std::size_t GrantCount(bool aOnTrial) const;

  /** Returns the number of warm instances that may get requests and that are on
   * trial, or that are not. */
  std::size_t WarmCount(bool aOnTrial) const;

  /** Returns the typical duration of a request; an estimate of the median. */
  std::chrono::nanoseconds TypicalDuration() const
  {
    return this->durations.OfService().typical;
  }

private:
  static constexpr std::size_t kCandidates = 3;

  struct Target
  {
    /** See `KeyOf`. */
    std::uint64_t key = 0;
    /** As passed to `SetInstances`. */
    DispatchTarget source;
    InstanceLoad load;
    /** When the instance was last found to be cold. */
    core::TimePoint coldSince{};
    core::TimePoint coldUntil{};
    /** Time of the last request while the instance was cold. */
    core::TimePoint lastColdSend{};
    core::TimePoint measuredAt{};
    /** Time until which it wants no requests. */
    core::TimePoint pausedUntil{};
    /** Whether it has stated that it is leaving. */
    bool isLeaving = false;
    /** Requests a second that the instance takes from all hosts. */
    std::optional<double> limit;
    /** When the instance first named a limit. */
    core::TimePoint limitSince{};
    /** When the instance last named its limit. */
    core::TimePoint limitNamedAt{};
    /** Time from which the interval to its next request counts. */
    core::TimePoint lastLimitedSend{};
  };
  /** An instance that is not listed any more. It gets no requests. */
  struct RemovedTarget
  {
    Target target;
    core::TimePoint removedAt{};
  };
  struct Grant
  {
    std::uint64_t key = 0;
    core::TimePoint expires;
    std::uint64_t route = 0;
    core::TimePoint begin;
  };

  /** Result of looking for an instance for a request. */
  struct Choice
  {
    Target* target = nullptr;
    /** Whether any instance may be used for the request, even if none has
     * capacity now. */
    bool hasTargets = false;
    /** When the first of the paused instances takes requests again, if there is
     * any. Paused instances are not among those of `hasTargets`. */
    std::optional<core::TimePoint> firstReturn;
  };

  /** Returns the listed or removed instance with a key; null if there is none.
   * One that has grants always exists. */
  Target* FindTarget(std::uint64_t aKey);
  const Target* FindTarget(std::uint64_t aKey) const;
  /** Returns the instance if it is listed, so that it may get requests;
   * otherwise null. */
  Target* IfListed(Target* aTarget);
  /** Drops removed instances that have no grants and are not expected back. */
  void DropRemovedTargets();
  /** Returns the instance with the lowest cost among those on trial or among
   * the others. */
  Choice Choose(const DispatchRequest& aRequest, bool aOnTrial);
  Choice ChooseByTrialShare(const DispatchRequest& aRequest);
  /** Whether the instance may get the request, even if it is full now. */
  bool MayRun(const Target& aTarget,
              const DispatchRequest& aRequest,
              bool aOnTrial) const;
  /** Whether the instance may get requests now. */
  bool IsUsable(const Target& aTarget) const;
  bool HasCapacity(const Target& aTarget,
                   const DispatchRequest& aRequest,
                   core::TimePoint aNow) const;
  /** Whether a cold instance can handle another request of this host. */
  bool MaySendCold(const Target& aTarget,
                   const DispatchRequest& aRequest,
                   core::TimePoint aNow) const;
  /** Whether the limit that an instance has named leaves room for another
   * request of this host. */
  bool MaySendLimited(const Target& aTarget,
                      const DispatchRequest& aRequest,
                      core::TimePoint aNow) const;
  /** Whether it is this host's turn to send to an instance. Each of the hosts
   * that decide alone has one turn in each interval; the intervals follow one
   * another from a time on. */
  bool IsOwnTurn(const Target& aTarget,
                 const DispatchRequest& aRequest,
                 std::chrono::nanoseconds aSince,
                 std::chrono::nanoseconds aInterval) const;
  /** Returns where this host's turn at an instance lies in an interval, from 0
   * to 1. */
  double TurnOf(const Target& aTarget) const;
  /** Records that an instance is cold for a time from now on. */
  void SetCold(Target& aTarget, std::chrono::nanoseconds aTime) const;
  /** Refuses a request for which no instance may be used. */
  void RefuseWithoutTargets(const DispatchRequest& aRequest,
                            const Choice& aChoice);
  /** Refuses a request for which there is too little room. */
  void RefuseForLoad(const DispatchRequest& aRequest);
  /** Records that an instance has stated that it is leaving. */
  void MarkLeaving(std::uint64_t aKey);
  void ApplyPause(Target& aTarget, const ServerNotice& aNotice);
  /** Applies the limit and the pause that an instance stated in an answer to a
   * request of a time. */
  void ApplyNotice(Target& aTarget,
                   const ServerNotice& aNotice,
                   core::TimePoint aRequestBegin);
  double UsableSlots(const Target& aTarget) const;
  double CostOf(const Target& aTarget,
                const DispatchRequest& aRequest,
                core::TimePoint aNow) const;
  void GrantInstance(const DispatchRequest& aRequest, Target& aTarget);
  void Refuse(const DispatchRequest& aRequest,
              core::ErrorKind aKind,
              std::chrono::nanoseconds aRetryAfter,
              std::chrono::milliseconds aMaxRetryAfter);
  /** Whether the request can still meet its goal if it is sent now. */
  bool IsInTime(const DispatchRequest& aRequest, core::TimePoint aNow) const;
  /** Whether a recent report shows that the request would miss its goal at the
   * instance, while it can still meet it elsewhere. */
  bool IsTooSlowFor(const Target& aTarget,
                    const DispatchRequest& aRequest,
                    core::TimePoint aNow) const;
  /** Measures an instance in the failure domain of the request if too few free
   * slots there are known to be good. */
  void MeasureIfReserveIsLow(const DispatchRequest& aRequest);
  void ApplyReport(InstanceLoad& aLoad, const LoadSample& aSample);
  /** Looks for instances for the waiting requests among all of them. */
  void DispatchWaiting();
  /**
   * Grants the instance to the waiting requests that are to be served first if
   * it has room. Only from time to time, all instances are tried: with hundreds
   * of full ones, a look at each for every request would be most of the work.
   * Null means that no instance has more room than before.
   */
  void DispatchWaiting(Target* aFreed);
  /** Grants the instance to a waiting request; returns false if it cannot. */
  bool TryDispatchTo(Target& aTarget, core::TimePoint aNow);
  /** Grants an instance to a waiting request, or refuses it if none is usable.
   * Returns false if it must wait on. */
  bool TryDispatch(const DispatchRequest& aWaiting);
  /** Returns one of the `kCandidates` waiting requests that may be served next,
   * in order; null if there is none. Slow instances are left to the one that
   * can wait longest and to those that can no longer meet their goal. */
  const DispatchRequest* Candidate(std::size_t aIndex,
                                   core::TimePoint aNow) const;
  /** Refuses waiting requests that cannot be done by their deadline. */
  void RefuseUnservable(core::TimePoint aNow);
  /** Refuses waiting requests for which there is too little room. */
  void RefuseExcess(core::TimePoint aNow);
  /** May be as old as the interval at which all instances are tried. */
  double TotalUsableSlots() const;
  /** Returns how many refused callers are expected to retry soon. */
  double ExpectedRetries() const;
  /** Returns the expected time until the waiting requests and the expected
   * retries are done. */
  std::chrono::nanoseconds TimeUntilCapacity() const;
  void RecordDuration(std::uint64_t aRoute,
                      AttemptOutcome aOutcome,
                      std::chrono::nanoseconds aDuration);

  DispatcherHooks hooks;
  DispatcherSettings settings;
  configuration::BackendService service;
  std::map<std::uint64_t, Target> targets;
  std::map<std::uint64_t, RemovedTarget> removedTargets;
  /** Keys of the instances that are leaving. They are kept when an instance is
   * removed, since its entry may appear again. */
  std::set<std::uint64_t> leavingKeys;
  std::map<std::uint64_t, Grant> grants;
  WaitingQueue waiting;
  /** When all instances were last tried for the waiting requests. */
  core::TimePoint allTriedAt{};
  mutable double usableSlots = 0;
  mutable core::TimePoint usableSlotsAt{};
  /** Share of a cold instance's rate that the last request could use. */
  double coldShare = 1;
  /** The same for the last request that was dispatched centrally. */
  double centralColdShare = 1;
  /** Since when this dispatcher has received the requests of all hosts. */
  core::TimePoint centralSince{};
  /** When it last received one. */
  core::TimePoint lastCentralAt{};
  std::uint64_t lastGrant = 0;
  RouteDurations durations;
  ReturnPromises promises;
  /** Number of refusals, decaying over the time in which callers retry. */
  double recentRefusals = 0;
  core::TimePoint recentRefusalsAt{};
  /** Average of the slowdown that instances report. */
  double meanSlowdown = 1;
  /** Number of grants that the trial share still owes to instances on trial. */
  double trialCredit = 0;
};

} // namespace fireflytrail::routing
