#pragma once

#include "core/Hooks.h"
#include "proxy/PeerHost.h"
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
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::proxy {

/** The surroundings of a `StoreRelay`. All functions must be set. */
struct StoreRelayHooks
{
  core::NowFunction now;
  /** Returns the live daemons, without this one. */
  std::function<std::vector<PeerHost>()> peers;
  /** Sends a beat to every known daemon. */
  std::function<void(const wire::WireMessage&)> broadcast;
  /** Sends news or a request to one daemon. */
  std::function<void(const std::string& aTo, wire::WireMessage)> send;
  /** Receives the changed objects of a kind, deleted ones too. */
  std::function<void(const std::string& aKind,
                     const std::vector<store::ObjectRecord>&)>
    onObjects;
  /** Told that a kind is known up to a revision from another daemon. */
  std::function<void(const std::string& aKind, std::uint64_t)> onRevision;
  /** Returns when the store answered this daemon last, if it does. */
  std::function<std::optional<core::TimePoint>()> lastContact;
};

/**
 * Spreads what some daemons read from the store to all, since each call to the
 * store is paid for and its rates do not grow with the fleet.
 *
 * A daemon watches the store unless it hears from `kWatcherCount` daemons that
 * do and that come before it: strong hosts first, then in an order by hash.
 * Those send a beat every
 * `kBeatInterval` while the store answers them, so that the next daemons take
 * over when they stop, freeze or lose the store, without an election: one after
 * the other in their order, so that a loss or return of the store does not make
 * all daemons call it at once. The first
 * of them also pushes each change at once, to all daemons of its failure domain
 * and to two of each other domain, which pass it on there, since bytes
 * between domains are paid for. A daemon that learns from a beat that it misses
 * a change asks for it.
 *
 * Performs no I/O. Not thread-safe.
 */
class StoreRelay
{
public:
  /** Daemons that watch: two may fail together without a gap. */
  static constexpr std::size_t kWatcherCount = 3;

  /** Time between two beats of a daemon that watches. */
  static constexpr std::chrono::milliseconds kBeatInterval{ 500 };

  /** A watching daemon that is silent for this long is not counted: two lost
   * beats, and below the shortest bound of the platform, 2 s. */
  static constexpr std::chrono::milliseconds kBeatLimit{ 1200 };

  /** A store that has not answered for this long does not count as answering:
   * one lost call of the two a second that test it. */
  static constexpr std::chrono::milliseconds kContactLimit{ 1200 };

  /** Time between the turns of two daemons that may take over: it takes a call
   * and a beat to see whether the one before has done so. */
  static constexpr std::chrono::milliseconds kTurn{ 100 };

  /** Time over which daemons that start together begin to watch, in the order
   * by hash: the first are heard before the others begin. The platform's bounds
   * do not hold for a host in its first three seconds. */
  static constexpr std::chrono::milliseconds kStartSpread{ 3000 };

  /** `aSelf` describes this daemon; `aKinds` are in the order that all daemons
   * use. */
  StoreRelay(PeerHost aSelf,
             std::vector<std::string> aKinds,
             StoreRelayHooks aHooks);
  StoreRelay(const StoreRelay&) = delete;
  StoreRelay& operator=(const StoreRelay&) = delete;

  /** Takes all objects of a kind that this daemon has listed. */
  void OnListed(const std::string& aKind,
                std::uint64_t aRevision,
                std::vector<store::ObjectRecord> aObjects);

  /** Takes changes that this daemon has watched. */
  void OnWatched(const std::string& aKind,
                 std::vector<store::ObjectRecord> aObjects);

  /** Takes news of another daemon. */
  void OnNews(const std::string& aFrom, const wire::StoreNews& aNews);

  /** Takes the beat of another daemon. */
  void OnBeat(const std::string& aFrom, const wire::StoreBeat& aBeat);

  /** Answers a daemon that misses changes. */
  void OnRequest(const std::string& aFrom,
                 const wire::StoreNewsRequest& aRequest);

  /**
   * Sends a beat if this daemon watches, or once when it has lost contact. Call
   * every `kBeatInterval` and when contact changes.
   */
  void Tick();

  /** Notes that the store answers this daemon again: it waits for its turn. */
  void NoteContactRegained();

  /** Returns whether this daemon should watch the store. */
  bool ShouldWatch() const;

  /** Returns how long ago any daemon is known to have reached the store;
   * nothing if none has. */
  std::optional<std::chrono::nanoseconds> Age() const;

private:
  struct Watcher
  {
    core::TimePoint heardAt;
    bool isLost = false;
    bool isStrong = false;
  };

  /** A change of a kind that is known to be missing. */
  struct Gap
  {
    std::uint64_t lastChange = 0;
    core::TimePoint since;
  };

  /** Counts the daemons that watch, with contact, and come before this one. */
  std::size_t WatchersBefore() const;
  /** Counts the live daemons that come before this one and do not watch with
   * contact. */
  std::size_t CandidatesBefore() const;
  /** Remembers when enough other daemons watched. */
  void NoteEnoughWatchers();
  bool IsInContact() const;
  bool IsKnownKind(const std::string& aKind) const;
  void Push(const std::string& aKind,
            std::uint64_t aBase,
            const std::vector<store::ObjectRecord>& aChanged);
  void SendInDomain(const wire::StoreNews& aNews, const std::string& aExcept);
  void SendToOtherDomains(wire::StoreNews aNews);
  wire::KindNews NewsOf(const std::string& aKind,
                        std::uint64_t aBase,
                        const std::vector<store::ObjectRecord>& aObjects) const;
  void TakeKind(const std::string& aFrom, const wire::KindNews& aNews);
  void RequestIfBehind(const std::string& aFrom,
                       const std::string& aKind,
                       std::uint64_t aLastChange);

  PeerHost self;
  std::vector<std::string> kinds;
  StoreRelayHooks hooks;
  store::ObjectReplica replica;
  core::TimePoint startedAt;
  /** When this daemon's turn to watch began to come closer. */
  core::TimePoint turnSince{};
  /** Whether the last beat said that the store answers. */
  bool hasSaidInContact = false;
  std::map<std::string, Watcher, std::less<>> watchers;
  std::map<std::string, Gap, std::less<>> gaps;
  /** When changes of a kind were asked for last. */
  std::map<std::string, core::TimePoint, std::less<>> requestedAt;
};

} // namespace fireflytrail::proxy
