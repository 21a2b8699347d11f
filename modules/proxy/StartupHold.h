#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflytrail::proxy {

/**
 * Decides when a host that has just started puts the objects of a kind in
 * force. Its first list may be seconds old, and the host would undo changes
 * that are in force at all others. A kind is held back until its age is known:
 * the store has confirmed it, or a host that watches the store knows nothing
 * newer.
 *
 * The load that this answers: hosts that join while the store has dropped its
 * history and serves stale lists. A fresh list of each kind would be certain,
 * but costs ten times as much and its rates do not grow with the fleet.
 *
 * The wait is bounded, since a whole fleet may start at once: nobody can
 * confirm anything then until the first hosts watch, and old objects serve
 * callers better than none. Performs no I/O. Not thread-safe.
 */
class StartupHold
{
public:
  /** Wait without word of a host that watches. Such a host answers within two
   * connection set-ups; a failed one is replaced after about a second. */
  static constexpr std::chrono::milliseconds kUnansweredWait{ 450 };

  /** Wait while another host is known to have newer objects. The platform's
   * time limits do not apply to a host in its first three seconds. */
  static constexpr std::chrono::milliseconds kBehindWait{ 2200 };

  /** What this host knows of a kind. */
  struct Known
  {
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
  };

  /** Nothing is held back before `Start`. */
  StartupHold(core::NowFunction aNow, const std::vector<std::string>& aKinds);

  /** Begins to hold back all kinds. Call once. */
  void Start();

  /** Whether a kind is held back. */
  bool IsHeld(const std::string& aKind) const;

  /** Whether any kind is held back. */
  bool IsAnyHeld() const;

  /** Whether the objects of a kind were once known to be current. */
  bool IsConfirmed(const std::string& aKind) const;

  /** Records that the store has confirmed this host's objects of a kind. */
  void OnConfirmed(const std::string& aKind);

  /**
   * Records the state of a kind at a host that watches the store and whose own
   * state is confirmed. A host of an older version sends no digest.
   */
  void OnWatcherState(const std::string& aKind,
                      const std::string& aName,
                      std::uint64_t aRevision,
                      std::optional<std::uint64_t> aDigest);

  /** Records a revision that any other host has. */
  void OnOtherRevision(const std::string& aKind,
                       const std::string& aName,
                       std::uint64_t aRevision);

  /** Returns the name of the host with the highest known revision of a kind;
   * empty if none is known. */
  const std::string& SourceOf(const std::string& aKind) const;

  /** Returns the highest revision of a kind that another host has. */
  std::uint64_t HighestRevision(const std::string& aKind) const;

  /** Records that all hosts that this one can ask know of no host that watches:
   * the whole fleet has just started. */
  void OnNoWatchers();

  /**
   * Releases a kind if its objects are current or the wait is over. Returns
   * whether it is released now. The objects of the kind must be listed.
   */
  bool TryRelease(const std::string& aKind, const Known& aKnown);

  /** Whether all objects of a kind are to be requested from a host that
   * watches: it knows others at the same revision. */
  bool IsDifferent(const std::string& aKind, const Known& aKnown) const;

private:
  struct KindState
  {
    bool isReleased = false;
    bool isConfirmed = false;
    /** Whether a host that watches has stated its revision. */
    bool isStated = false;
    std::uint64_t statedRevision = 0;
    std::optional<std::uint64_t> statedDigest;
    /** The highest revision known of any host. */
    std::uint64_t highestRevision = 0;
    /** The host that has it. */
    std::string source;
  };

  /** Whether nobody is known to have anything newer than `aKnown`. */
  static bool IsCurrent(const KindState& aKind, const Known& aKnown);

  core::NowFunction now;
  bool isStarted = false;
  bool hasNoWatchers = false;
  core::TimePoint startedAt{};
  std::map<std::string, KindState> kinds;
};

} // namespace fireflytrail::proxy
