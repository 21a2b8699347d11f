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

/** Record that one request was running when one server process died. */
struct CrashEntry
{
  /** Digest of the request; see `RequestDigest`. */
  std::uint64_t digest = 0;
  /** Identity of the death; see `CrashGuard::DeathIdOf`. */
  std::uint64_t death = 0;
  /** The request completed on a server after this death was recorded. */
  bool cleared = false;
  /** Time since the death, as known to the daemon that sent the entry. */
  std::chrono::milliseconds age{ 0 };

  bool operator==(const CrashEntry&) const = default;
};

/**
 * Blocks requests that crash every server that runs them. It stores pairs of a
 * request digest and a server death. Until a pair is dropped (see `kLifetime`
 * and `kMaxEntries`), it can only become cleared, so all daemons converge to
 * the same state, whatever the order in which entries are merged.
 *
 * A request is blocked once 3 deaths are attributed to it. A death is not
 * attributed to a request if it was cleared, or if another request that was
 * running on the server at that death has more uncleared deaths than this one.
 * A healthy request that only ran next to a crashing one is then not blocked.
 */
class CrashGuard
{
public:
  /** Receives each new or newly cleared entry, to send to other daemons. */
  using ChangedFunction = std::function<void(const CrashEntry&)>;

  static constexpr std::size_t kDeathsToBlock = 3;
  /** Entries are dropped this long after the death. */
  static constexpr std::chrono::minutes kLifetime{ 10 };
  /**
   * Bounds the memory, at about 150 bytes for each entry. Beyond it the oldest
   * entries are dropped.
   */
  static constexpr std::size_t kMaxEntries = 4096;

  explicit CrashGuard(core::NowFunction aNow, ChangedFunction aOnChanged = {});

  /**
   * Returns an identifier of a server's death, for `AttemptResult::death`.
   * `aServerStart` identifies the run of the server process; if it is known,
   * all daemons compute the same value. If it is unknown (0), `aUnique`
   * distinguishes this death from later ones: it must differ for each death and
   * should be random. Thread-safe.
   */
  static std::uint64_t DeathIdOf(std::string_view aServer,
                                 std::uint64_t aServerStart,
                                 std::uint64_t aUnique);

  /** Records that a request was running when a server died. Thread-safe. */
  void RecordDeath(std::uint64_t aDigest, std::uint64_t aDeath);

  /** Clears the recorded deaths of a request that completed. Thread-safe. */
  void RecordCompletion(std::uint64_t aDigest);

  /** Returns whether a request must not be sent to any server. Thread-safe. */
  bool IsBlocked(std::uint64_t aDigest) const;

  /**
   * Returns the number of deaths attributed to a request. Below
   * `kDeathsToBlock` uncleared deaths, all of them are attributed to it,
   * whatever other requests were running. Thread-safe.
   */
  std::size_t DeathCount(std::uint64_t aDigest) const;

  /** Merges an entry received from another daemon. Thread-safe. */
  void Merge(const CrashEntry& aEntry);

  /** Returns all entries, to send to a daemon that has started. Thread-safe. */
  std::vector<CrashEntry> Entries() const;

private:
  struct Record
  {
    bool cleared = false;
    core::TimePoint diedAt;
  };
  using Key = std::pair<std::uint64_t, std::uint64_t>;

  std::size_t CountUncleared(std::uint64_t aDigest) const;
  std::size_t CountAttributed(std::uint64_t aDigest) const;
  void Insert(const CrashEntry& aEntry);
  void EvictEntries();

  core::NowFunction now;
  ChangedFunction onChanged;
  mutable std::mutex mutex;
  /** Lets calls skip the lock while there are no records. */
  std::atomic<bool> isEmpty{ true };
  /** Records by digest and death. */
  std::map<Key, Record> records;
  /** Pairs of death and digest: the requests present at each death. */
  std::set<Key> digestsByDeath;
};

} // namespace fireflytrail::calls
