#pragma once

#include "configuration/OrderOfService.h"
#include "core/Hooks.h"
#include "routing/DispatchRequest.h"
#include "routing/OrganisationShares.h"
#include "routing/PriorityShares.h"
#include "routing/RouteDurations.h"
#include "routing/ServiceRate.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace fireflytrail::routing {

using configuration::OrderOfService;

/**
 * Holds the requests that wait for an instance of a service, and decides which
 * of them goes first, which may wait and which are refused. With
 * `OrderOfService::ByWorth` it answers these load patterns:
 *
 * - a short burst above capacity: a request whose goal is far off waits while
 *   one with a near goal goes, so that both are in time;
 * - a lasting overload: the requests that cannot all meet their goals are
 *   recognized when they arrive, and the excess is refused at once, while its
 *   callers have most of their time left;
 * - lasting overload by important requests: see `PriorityShares`;
 * - a burst of one of many organisations: see `OrganisationShares`.
 *
 * Performs no I/O. Not thread-safe.
 */
class WaitingQueue
{
public:
  explicit WaitingQueue(OrderOfService aOrder)
    : order(aOrder)
  {
  }

  bool IsEmpty() const { return this->entries.empty(); }
  std::size_t Size() const { return this->entries.size(); }

  /** Returns how long the waiting requests will occupy slots in total. */
  std::chrono::nanoseconds Work() const { return this->work; }

  //============================================================================
  /** Counts a request that arrives, whether it has to wait or not. */
  void CountArrival(const DispatchRequest& aRequest,
                    const DurationEstimate& aEstimate,
                    core::TimePoint aNow);

  /** Counts a request that arrived and is granted an instance. */
  void CountGranted(const DispatchRequest& aRequest,
                    const DurationEstimate& aEstimate,
                    core::TimePoint aNow);

  /** Counts a request that arrived and is refused. */
  void CountRefused(const DispatchRequest& aRequest, core::TimePoint aNow);

  /**
   * Whether a request that arrives now may wait: whether it can be served by
   * its deadline and, if it can still meet its goal, whether it is expected to.
   * `aSlots`, above 0, is the number of slots that serve the queue.
   */
  bool MayWait(const DispatchRequest& aRequest,
               const DurationEstimate& aEstimate,
               double aSlots,
               core::TimePoint aNow) const;

  /** Adds a request. Its id must not be in use. */
  void Add(DispatchRequest aRequest,
           const DurationEstimate& aEstimate,
           core::TimePoint aNow);

  /** Removes a request; unknown ids are ignored. */
  void Remove(std::uint64_t aId);

  /** Removes and returns a request, which must be waiting. */
  DispatchRequest Take(std::uint64_t aId);

  //============================================================================
  // The requests that these functions return stay valid until the next change
  // of the queue; null if there is none.

  /** Returns the request that is to be served first. */
  const DispatchRequest* First(core::TimePoint aNow) const;

  /** Returns the request that can wait longest and still meet its goal: it can
   * use an instance that is too slow for the others. */
  const DispatchRequest* MostPatient(core::TimePoint aNow) const;

  /** Returns the most important of those that can no longer meet their goal. */
  const DispatchRequest* FirstLate(core::TimePoint aNow) const;

  //============================================================================
  /** Removes and returns the requests that cannot end by their deadline. */
  std::vector<DispatchRequest> TakeHopeless(core::TimePoint aNow);

  /** Removes and returns the requests for which there is too little room.
   * `aSlots` is above 0; `aTypical` is the service's typical duration. */
  std::vector<DispatchRequest> TakeExcess(double aSlots,
                                          std::chrono::nanoseconds aTypical,
                                          core::TimePoint aNow);

private:
  struct Entry
  {
    /** Latest start at which the goal can be met. */
    core::TimePoint latestStart;
    /** Latest start that was accepted when the request arrived. It is earlier,
     * since durations vary. */
    core::TimePoint safeStart;
    /** Latest start at which it can end by its deadline. */
    core::TimePoint lastChance;
    std::chrono::nanoseconds work{ 0 };
    std::uint64_t id = 0;
    std::uint64_t organisation = 0;
    unsigned priority = 0;
    /** Its priority, or the highest one if it is guaranteed. */
    unsigned rank = 0;
    /** See `DispatchRequest`. */
    bool isPromised = false;
    /** Whether it is part of its priority's guaranteed share. */
    bool isGuaranteed = false;
    /** Whether it has been found to have room since it arrived. */
    bool isAccepted = false;
    std::unique_ptr<DispatchRequest> request;

    bool IsInTime(core::TimePoint aNow) const
    {
      return aNow <= this->latestStart;
    }

    /** Returns its place in the order by worth. */
    std::pair<unsigned, core::TimePoint> Key() const
    {
      return { this->rank, this->latestStart };
    }
  };

  using Entries = std::vector<Entry>;

  Entries::iterator Find(std::uint64_t aId);
  DispatchRequest Take(Entries::iterator aEntry);
  /** Returns the first entry that can meet its goal; by worth only. */
  Entries::const_iterator FirstInTime(core::TimePoint aNow) const;
  const Entry* NewestInTime(core::TimePoint aNow) const;
  /** Returns the slots that serve a rank and those below it, after what more
   * important requests that will arrive need. */
  double SlotsFor(unsigned aRank, double aSlots, core::TimePoint aNow) const;
  /** Returns the first entry that would start too late, or the end. */
  Entries::iterator FirstWithoutRoom(double aSlots, core::TimePoint aNow);
  /** Returns the entry of those in time up to `aLast` whose refusal costs
   * callers least. */
  Entries::iterator LeastWorth(Entries::iterator aLast, core::TimePoint aNow);
  void TakeExcessByWorth(double aSlots,
                         core::TimePoint aNow,
                         std::vector<DispatchRequest>& aTaken);
  void TakeExcessLate(double aSlots,
                      core::TimePoint aNow,
                      std::vector<DispatchRequest>& aTaken);
  void TakeExcessOldest(double aSlots,
                        std::chrono::nanoseconds aTypical,
                        core::TimePoint aNow,
                        std::vector<DispatchRequest>& aTaken);

  OrderOfService order;
  /** By worth in order of their key, otherwise in order of arrival. */
  Entries entries;
  std::chrono::nanoseconds work{ 0 };
  /** Lower bounds over the entries, which save looking at all of them. */
  core::TimePoint firstLatestStart = core::TimePoint::max();
  core::TimePoint firstLastChance = core::TimePoint::max();
  /** Whether a request was added since the last review of the room. */
  bool hasUnreviewed = false;
  core::TimePoint reviewedAt{};
  OrganisationShares organisations;
  PriorityShares priorities;
  ServiceRate rate;
};

} // namespace fireflytrail::routing
