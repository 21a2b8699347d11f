#include "routing/WaitingQueue.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <tuple>
#include <utility>

namespace fireflytrail::routing {

using namespace std::chrono_literals;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

// Maximum of the waiting work, as the time that all slots need for it: of all
// requests if the newest goes first, since under lasting overload those beyond
// it are no longer served in time; otherwise of those that can no longer meet
// their goal. They are refused while their callers can still retry.
constexpr milliseconds kMaxQueuedWork = 150ms;

// Minimum of the limit of waiting requests, however few instances there are.
constexpr double kMinQueueLimit = 4;

// Part of the time for which a request can wait and still meet its goal that it
// may be expected to wait: the rest is for slow instances and for a rate of
// service that is lower than estimated.
constexpr int kMaxWaitDivisor = 2;

// Part of the slots that is assumed to be left for a priority however much the
// more important ones need.
constexpr double kMinSlotsPart = 0.05;

// Interval at which accepted requests are reviewed while none arrives.
constexpr milliseconds kReviewInterval = 10ms;

/** Returns how long `aSlots` slots are occupied by some work. */
nanoseconds
TimeFor(nanoseconds aWork, double aSlots)
{
  return nanoseconds(
    static_cast<nanoseconds::rep>(static_cast<double>(aWork.count()) / aSlots));
}

TimePoint
LatestStart(const DispatchRequest& aRequest, const DurationEstimate& aEstimate)
{
  return aRequest.goal - aEstimate.typical;
}

TimePoint
SafeStart(const DispatchRequest& aRequest,
          const DurationEstimate& aEstimate,
          TimePoint aNow)
{
  const TimePoint latestStart = LatestStart(aRequest, aEstimate);
  return std::min(std::max(aRequest.goal - aEstimate.likely, aNow),
                  aNow + (latestStart - aNow) / kMaxWaitDivisor);
}

} // namespace

void
WaitingQueue::CountArrival(const DispatchRequest& aRequest,
                           const DurationEstimate& aEstimate,
                           TimePoint aNow)
{
  if (this->order == OrderOfService::ByWorth) {
    this->priorities.OnArrival(aRequest.priority, aEstimate.mean, aNow);
  }
}

void
WaitingQueue::CountGranted(const DispatchRequest& aRequest,
                           const DurationEstimate& aEstimate,
                           TimePoint aNow)
{
  if (this->order == OrderOfService::ByWorth) {
    this->organisations.AddGranted(aRequest.organisation, aEstimate.mean, aNow);
    this->rate.OnGranted(aEstimate.mean, aNow);
  }
}

void
WaitingQueue::CountRefused(const DispatchRequest& aRequest, TimePoint aNow)
{
  if (this->order == OrderOfService::ByWorth) {
    this->priorities.OnRefused(aRequest.priority, aNow);
  }
}

bool
WaitingQueue::MayWait(const DispatchRequest& aRequest,
                      const DurationEstimate& aEstimate,
                      double aSlots,
                      TimePoint aNow) const
{
  assert(aSlots > 0);
  const TimePoint latestStart = LatestStart(aRequest, aEstimate);
  if (this->order == OrderOfService::NewestFirst) {
    const auto ahead =
      std::ranges::count_if(this->entries, [&](const Entry& aEntry) {
        return aEntry.priority <= aRequest.priority;
      });
    return aNow + TimeFor(aEstimate.typical * (ahead + 1), aSlots) +
             aEstimate.typical <=
           aRequest.deadline;
  }
  if (aNow + aEstimate.typical > aRequest.deadline) {
    return false;
  }
  if (aNow > latestStart) {
    return aNow + TimeFor(this->work, aSlots) + aEstimate.typical <=
           aRequest.deadline;
  }
  if (aRequest.isPromised ||
      this->priorities.IsOwedService(aRequest.priority, aNow)) {
    return true;
  }
  // Requests of its own priority compete with it once it waits.
  nanoseconds ahead{ 0 };
  for (const Entry& entry : this->entries) {
    if (entry.rank >= aRequest.priority) {
      break;
    }
    if (entry.IsInTime(aNow)) {
      ahead += entry.work;
    }
  }
  const double slots = this->SlotsFor(aRequest.priority, aSlots, aNow);
  return aNow + TimeFor(ahead, slots) <= SafeStart(aRequest, aEstimate, aNow);
}

double
WaitingQueue::SlotsFor(unsigned aRank, double aSlots, TimePoint aNow) const
{
  const double slots = this->rate.Slots(aSlots, aNow);
  return std::max(slots - this->priorities.SlotsOfMoreImportant(aRank, aNow),
                  slots * kMinSlotsPart);
}

void
WaitingQueue::Add(DispatchRequest aRequest,
                  const DurationEstimate& aEstimate,
                  TimePoint aNow)
{
  Entry entry;
  entry.latestStart = LatestStart(aRequest, aEstimate);
  entry.safeStart = SafeStart(aRequest, aEstimate, aNow);
  entry.lastChance = aRequest.deadline - aEstimate.typical;
  entry.work = aEstimate.mean;
  entry.id = aRequest.id;
  entry.organisation = aRequest.organisation;
  entry.priority = aRequest.priority;
  entry.isPromised = aRequest.isPromised;
  entry.isGuaranteed = this->order == OrderOfService::ByWorth &&
                       this->priorities.IsOwedService(aRequest.priority, aNow);
  entry.request = std::make_unique<DispatchRequest>(std::move(aRequest));
  entry.rank = entry.isGuaranteed ? 0 : entry.priority;
  this->work += entry.work;
  this->organisations.AddWaiting(entry.organisation, entry.work);
  if (this->entries.empty()) {
    this->rate.OnWaitBegan(aNow);
    this->firstLatestStart = TimePoint::max();
    this->firstLastChance = TimePoint::max();
  }
  this->firstLatestStart = std::min(this->firstLatestStart, entry.latestStart);
  this->firstLastChance = std::min(this->firstLastChance, entry.lastChance);
  this->hasUnreviewed = true;
  const auto place =
    this->order == OrderOfService::ByWorth
      ? std::ranges::upper_bound(this->entries, entry.Key(), {}, &Entry::Key)
      : this->entries.end();
  this->entries.insert(place, std::move(entry));
}

void
WaitingQueue::Remove(std::uint64_t aId)
{
  if (const auto entry = this->Find(aId); entry != this->entries.end()) {
    this->Take(entry);
  }
}

DispatchRequest
WaitingQueue::Take(std::uint64_t aId)
{
  const auto entry = this->Find(aId);
  assert(entry != this->entries.end());
  return this->Take(entry);
}

WaitingQueue::Entries::iterator
WaitingQueue::Find(std::uint64_t aId)
{
  return std::ranges::find(this->entries, aId, &Entry::id);
}

DispatchRequest
WaitingQueue::Take(Entries::iterator aEntry)
{
  this->work -= aEntry->work;
  this->organisations.AddWaiting(aEntry->organisation, -aEntry->work);
  DispatchRequest request = std::move(*aEntry->request);
  this->entries.erase(aEntry);
  return request;
}

//==============================================================================
const DispatchRequest*
WaitingQueue::First(TimePoint aNow) const
{
  if (this->entries.empty()) {
    return nullptr;
  }
  if (this->order == OrderOfService::ByWorth) {
    const auto first = this->FirstInTime(aNow);
    return first == this->entries.end() ? this->FirstLate(aNow)
                                        : first->request.get();
  }
  const Entry* const newest = this->NewestInTime(aNow);
  return newest == nullptr ? this->FirstLate(aNow) : newest->request.get();
}

const WaitingQueue::Entry*
WaitingQueue::NewestInTime(TimePoint aNow) const
{
  const Entry* best = nullptr;
  for (const Entry& entry : this->entries) {
    // The newest request has the most time left. With oldest first, each
    // request would be served just too late in a lasting burst.
    if (entry.IsInTime(aNow) &&
        (best == nullptr || entry.priority <= best->priority)) {
      best = &entry;
    }
  }
  return best;
}

WaitingQueue::Entries::const_iterator
WaitingQueue::FirstInTime(TimePoint aNow) const
{
  return std::ranges::find_if(this->entries, [aNow](const Entry& aEntry) {
    return aEntry.IsInTime(aNow);
  });
}

const DispatchRequest*
WaitingQueue::MostPatient(TimePoint aNow) const
{
  if (this->order == OrderOfService::NewestFirst || this->entries.empty()) {
    return nullptr;
  }
  const auto last =
    std::ranges::max_element(this->entries, {}, &Entry::latestStart);
  return last->IsInTime(aNow) ? last->request.get() : nullptr;
}

const DispatchRequest*
WaitingQueue::FirstLate(TimePoint aNow) const
{
  if (aNow <= this->firstLatestStart) {
    return nullptr;
  }
  const Entry* best = nullptr;
  for (const Entry& entry : this->entries) {
    if (!entry.IsInTime(aNow) &&
        (best == nullptr || entry.priority < best->priority)) {
      best = &entry;
    }
  }
  return best == nullptr ? nullptr : best->request.get();
}

//==============================================================================
std::vector<DispatchRequest>
WaitingQueue::TakeHopeless(TimePoint aNow)
{
  std::vector<DispatchRequest> taken;
  if (aNow < this->firstLastChance) {
    return taken;
  }
  this->firstLastChance = TimePoint::max();
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    // A request that would end after its deadline uses a slot without benefit.
    if (aNow < entry->lastChance) {
      this->firstLastChance =
        std::min(this->firstLastChance, entry->lastChance);
      ++entry;
      continue;
    }
    const auto index = entry - this->entries.begin();
    taken.push_back(this->Take(entry));
    entry = this->entries.begin() + index;
  }
  return taken;
}

std::vector<DispatchRequest>
WaitingQueue::TakeExcess(double aSlots, nanoseconds aTypical, TimePoint aNow)
{
  assert(aSlots > 0);
  std::vector<DispatchRequest> taken;
  if (this->order == OrderOfService::ByWorth) {
    this->TakeExcessByWorth(aSlots, aNow, taken);
    this->TakeExcessLate(aSlots, aNow, taken);
  } else {
    this->TakeExcessOldest(aSlots, aTypical, aNow, taken);
  }
  return taken;
}

void
WaitingQueue::TakeExcessOldest(double aSlots,
                               nanoseconds aTypical,
                               TimePoint aNow,
                               std::vector<DispatchRequest>& aTaken)
{
  const double limit =
    std::max(aSlots * std::chrono::duration<double>(kMaxQueuedWork) / aTypical,
             kMinQueueLimit);
  while (static_cast<double>(this->entries.size()) > limit) {
    // The entries are in order of arrival, so the oldest of those that are
    // equal is found first.
    const auto worst =
      std::ranges::min_element(this->entries, {}, [aNow](const Entry& aEntry) {
        return std::pair(aEntry.IsInTime(aNow), ~aEntry.priority);
      });
    aTaken.push_back(this->Take(worst));
  }
}

void
WaitingQueue::TakeExcessByWorth(double aSlots,
                                TimePoint aNow,
                                std::vector<DispatchRequest>& aTaken)
{
  if (!this->hasUnreviewed && aNow - this->reviewedAt < kReviewInterval) {
    return;
  }
  this->hasUnreviewed = false;
  this->reviewedAt = aNow;
  for (auto entry = this->FirstWithoutRoom(aSlots, aNow);
       entry != this->entries.end();
       entry = this->FirstWithoutRoom(aSlots, aNow)) {
    aTaken.push_back(this->Take(this->LeastWorth(entry, aNow)));
  }
}

WaitingQueue::Entries::iterator
WaitingQueue::FirstWithoutRoom(double aSlots, TimePoint aNow)
{
  nanoseconds ahead{ 0 };
  std::optional<unsigned> rank;
  double slots = aSlots;
  for (auto entry = this->entries.begin(); entry != this->entries.end();
       ++entry) {
    if (!entry->IsInTime(aNow)) {
      // Late requests are served after those that are in time.
      continue;
    }
    if (rank != entry->rank) {
      rank = entry->rank;
      slots = this->SlotsFor(entry->rank, aSlots, aNow);
    }
    // An accepted request is not refused again because slots become free a
    // little later than expected, up to the time of one request.
    if (aNow + TimeFor(ahead, slots) > (entry->isAccepted
                                          ? entry->latestStart + entry->work
                                          : entry->safeStart)) {
      return entry;
    }
    entry->isAccepted = true;
    ahead += entry->work;
  }
  return this->entries.end();
}

WaitingQueue::Entries::iterator
WaitingQueue::LeastWorth(Entries::iterator aLast, TimePoint aNow)
{
  auto worst = aLast;
  std::optional<
    std::tuple<bool, unsigned, bool, nanoseconds, nanoseconds, bool>>
    worstRank;
  for (auto entry = this->entries.begin(); entry != std::next(aLast); ++entry) {
    if (!entry->IsInTime(aNow)) {
      continue;
    }
    const std::tuple rank(
      !entry->isGuaranteed,
      entry->priority,
      !entry->isPromised,
      this->organisations.UsageOf(entry->organisation, aNow),
      entry->work,
      !entry->isAccepted);
    if (!worstRank || rank >= *worstRank) {
      worst = entry;
      worstRank = rank;
    }
  }
  return worst;
}

void
WaitingQueue::TakeExcessLate(double aSlots,
                             TimePoint aNow,
                             std::vector<DispatchRequest>& aTaken)
{
  if (aNow <= this->firstLatestStart) {
    return;
  }
  nanoseconds late{ 0 };
  std::size_t count = 0;
  this->firstLatestStart = TimePoint::max();
  for (const Entry& entry : this->entries) {
    this->firstLatestStart =
      std::min(this->firstLatestStart, entry.latestStart);
    if (!entry.IsInTime(aNow)) {
      late += entry.work;
      ++count;
    }
  }
  while (TimeFor(late, aSlots) > kMaxQueuedWork &&
         static_cast<double>(count) > kMinQueueLimit) {
    const auto worst =
      std::ranges::max_element(this->entries, {}, [aNow](const Entry& aEntry) {
        return std::pair(!aEntry.IsInTime(aNow), aEntry.priority);
      });
    late -= worst->work;
    --count;
    aTaken.push_back(this->Take(worst));
  }
}

} // namespace fireflytrail::routing
