#pragma once

#include "core/Hooks.h"
#include "store/ObjectDialect.h"
#include "store/ObjectListing.h"
#include "store/StoreEra.h"
#include "store/StoreRequest.h"
#include "store/StoreResponse.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflytrail::store {

/** A kind of objects to keep up to date. */
struct WatchedKind
{
  std::string name;
  /** Longest time that a watch waits for changes. A watch can go silent without
   * a connection reset, so changes of the kind may be noticed this late. */
  std::chrono::milliseconds wait{ 0 };
  /** Time from the creation of the watcher for which it does not list the kind
   * while it is inactive: another source is expected to deliver it (see
   * `ObjectWatcher::NoteRevision`). */
  std::chrono::milliseconds listDelay{ 0 };
};

/** Clock, timers, I/O and event handlers of an `ObjectWatcher`. All functions
 * must be set. */
struct WatcherHooks
{
  core::NowFunction now;
  core::RandomFunction random;
  /** Sends a request and calls the function once with the outcome. */
  std::function<void(const StoreRequest&, std::function<void(StoreResponse)>)>
    send;
  /** Calls the function once after the delay. */
  std::function<void(std::chrono::milliseconds, std::function<void()>)> after;
  /** Receives all objects of a kind at a revision. */
  std::function<
    void(const std::string& aKind, std::uint64_t, std::vector<ObjectRecord>)>
    onList;
  /** Receives the objects of a kind at a revision, as far as the store returns
   * them: it announces further pages, but none with a new object. `aAfter` is
   * the name after which it first did not continue. */
  std::function<void(const std::string& aKind,
                     std::uint64_t,
                     std::vector<ObjectRecord>,
                     const std::string& aAfter)>
    onPartialList;
  /** Receives the changed objects of a kind; none if a watch ended without a
   * change. */
  std::function<void(const std::string& aKind, std::vector<ObjectRecord>)>
    onChanges;
  /** Called when the store has shown that all changes of a kind up to a
   * revision, joined with its era, are known: after a list that was not stale,
   * and after each answer to a watch if the changes before it are known to be
   * complete. */
  std::function<void(const std::string& aKind, std::uint64_t)> onConfirmed;
  /** Called when a request has ended, for logs. */
  std::function<void(const StoreRequest&, const StoreResponse&)> onRequestEnded;
  /** Called when the store has refused a request for a kind, for logs: for the
   * first, the second, the fourth refusal and so on. */
  std::function<
    void(const std::string& aKind, const StoreRequest&, unsigned aStatus)>
    onRefused;
  /** Called when the store becomes unavailable, with the request and its
   * failure, and when it is available again. */
  std::function<void(bool aIsUnavailable, const std::string& aDetail)>
    onAvailabilityChange;
  /** Optional. Called when the store is known to have come back from an older
   * copy, before its objects are read again. */
  std::function<void(std::uint64_t aEra, std::uint64_t aPreviousEra)>
    onEraRaised = nullptr;
  /** Optional. Called when the store has answered, while it is not yet said to
   * be available again. Must not call the watcher. */
  std::function<void()> onAnswered = nullptr;
};

/**
 * Keeps the objects of some kinds up to date. It lists each kind once, with a
 * cheap request whose answer may be seconds old, and then watches for changes.
 * A ping, another cheap request, checks every half second whether the store
 * answers, because a watch can go silent without a connection reset. The first
 * watch waits for a short time only, since a store that has dropped its history
 * may report that only at the end of a wait. While the
 * store is unavailable, only pings are sent, since refused requests are charged
 * too. Afterwards each kind is watched from its last known revision. If the
 * store no longer has the changes since that revision, the kind is listed
 * again. A kind whose revision another source has advanced beyond the own list
 * may lack deletions that neither of them knows: unless it is known to be
 * complete, it is listed again before it is watched. A list of which the store
 * does not return all pages is reported as partial, and read again some seconds
 * later, also while inactive.
 *
 * A store that refuses a request with a status of the class 4xx, other than 408
 * and 429, is available: the other kinds are followed as before. A page that is
 * refused is requested from an earlier name, a list again with a backoff, and a
 * watch is replaced by a list.
 *
 * All revisions of objects and lists that are reported are joined with the era
 * of the store (see `JoinRevision`). When an answer shows that the store came
 * back from an older copy, all other requests are abandoned and each watched
 * kind is listed again. Answers of an earlier era are not used; a store that
 * states nothing else counts as unavailable.
 *
 * Performs no I/O. Not thread-safe.
 */
class ObjectWatcher
{
public:
  /** `aKinds` must not be empty. Pings list the last kind, which should be
   * small. Its new objects are therefore known within half a second even while
   * its watch is silent. */
  ObjectWatcher(std::vector<WatchedKind> aKinds,
                ObjectDialect aDialect,
                WatcherHooks aHooks);
  ObjectWatcher(const ObjectWatcher&) = delete;
  ObjectWatcher& operator=(const ObjectWatcher&) = delete;

  /** Starts reading. Call once. */
  void Start();

  /** Starts no more requests. */
  void Stop() { this->isStopped = true; }

  /**
   * Sets whether the kinds are watched. While inactive, each kind is still
   * listed once. A watch in flight is not cancelled.
   */
  void SetActive(bool aIsActive);

  /** Sets whether another daemon watches as well and passes changes on first.
   * Changes are then collected for longer, since each call is billed. */
  void SetBackup(bool aIsBackup) { this->isBackup = aIsBackup; }

  /** Records that another source, such as another daemon, has delivered all
   * changes of a kind up to a revision, joined with its era. Later watches
   * start from there, and no answer of an earlier era is used from then on. */
  void NoteRevision(const std::string& aKind, std::uint64_t aRevision);

  /** Records that the objects of a kind are those of a daemon which has read
   * them completely. */
  void NoteComplete(const std::string& aKind);

  /** Records that the objects of a kind may not be complete. They are listed
   * again before the kind is watched, at once while active. */
  void Doubt(const std::string& aKind);

  /** Whether the store is unavailable: a request has failed and none has
   * succeeded since. An interrupted watch alone does not count as a failure. */
  bool IsStoreUnavailable() const { return this->isStoreUnavailable; }

  /** Returns when the store last answered, if it ever did. */
  std::optional<core::TimePoint> LastAnswerTime() const
  {
    return this->lastAnswerTime;
  }

  /** Returns the era of the store that is believed; 0 if none was stated. */
  std::uint64_t Era() const { return this->era.Current(); }

  /** Returns the number of requests sent so far. */
  std::uint64_t RequestCount() const { return this->requestCount; }

private:
  /** How far one kind has been read. */
  struct Progress
  {
    /** The pages of an unfinished list. */
    ObjectListing listing;
    /** Refusals since a watch was last accepted. */
    unsigned refusals = 0;
    /** Until then, nothing is requested after a refusal. */
    core::TimePoint retryAt{};
    /** When the kind is listed again, if its last list was partial. */
    std::optional<core::TimePoint> relistAt;
    /** Successive lists that were partial. */
    unsigned partialLists = 0;
    /** Whether the next list must not be stale: a stale one may be older than
     * the changes that the store still has. */
    bool requiresFreshList = false;
    /** Whether the next watch is to show soon whether the store still has the
     * changes since the known revision. It may not: the list was stale, or the
     * revision is another daemon's. */
    bool isUnconfirmed = false;
    /** Whether all objects and deletions up to the revision are known. */
    bool isComplete = false;
    /** Whether another source has advanced the revision of a kind that was not
     * known to be complete. */
    bool isContinuedElsewhere = false;
    /** When a watch last ended with changes. */
    core::TimePoint changedAt{};
    /** Whether the last watch lost its connection while it waited. */
    bool wasInterrupted = false;
    /** Revision up to which changes are known, joined with its era; 0 until the
     * kind is listed. */
    std::uint64_t revision = 0;
    bool isRequestInFlight = false;
    /** Number of the last request; the answers to others are not used. */
    std::uint64_t requestNumber = 0;
    std::chrono::milliseconds wait{ 0 };
    /** Until then, the kind is not listed while the watcher is inactive. */
    core::TimePoint listAt{};
  };

  /** Sends the next list or watch request of a kind. Does nothing if one is in
   * flight, the store is unavailable or neither is needed. */
  void RequestNext(const std::string& aKind);
  void List(const std::string& aKind);
  /** Discards what is known of a kind's revision, so that it is listed from its
   * first page. */
  static void RestartList(Progress& aProgress);
  /** Restarts the list of a kind if its last one was partial and it is time. */
  void RestartListIfDue(Progress& aProgress) const;
  void Watch(const std::string& aKind);
  /** Handles the outcome of a list or watch of a kind. */
  void OnResponse(const std::string& aKind,
                  const StoreRequest& aRequest,
                  bool aIsWatch,
                  const StoreResponse& aResponse,
                  const std::function<void(const StoreRequest&,
                                           const StoreResponse&)>& aOnAnswer);
  /** Whether an answer is of the era that is believed. Calls `aRepeat` if the
   * request is to be sent again; all else that follows is done. */
  bool IsOfCurrentEra(const StoreRequest& aRequest,
                      const StoreResponse& aResponse,
                      const std::function<void()>& aRepeat);
  /** Abandons all requests under way, whose answers are of an earlier era. */
  void AbandonRequests();
  /** Joins the revisions of a page with the era that is believed. */
  ObjectPage Joined(ObjectPage aPage) const;
  void OnListResponse(const std::string& aKind,
                      const StoreRequest& aRequest,
                      const StoreResponse& aResponse);
  /** Continues or ends a list after its next page. */
  void AdvanceList(const std::string& aKind, ObjectListing::Progress aProgress);
  /** Reports the objects of an ended list, and watches from its revision. */
  void EndList(const std::string& aKind, bool aIsComplete);
  void OnWatchResponse(const std::string& aKind,
                       const StoreRequest& aRequest,
                       const StoreResponse& aResponse);
  void OnRefused(const std::string& aKind,
                 const StoreRequest& aRequest,
                 bool aIsWatch,
                 unsigned aStatus);
  /** Counts a refusal and reports it if it is due. */
  void ReportRefusal(const std::string& aKind,
                     const StoreRequest& aRequest,
                     unsigned aStatus,
                     unsigned& aCount) const;
  void Send(
    const std::string& aKind,
    std::string aTarget,
    std::chrono::milliseconds aTimeout,
    std::function<void(const StoreRequest&, const StoreResponse&)> aOnAnswer);
  /** Whether a kind is left to another source for now. */
  bool IsListDeferred(const Progress& aProgress) const;
  /** Whether any kind is still to be listed or watched. */
  bool HasWork() const;
  void SchedulePing(std::chrono::milliseconds aDelay);
  void Ping();
  void OnPingResponse(const StoreRequest& aRequest,
                      const StoreResponse& aResponse);
  void MarkAvailable();
  /** Returns a random delay that grows with the number of failures. */
  std::chrono::milliseconds DrawDelay(unsigned aFailures) const;
  /** Also schedules the next ping. */
  void MarkUnavailable(const StoreRequest& aRequest,
                       const std::string& aDetail);

  std::vector<WatchedKind> kinds;
  ObjectDialect dialect;
  WatcherHooks hooks;
  std::map<std::string, Progress, std::less<>> progress;
  StoreEra era;
  bool isStoreUnavailable = false;
  bool isPingPending = false;
  bool isStopped = false;
  bool isActive = true;
  bool isBackup = false;
  /** Failures since a list or watch last succeeded. */
  unsigned failures = 0;
  /** Refusals since a ping was last accepted. */
  unsigned pingRefusals = 0;
  std::optional<core::TimePoint> lastAnswerTime;
  std::uint64_t requestCount = 0;
};

} // namespace fireflytrail::store
