#pragma once

#include "configuration/BackendService.h"
#include "core/Hooks.h"
#include "routing/BackendInstance.h"
#include "routing/DispatchRequest.h"
#include "routing/InstanceLoad.h"
#include "routing/Measurement.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fireflytrail::routing {

/** A granted request that has ended. */
struct EndedRequest
{
  std::shared_ptr<const BackendInstance> instance;
  /** Whether the instance is on trial. */
  bool isOnTrial = false;
  /** Whether the instance was cold. */
  bool isCold = false;
  std::uint64_t route = 0;
  UseOutcome outcome = UseOutcome::Cancelled;
  std::chrono::nanoseconds duration{ 0 };
  /** Usual duration of a request to the service. */
  std::chrono::nanoseconds typical{ 0 };
};

/** The surroundings of a `ServiceDispatcher`. All functions must be set, but
 * for optional ones. */
struct DispatcherHooks
{
  core::NowFunction now;
  core::RandomFunction random;
  /** Receives the decision about a request, once for each. May be called
   * within `Submit`, `Release`, `SetInstances` and `Tick`. */
  std::function<void(std::uint64_t, const DispatchResult&)> decided;
  /** Optional: asks an instance for its load; `OnMeasured` takes the result. */
  std::function<void(const std::shared_ptr<const BackendInstance>&)> measure;
  /** Optional: told how each granted request has ended. */
  std::function<void(const EndedRequest&)> ended;
};

/** How a dispatcher weighs. */
struct DispatcherSettings
{
  /**
   * Part of an instance's slots that is used. Instances slow down when they
   * are nearly full: at the last of four slots the work of all takes 1.7 times
   * as long, so that less gets done than with three.
   */
  double usableShare = 0.8;
  /** Time that a request may take longer to stay in its failure domain. */
  std::chrono::milliseconds crossDomainCost{ 10 };
  /** The same for each kilobyte of the request and its answer, since bytes
   * between failure domains are paid for: 5 KB cost a quarter of what an answer
   * in time is worth, as does a risk of a quarter to meet a slow instance. */
  std::chrono::milliseconds crossDomainCostPerKilobyte{ 30 };
  /** Part of the requests that go to instances on trial; 1 for all, so that
   * the others get none while there is any on trial. */
  double trialShare = 0;
  /** Duration that is assumed before the first answer. */
  std::chrono::milliseconds firstTypical{ 100 };
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
 * requests wait and which are refused. It answers these load patterns:
 *
 * - many hosts that know little of each other fill the same instance: the
 *   requests of all hosts pass one dispatcher, which counts them;
 * - instances whose neighbours slow them for some 300 ms: the instance whose
 *   last report is good and most recent is taken; a request that would be too
 *   late at a slow instance waits while it can still be in time elsewhere;
 * - bursts for which too few instances are known to be good: idle ones are
 *   measured ahead of need, within a budget for each instance;
 * - instances that slow down when nearly full: not all slots are used;
 * - a burst above capacity: requests wait here, where they can still go to any
 *   instance; those that can meet their goal go first, by priority and then the
 *   newest, so that in a lasting burst they are not all served just too late;
 * - lasting overload: no more waits than can be done in a moment; the rest is
 *   refused with the time until there is likely to be room, in which those that
 *   were refused before count too;
 * - instances that fail fast and look idle: excluded after repeated failures;
 * - cold instances: paced to the rate that they bear.
 *
 * Performs no I/O. Not thread-safe.
 */
class ServiceDispatcher
{
public:
  ServiceDispatcher(DispatcherHooks aHooks, DispatcherSettings aSettings = {});
  ServiceDispatcher(const ServiceDispatcher&) = delete;
  ServiceDispatcher& operator=(const ServiceDispatcher&) = delete;

  /** Returns the key of an instance in `DispatchRequest::avoid`. */
  static std::uint64_t KeyOf(const BackendInstance& aInstance);

  /** Replaces the instances; what is known of those that stay is kept. */
  void SetInstances(const std::vector<DispatchTarget>& aTargets);

  /** Sets what operators define about the service. */
  void SetService(const configuration::BackendService& aService);

  /** Replaces the settings; waiting requests are not decided anew. */
  void SetSettings(const DispatcherSettings& aSettings)
  {
    this->settings = aSettings;
  }

  //============================================================================
  /** Asks for an instance. The id must not be in use. */
  void Submit(DispatchRequest aRequest);

  /** Drops a request that was not decided yet; unknown ids are ignored. */
  void Withdraw(std::uint64_t aId);

  /**
   * Ends a grant. Unknown grants are ignored, since a grant expires after the
   * deadline of its request.
   */
  void Release(std::uint64_t aGrant,
               UseOutcome aOutcome,
               std::chrono::nanoseconds aDuration,
               const std::optional<LoadSample>& aSample);

  /** Takes what became of a use of an instance that was not granted here. */
  void Observe(const BackendInstance& aInstance,
               UseOutcome aOutcome,
               std::chrono::nanoseconds aDuration,
               const std::optional<LoadSample>& aSample);

  /** Takes what an instance said when it was measured; nothing if it did not
   * answer. */
  void OnMeasured(const BackendInstance& aInstance,
                  const std::optional<Measurement>& aMeasurement);

  /** Decides what has become due. Call at `NextDue`. */
  void Tick();

  /** Returns when `Tick` has something to do, if ever. */
  std::optional<core::TimePoint> NextDue() const;

  //============================================================================
  /** Returns the requests that wait. */
  std::size_t WaitingCount() const { return this->waiting.size(); }

  /** Returns the grants that have not ended. */
  std::size_t GrantCount() const { return this->grants.size(); }

  /** Returns the grants at instances that are on trial, or that are not. */
  std::size_t GrantCount(bool aOnTrial) const;

  /** Returns the warm instances that may get requests and are on trial, or are
   * not. */
  std::size_t WarmCount(bool aOnTrial) const;

  /** Returns the usual duration of a request. */
  std::chrono::nanoseconds Typical() const { return this->typical; }

private:
  struct Target
  {
    DispatchTarget source;
    InstanceLoad load;
    core::TimePoint coldUntil{};
    core::TimePoint nextColdSend{};
    core::TimePoint measuredAt{};
  };
  struct Grant
  {
    std::uint64_t key = 0;
    core::TimePoint expires;
    std::uint64_t route = 0;
  };
  struct Waiting
  {
    DispatchRequest request;
    core::TimePoint since;
  };

  /** The targets that may get a request now, and what bars the others. */
  struct Choice
  {
    Target* target = nullptr;
    /** Whether any target is usable at all. */
    bool hasTargets = false;
  };

  Choice Choose(const DispatchRequest& aRequest, bool aOnTrial);
  Choice ChooseForShare(const DispatchRequest& aRequest);
  bool HasRoom(const Target& aTarget, core::TimePoint aNow) const;
  double UsableSlots(const Target& aTarget) const;
  double CostOf(const Target& aTarget,
                const DispatchRequest& aRequest,
                core::TimePoint aNow) const;
  void Give(const DispatchRequest& aRequest, Target& aTarget);
  void Refuse(std::uint64_t aId,
              core::ErrorKind aKind,
              std::chrono::nanoseconds aRetryAfter);
  bool IsInTime(const DispatchRequest& aRequest) const;
  bool IsTooSlowFor(const Target& aTarget,
                    const DispatchRequest& aRequest) const;
  void KeepReserve(const DispatchRequest& aRequest);
  void TakeSample(InstanceLoad& aLoad, const LoadSample& aSample);
  void ServeWaiting();
  bool Serve(std::list<Waiting>::iterator aEntry);
  std::list<Waiting>::iterator NextWaiting();
  std::list<Waiting>::iterator NextLate();
  void RefuseHopeless();
  void RefuseExcess();
  double UsableSlotsOfAll() const;
  /** Returns the refused callers that are about to return. */
  double Returning() const;
  /** Returns the time in which what waits and what returns is done. */
  std::chrono::nanoseconds TimeUntilRoom() const;
  std::chrono::nanoseconds ExpectedWait(std::size_t aAhead) const;
  std::size_t AheadOf(const DispatchRequest& aRequest) const;
  void TakeTypical(UseOutcome aOutcome, std::chrono::nanoseconds aDuration);

  DispatcherHooks hooks;
  DispatcherSettings settings;
  configuration::BackendService service;
  std::map<std::uint64_t, Target> targets;
  std::map<std::uint64_t, Grant> grants;
  /** In order of arrival. */
  std::list<Waiting> waiting;
  std::uint64_t lastGrant = 0;
  std::chrono::nanoseconds typical;
  /** Refusals, fading over the time in which callers return. */
  double returning = 0;
  core::TimePoint returningAt{};
  /** Average of the slowdown that instances report. */
  double meanSlowdown = 1;
  /** Grants owed to instances on trial. */
  double trialCredit = 0;
};

} // namespace fireflytrail::routing
