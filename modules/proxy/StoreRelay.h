#pragma once

#include "core/Hooks.h"
#include "proxy/PeerHost.h"
#include "proxy/StartupHold.h"
#include "proxy/UpdateContents.h"
#include "store/ObjectReplica.h"
#include "wire/StoreBeat.h"
#include "wire/StoreNews.h"
#include "wire/StoreNewsRequest.h"
#include "wire/WireMessage.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflytrail::proxy {

/** What a `StoreRelay` needs from its daemon. All functions must be set. */
struct StoreRelayHooks
{
  core::NowFunction now;
  /** Returns the live daemons except this one. */
  std::function<std::vector<PeerHost>()> peers;
  /** Sends a heartbeat to every live daemon. */
  std::function<void(const wire::WireMessage&)> broadcast;
  /** Sends an update or an update request to one daemon. */
  std::function<void(const std::string& aTo, wire::WireMessage)> send;
  /** Receives the changed objects of a kind, including deleted ones. */
  std::function<void(const std::string& aKind,
                     const std::vector<store::ObjectRecord>&)>
    onObjects;
  /**
   * Called when updates of another daemon have completed a kind up to a
   * revision.
   */
  std::function<void(const std::string& aKind, std::uint64_t)> onRevision;
  /**
   * Returns when the store last answered this daemon; `std::nullopt` if the
   * store does not answer.
   */
  std::function<std::optional<core::TimePoint>()> lastAnswerTime;
  /**
   * Called when the store is known to be available again after an outage that a
   * daemon has reported, with the time for which no daemon was known to reach
   * it. A time without heartbeats alone is no outage: the watching daemons may
   * have stopped.
   */
  std::function<void(std::chrono::nanoseconds aOutage)> onOutageEnded;
  /**
   * Optional. Called when the objects of a kind that were held back after the
   * start are put in force, and whether they are known to be current.
   */
  std::function<void(const std::string& aKind, bool aIsConfirmed)> onReleased;
  /**
   * Optional. Called when the objects of a kind that are passed to `onObjects`
   * next are the first ones after the store came back from an older copy. They
   * are all that differ from what was known before.
   */
  std::function<void(const std::string& aKind, std::uint64_t aEra)> onOlderCopy;
  /**
   * Optional. Called when this daemon is found to know the same objects of a
   * kind as one that has read them completely.
   */
  std::function<void(const std::string& aKind)> onComplete = nullptr;
  /**
   * Optional. Called when the objects of a kind differ for some time from those
   * of a daemon that has read them completely. With `aMustList`, this daemon
   * watches as well and has to list them again to tell which are right;
   * otherwise they have been requested from another daemon.
   */
  std::function<void(const std::string& aKind, bool aMustList)> onDifference =
    nullptr;
};

/**
 * Distributes the objects that a few daemons read from the store to all
 * daemons, since each call to the store is billed and its permitted rates do
 * not grow with the fleet.
 *
 * Daemons are ranked: strong hosts first, then by rendezvous hash. A daemon
 * watches the store unless it receives heartbeats from `kWatcherCount`
 * higher-ranked daemons that watch it. These send a heartbeat every
 * `kHeartbeatInterval` while the store answers them, at times that the first of
 * them sets, so that one of the three arrives every third of the interval. When
 * they stop, freeze or lose the store, the next daemons take over without an
 * election, one at a time in the order of rank, so that a loss or return of
 * the store does not make all daemons call it at once. After silence the delay
 * of a daemon grows with the logarithm of its rank only, since those before it
 * may have been lost together with the watching ones.
 *
 * The first watching daemon also pushes each change immediately to all daemons
 * of its failure domain and to two daemons of each other domain, which forward
 * it there, since bytes between domains are billed. Changes of large objects
 * are pushed as patches; see `UpdateContents`. For some time after all watching
 * daemons have fallen silent, a small change goes to each daemon directly,
 * since those that would forward it may have stopped, too. A daemon that
 * detects from a heartbeat that it misses a change requests it and receives
 * whole objects. It asks a strong host of its failure domain first, and the
 * sender of the heartbeat if the change does not arrive.
 *
 * A daemon that receives no heartbeats asks the highest-ranked daemons for
 * them: it may be missing in their lists of live daemons, for example because
 * it has just been added. Heartbeats name the other watching daemons, and a
 * daemon asks those that it does not hear. Daemons that ask are sent heartbeats
 * like live ones.
 *
 * A daemon that starts asks its peers at once. Those that do not watch answer
 * with the names of those that do. Until one of these has shown that the
 * daemon's lists are current, or the missing changes have arrived, the objects
 * are held back; see `StartupHold`.
 *
 * A revision tells what was heard last, not that nothing is missing: a daemon
 * whose first list was old never learns of a deletion that the sender of the
 * later changes does not know either. Heartbeats therefore state a digest of
 * the objects of each kind that the sender has read completely. A daemon that
 * has heard as much and whose objects differ for some time requests all of
 * them; one that watches lists them again.
 *
 * Revisions are joined with the era of the store (see `store::JoinRevision`),
 * so that what was read after the store came back from an older copy is newer
 * than all that was known before. A daemon then takes each kind as a whole
 * before it takes single changes. Daemons that still have an earlier era do not
 * count as watching; nor do those of an older version, which know no eras.
 *
 * Heartbeats are sent as `wire::StoreBeat`, updates as `wire::StoreNews` and
 * update requests as `wire::StoreNewsRequest`. Performs no I/O. Not
 * thread-safe.
 */
class StoreRelay
{
public:
  /** Number of daemons that watch: two may fail together without a gap. */
  static constexpr std::size_t kWatcherCount = 3;

  /** Time between two heartbeats of a daemon that watches. */
  static constexpr std::chrono::milliseconds kHeartbeatInterval{ 500 };

  /**
   * A watching daemon without a heartbeat for this long is not counted. This
   * allows for two lost heartbeats.
   */
  static constexpr std::chrono::milliseconds kHeartbeatTimeout{ 1200 };

  /**
   * Time beyond the expected time between the heartbeats of any watching
   * daemons after which they count as silent together. A host that has used up
   * its processor share is stalled for up to a tenth of a second.
   */
  static constexpr std::chrono::milliseconds kSilenceMargin{ 280 };

  /** Time after the loss of all watching daemons in which others that forward
   * changes may have stopped unnoticed. */
  static constexpr std::chrono::seconds kLossTime{ 3 };

  /**
   * The store counts as unavailable if it has not answered for this long. This
   * allows for one lost call of the two per second that test it.
   */
  static constexpr std::chrono::milliseconds kStoreTimeout{ 1200 };

  /**
   * Time between the takeovers of two daemons that follow each other in rank:
   * it takes a store call and a heartbeat to see whether the first has taken
   * over.
   */
  static constexpr std::chrono::milliseconds kTakeoverInterval{ 100 };

  /**
   * Delay of a takeover after the loss of all watching daemons, for each
   * doubling of the number of daemons that may take over first.
   */
  static constexpr std::chrono::milliseconds kTakeoverStep{ 50 };

  /**
   * Number of daemons to which `kTakeoverStep` applies; `kTakeoverInterval`
   * applies to the others. Of so many, some survive a loss of most of the
   * fleet.
   */
  static constexpr std::size_t kHurryingCandidates = 32;

  /**
   * Number of daemons that are asked for heartbeats. Those that have stopped
   * count as live for some time, so it exceeds `kWatcherCount`.
   */
  static constexpr std::size_t kAskedDaemons = 8;

  /**
   * Time after its start from which a daemon asks for heartbeats. Daemons that
   * start together know the strong hosts by then.
   */
  static constexpr std::chrono::milliseconds kAskDelay{ 800 };

  /** Time for which a daemon that has asked is sent heartbeats. Gossip tells
   * all daemons of a new one within this time. */
  static constexpr std::chrono::seconds kListenerTime{ 30 };

  /**
   * Time over which daemons that start together begin to watch, in the order of
   * rank, so that heartbeats of the first arrive before the others begin. The
   * platform's time limits do not apply to a host in its first three seconds.
   */
  static constexpr std::chrono::milliseconds kStartSpread{ 1500 };

  /**
   * `aSelf` describes this daemon; `aKinds` must have the same order on all
   * daemons.
   */
  StoreRelay(PeerHost aSelf,
             std::vector<std::string> aKinds,
             StoreRelayHooks aHooks);
  StoreRelay(const StoreRelay&) = delete;
  StoreRelay& operator=(const StoreRelay&) = delete;

  /**
   * Asks daemons for the state of the store and holds back what this daemon
   * reads until they have answered. `aPeers` are those that are known from the
   * settings: no other is known to be live yet. Call once, before the first
   * list.
   */
  void Start(const std::vector<std::string>& aPeers);

  /**
   * Applies the list of all objects of a kind that this daemon has read from
   * the store.
   */
  void OnListed(const std::string& aKind,
                std::uint64_t aRevision,
                std::vector<store::ObjectRecord> aObjects);

  /** Applies a list that lacks some objects of its kind. Objects that another
   * daemon has read stay known. */
  void OnPartlyListed(const std::string& aKind,
                      std::uint64_t aRevision,
                      std::vector<store::ObjectRecord> aObjects);

  /** Applies changes that this daemon has received from a watch. */
  void OnWatched(const std::string& aKind,
                 std::vector<store::ObjectRecord> aObjects);

  /** Records that this daemon's own reads show that it knows all changes of a
   * kind up to a revision of the store. */
  void OnConfirmed(const std::string& aKind, std::uint64_t aRevision);

  /**
   * Applies an update of another daemon and forwards it in this failure domain
   * if the sender asks for it.
   */
  void OnUpdate(const std::string& aFrom, const wire::StoreNews& aUpdate);

  /** Handles the heartbeat of another daemon. */
  void OnHeartbeat(const std::string& aFrom, const wire::StoreBeat& aHeartbeat);

  /** Sends a daemon the changes that it requests. */
  void OnUpdateRequest(const std::string& aFrom,
                       const wire::StoreNewsRequest& aRequest);

  /**
   * Sends a heartbeat if one is due, notices that the watching daemons are
   * silent and requests missing changes. Call at `NextDue` and when the store's
   * availability changes.
   */
  void Tick();

  /** Returns when `Tick` must be called next. It may be earlier after each call
   * of another method. */
  core::TimePoint NextDue() const;

  /** Whether this daemon tells the others that it watches the store. */
  bool IsReportingAvailable() const { return this->hasReportedStoreAvailable; }

  /** Records that the store does not answer this daemon. */
  void OnStoreLost();

  /**
   * Restarts the takeover delay because the store answers this daemon again.
   */
  void OnStoreRegained();

  /** Returns whether all objects of a kind have arrived here and are in force.
   */
  bool IsListed(const std::string& aKind) const
  {
    return this->replica.IsListed(aKind) && !this->hold.IsHeld(aKind);
  }

  /** Returns whether this daemon should watch the store. */
  bool ShouldWatch() const;

  /** Returns whether no higher-ranked daemon is known to watch the store, so
   * that this one passes changes on if it watches. */
  bool IsFirst() const { return this->CountWatchersAhead() == 0; }

  /** Returns whether the daemons that watched the store have fallen silent
   * together within `kLossTime`. */
  bool IsAfterLoss() const;

  /**
   * Returns the time since any daemon is known to have reached the store;
   * `std::nullopt` if none has.
   */
  std::optional<std::chrono::nanoseconds> Staleness() const;

private:
  struct WatcherState
  {
    core::TimePoint lastHeartbeatAt;
    bool isStoreUnavailable = false;
    bool isStrong = false;
  };

  /** A change of a kind that is known to be missing here. */
  struct Gap
  {
    /** A revision of a kind that another daemon has and this daemon does not.
     */
    std::uint64_t missingRevision = 0;
    core::TimePoint since;
    /** Requests for it so far. */
    unsigned requests = 0;
    /** The daemon that has it. */
    std::string source;
  };

  /** How the objects of a kind compare with those of watching daemons. */
  struct Agreement
  {
    /** Whether the objects are known to be complete: from the store, or as
     * those of a daemon that has read them completely. */
    bool isComplete = false;
    /** Revision of the store up to which they are known to be. It may be higher
     * than that of the last change. */
    std::uint64_t completeUpTo = 0;
    /** When they were first found to differ, by the watching daemon. */
    std::map<std::string, core::TimePoint, std::less<>> differentSince;
    /** Requests for all objects since they last agreed. */
    unsigned requests = 0;
    /** Until then, nothing more is done about a difference. */
    core::TimePoint retryAt{};
  };

  /**
   * Counts the higher-ranked daemons that watch and to which the store is
   * available.
   */
  std::size_t CountWatchersAhead() const;
  /**
   * Returns the last heartbeat time of the higher-ranked daemons that watch,
   * and how many of them have been heard within `kHeartbeatTimeout`, silent or
   * not.
   */
  std::pair<core::TimePoint, std::size_t> LastHeardAhead() const;
  /** Returns when the higher-ranked daemons that watch count as silent unless
   * one of them is heard before. */
  core::TimePoint SilenceDue() const;
  /**
   * Counts the higher-ranked live daemons that may take over: those that do not
   * watch and are not known to be silent.
   */
  std::size_t CountCandidatesAhead() const;
  /** Returns the time that this daemon waits before it takes over. */
  std::chrono::nanoseconds TakeoverDelay() const;
  /** Restarts the takeover delay if enough higher-ranked daemons watch, or if
   * they have just ceased to. */
  void UpdateTakeoverDelay();
  /** Returns when this daemon may begin to watch. */
  core::TimePoint StartOfWatching() const;
  /** Sets the time of the next heartbeat after one of a higher-ranked daemon.
   */
  void AlignHeartbeat(const std::string& aFrom);
  /** Requests missing changes that no heartbeat has asked for in time. */
  void RequestOverdueChanges();
  /** Returns when a missing change is to be requested. */
  core::TimePoint RequestDue(const std::string& aKind, const Gap& aGap) const;
  bool IsStoreAvailable() const;
  wire::StoreBeat MakeHeartbeat() const;
  /** Sends a heartbeat to the live daemons and those that have asked for it. */
  void SendHeartbeat(const wire::StoreBeat& aHeartbeat);
  /** Asks the highest-ranked daemons for heartbeats. */
  void AskForHeartbeats();
  /** Asks those of the named watching daemons for heartbeats that are not heard
   * here. */
  void AskUnheardWatchers(const std::vector<std::string>& aNames);
  wire::StoreBeat MakeQuestion() const;
  /** Answers a question although this daemon does not watch. */
  wire::StoreBeat MakeReferral() const;
  void OnReferral(const std::string& aFrom, const wire::StoreBeat& aReferral);
  /** Whether a daemon's objects of any kind are of an earlier era than the own
   * ones. */
  bool IsOfEarlierEra(const wire::StoreBeat& aHeartbeat) const;
  /** Returns the era of the known objects of a kind. */
  std::uint64_t KnownEra(const std::string& aKind) const;
  /** Compares the revisions of another daemon with the own ones. */
  void CompareRevisions(const std::string& aFrom,
                        const wire::StoreBeat& aHeartbeat,
                        bool aIsWatching);
  /** Compares the digest of a watching daemon with the own one. */
  void CompareDigest(const std::string& aFrom,
                     const std::string& aKind,
                     std::uint64_t aRevision,
                     std::uint64_t aDigest);
  /** Resolves a difference to a watching daemon that has lasted. */
  void OnDifference(const std::string& aFrom, const std::string& aKind);
  /** Passes changed objects on to the daemon unless their kind is held back. */
  void Deliver(const std::string& aKind,
               const std::vector<store::ObjectRecord>& aChanged);
  /** Puts the objects of a kind in force if they need not be held back. */
  void TryRelease(const std::string& aKind);
  StartupHold::Known KnownOf(const std::string& aKind) const;
  /** Records that a daemon reached the store at a time. */
  void NoteContact(core::TimePoint aTime);
  bool IsKnownKind(const std::string& aKind) const;
  /** Pushes and delivers what this daemon's list of a kind has changed. The
   * kind was complete up to `aBase` before, 0 if it was not listed. */
  void OnListApplied(const std::string& aKind,
                     std::uint64_t aBase,
                     const std::vector<store::ObjectRecord>& aChanged);
  void Push(const std::string& aKind,
            std::uint64_t aBase,
            const std::vector<store::ObjectRecord>& aChanged);
  void SendInDomain(const wire::StoreNews& aUpdate, const std::string& aExcept);
  void SendToOtherDomains(wire::StoreNews aUpdate);
  /** Keeps the contents of objects that this daemon has read from the store. */
  void KeepContents(const std::vector<store::ObjectRecord>& aObjects);
  /** Returns an update without objects. */
  wire::KindNews MakeKindUpdate(const std::string& aKind,
                                std::uint64_t aBase) const;
  void ApplyKindUpdate(const std::string& aFrom, const wire::KindNews& aUpdate);
  void RequestIfBehind(const std::string& aFrom,
                       const std::string& aKind,
                       std::uint64_t aPeerRevision);
  /**
   * Returns the daemon to send the `aRequest`-th request for changes that
   * `aFrom` has: most go to strong hosts of this failure domain.
   */
  std::string SourceFor(const std::string& aFrom, unsigned aRequest) const;
  /** Whether requested changes of a kind may still arrive. */
  bool IsRequestPending(const std::string& aKind, core::TimePoint aNow) const;

  PeerHost self;
  std::vector<std::string> kinds;
  StoreRelayHooks hooks;
  store::ObjectReplica replica;
  UpdateContents contents;
  StartupHold hold;
  /** The peers that were asked at the start and have not answered. */
  std::set<std::string, std::less<>> unanswered;
  core::TimePoint startedAt;
  /**
   * Start of the time that this daemon waits before it takes over; see
   * `TakeoverDelay`.
   */
  core::TimePoint takeoverDelayStart{};
  /** Whether enough higher-ranked daemons watched when that was last checked.
   */
  bool hadEnoughWatchers = false;
  /** Whether all higher-ranked daemons that watch were silent then. */
  bool wasSilent = false;
  /** When they were last found silent. */
  std::optional<core::TimePoint> lossAt;
  core::TimePoint nextHeartbeatAt{};
  core::TimePoint nextQuestionAt{};
  /** Whether the last heartbeat reported that the store is available. */
  bool hasReportedStoreAvailable = false;
  /** When any daemon was last known to reach the store; the start before that.
   */
  core::TimePoint lastContact{};
  /** Whether a daemon has reported since then that it lost the store. */
  bool isOutageReported = false;
  std::map<std::string, WatcherState, std::less<>> watchers;
  /** When daemons that have not watched since last reported that they lost the
   * store. */
  std::map<std::string, core::TimePoint, std::less<>> lostStoreAt;
  /** When the daemons that are not live, as far as known here, last asked for
   * heartbeats. */
  std::map<std::string, core::TimePoint, std::less<>> listeners;
  std::map<std::string, Gap, std::less<>> gaps;
  std::map<std::string, Agreement, std::less<>> agreements;
  /** Era of the objects that were last passed on, by kind. */
  std::map<std::string, std::uint64_t, std::less<>> deliveredEras;
  /** When changes of a kind that have not arrived yet were last requested. */
  std::map<std::string, core::TimePoint, std::less<>> requestedAt;
};

} // namespace fireflytrail::proxy
