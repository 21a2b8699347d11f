#pragma once

#include "core/Hooks.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflytrail::calls {

/** One request that was running when one server process died. */
struct CrashEntry
{
  std::uint64_t digest = 0;
  std::uint64_t death = 0;
  /** The request has completed on some server after this death was known. */
  bool cleared = false;
  /** Time since the death, as known to the sender. */
  std::chrono::milliseconds age{ 0 };

  bool operator==(const CrashEntry&) const = default;
};

/**
 * Blocks requests that kill every server that runs them. It keeps pairs of a
 * request digest and a server death; a pair can only be added or become
 * cleared, so the state of all daemons converges whatever the order in which
 * their entries are merged.
 *
 * A digest is blocked after 3 deaths that are neither cleared nor explained. A
 * death is explained if another request that was running there was running at
 * more deaths than this one: a healthy request that happened to be beside a
 * crashing one is then not blamed.
 */
class CrashGuard
{
public:
  /** Receives each entry that is new here, to be spread to other daemons. */
  using ChangedFunction = std::function<void(const CrashEntry&)>;

  static constexpr std::size_t kDeathsToBlock = 3;
  static constexpr std::chrono::minutes kLifetime{ 10 };
  /** About 150 bytes each; the oldest entries are dropped beyond it. */
  static constexpr std::size_t kMostEntries = 4096;

  explicit CrashGuard(core::NowFunction aNow, ChangedFunction aChanged = {});

  /**
   * Returns an identity of a server's death, for `AttemptResult::death`. If the
   * start identity of the server process is known, all daemons get the same
   * value. If it is not known (0), `aUnique` tells this death from later ones
   * and must differ for each; it should be drawn at random. Thread-safe.
   */
  static std::uint64_t DeathOf(std::string_view aServer,
                               std::uint64_t aServerStart,
                               std::uint64_t aUnique);

  /** Records that a request was running when a server died. Thread-safe. */
  void RecordDeath(std::uint64_t aDigest, std::uint64_t aDeath);

  /** Clears the deaths known for a request that completed. Thread-safe. */
  void RecordCompletion(std::uint64_t aDigest);

  /** Returns whether a request must not be sent to a server. Thread-safe. */
  bool IsBlocked(std::uint64_t aDigest) const;

  /** Returns the deaths held against a request. Thread-safe. */
  std::size_t DeathsOf(std::uint64_t aDigest) const;

  /** Adds an entry of another daemon. Thread-safe. */
  void Merge(const CrashEntry& aEntry);

  /** Returns all entries, for a daemon that has just started. Thread-safe. */
  std::vector<CrashEntry> Entries() const;

private:
  struct Record
  {
    bool cleared = false;
    core::TimePoint since;
  };
  using Key = std::pair<std::uint64_t, std::uint64_t>;

  std::size_t CountRaw(std::uint64_t aDigest) const;
  std::size_t CountUnexplained(std::uint64_t aDigest) const;
  void Insert(const CrashEntry& aEntry);
  void RemoveOld();

  core::NowFunction now;
  ChangedFunction changed;
  mutable std::mutex mutex;
  /** Lets calls skip the lock while no server has died. */
  std::atomic<bool> isEmpty{ true };
  /** Digest and death to record. */
  std::map<Key, Record> records;
  /** Death and digest. */
  std::set<Key> byDeath;
};

} // namespace fireflytrail::calls
