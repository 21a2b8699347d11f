#pragma once

#include "core/DaemonId.h"
#include "core/Hooks.h"
#include "gossip/Delta.h"
#include "gossip/Digest.h"
#include "gossip/Record.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fireflytrail::gossip {

/** Local copy of the records and the heartbeat of one daemon process. */
struct Origin
{
  core::DaemonId id;
  std::uint64_t incarnation = 0;
  std::uint32_t heartbeat = 0;
  /**
   * All records up to this version are present; pushed records may have higher
   * versions.
   */
  std::uint32_t version = 0;
  std::map<std::string, Record, std::less<>> records;
  /** When the heartbeat last increased, on the local clock. */
  core::TimePoint lastHeartbeatAt;
};

/**
 * Stores the replicated records and reconciles them (Scuttlebutt). The records
 * of an origin are ordered by version. Heartbeats are reconciled separately, so
 * that a backlog of records never delays failure detection.
 *
 * Of two processes with the same name, the one with the higher incarnation wins
 * and replaces the other's records at once. The incarnation is the wall-clock
 * time of the process start. A daemon that receives a higher incarnation of its
 * own name shortly after its start raises its own above it, so that a clock
 * that was set back does no harm.
 */
class GossipState
{
public:
  /** Called for each new record of another daemon and each newer value. */
  using RecordChangedFunction =
    std::function<void(const core::DaemonId&, const Record&)>;

  static constexpr std::size_t kMaxRecordsPerOrigin = 64;
  static constexpr std::size_t kMaxOrigins = 1024;
  /** FlatBuffers overhead in bytes; checked by a test of the wire module. */
  static constexpr std::size_t kRecordOverhead = 36;
  static constexpr std::size_t kOriginOverhead = 60;
  static constexpr std::size_t kMaxValueSize = std::size_t{ 64 } * 1024;

  /**
   * Creates a state that contains only this daemon. `aIncarnation` is the
   * wall-clock time of the process start in milliseconds.
   */
  GossipState(core::DaemonId aSelf,
              std::uint64_t aIncarnation,
              core::NowFunction aNow);

  /** Not thread-safe, like every method of this class. */
  const core::DaemonId& Self() const { return this->self; }

  /** Sets the function to call on changes; it may call `SetRecord`. */
  void OnRecordChanged(RecordChangedFunction aFunction);

  /**
   * Sets a function that returns whether an origin goes first in the messages
   * to a peer that lacks it. It suits few origins that all must know soon,
   * while those of a large fleet take several messages.
   */
  void SetPreference(std::function<bool(const Origin&)> aIsPreferred);

  /** Increments this daemon's heartbeat and removes expired bookkeeping. */
  void IncrementHeartbeat();

  /**
   * Writes a record of this daemon. Returns false, without effect, if the value
   * exceeds `kMaxValueSize` or a new key would exceed `kMaxRecordsPerOrigin`.
   * Keys of removed records count, so short-lived records should reuse a few
   * keys.
   */
  bool SetRecord(std::string_view aKey, std::string_view aValue);

  /** Removes a record of this daemon; no effect if there is none. */
  void RemoveRecord(std::string_view aKey);

  /** Returns a record unless it is unknown or removed. */
  const Record* FindRecord(std::string_view aName, std::string_view aKey) const;

  /** Returns the known origins by name, including this daemon. */
  const std::map<std::string, Origin, std::less<>>& Origins() const
  {
    return this->origins;
  }

  const Origin* FindOrigin(std::string_view aName) const;

  /** Returns the first message of an exchange. */
  Digest MakeDigest(std::uint32_t aExchange) const;

  /**
   * Applies the heartbeats of a digest and returns the reply: the heartbeats
   * and records that the sender lacks, the records limited to `aByteLimit`
   * bytes, and the origins whose records are requested from the sender.
   */
  Delta ReplyToDigest(const Digest& aDigest, std::size_t aByteLimit);

  /**
   * Returns the third message of an exchange: the records that the reply
   * requests, limited to `aByteLimit` bytes.
   */
  Delta MakeFinal(const Delta& aReply, std::size_t aByteLimit);

  /** Returns a push of a record of any origin. The record must exist. */
  Delta MakePush(std::string_view aName, std::string_view aKey) const;

  /**
   * Applies heartbeats and records. Returns the origin's name and the key of
   * each record that was new or newer.
   */
  std::vector<std::pair<std::string, std::string>> Apply(const Delta& aDelta);

  /**
   * Removes an origin other than this daemon. It is accepted again only from a
   * newer process or with a heartbeat above the last one seen.
   */
  void RemoveOrigin(std::string_view aName);

  /**
   * Returns the number of processes that peers have announced and whose names
   * have not been received yet, for instance right after the start.
   */
  std::size_t UnresolvedCount() const { return this->unresolved.size(); }

  /** Whether a newer process with this daemon's name was seen. */
  bool IsSuperseded() const { return this->superseded; }

  /**
   * Ends the period in which this daemon may raise its incarnation. Called when
   * it resumes after a pause, since it may have been replaced meanwhile.
   */
  void EndJoinWindow() { this->joinWindowOpen = false; }

  /** Returns the estimated encoded size of a record in bytes. */
  static std::size_t EncodedSize(const Record& aRecord);

private:
  /** Last known state of a removed origin. */
  struct Tombstone
  {
    std::uint64_t start = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t heartbeat = 0;
    core::TimePoint created;
  };

  Origin& OwnOrigin() { return this->origins.find(this->self.name)->second; }
  Origin* FindByStart(std::uint64_t aStart);
  /**
   * Whether to request an unknown process: it was not replaced recently and not
   * removed with the same or a higher heartbeat.
   */
  bool IsWanted(const DigestEntry& aEntry) const;
  void AddUnresolved(std::uint64_t aStart);
  void UpdateHeartbeat(Origin& aOrigin, std::uint32_t aHeartbeat) const;
  /**
   * Returns the origin that a delta applies to, which is added if necessary.
   * Returns null if the delta is outdated, invalid, or about this daemon.
   */
  Origin* ResolveOrigin(const OriginDelta& aDelta);
  /**
   * Handles a delta with this daemon's name. If it is from another process with
   * a higher incarnation, raises this daemon's incarnation above it or marks
   * this daemon as superseded.
   */
  void HandleOwnNameConflict(const OriginDelta& aDelta);
  /**
   * Appends the records that a peer lacks, up to `aByteLimit` bytes. `aKnown`
   * holds the peer's versions; a heartbeat of 0 means an unknown origin.
   */
  void AppendRecords(Delta& aDelta,
                     std::span<const DigestEntry> aKnown,
                     std::size_t aByteLimit);
  /** Returns the entries in the order in which their records are sent. */
  std::vector<DigestEntry> SendOrderOf(
    std::span<const DigestEntry> aKnown) const;
  void RemoveExpired();

  core::DaemonId self;
  core::NowFunction now;
  core::TimePoint started;
  bool joinWindowOpen = true;
  bool superseded = false;
  /**
   * Start identities of unknown processes, with the time at which a peer last
   * announced them.
   */
  std::unordered_map<std::uint64_t, core::TimePoint> unresolved;
  /** Rotates the order of origins, so that limits omit different ones. */
  std::size_t roundRobinOffset = 0;
  /** Number of origins whose records the next reply may request. */
  std::size_t wantedLimit;
  std::map<std::string, Origin, std::less<>> origins;
  std::unordered_map<std::uint64_t, std::string> nameByStart;
  std::map<std::string, Tombstone, std::less<>> tombstones;
  /**
   * Start identities of replaced processes, with the time until which they are
   * not requested again.
   */
  std::unordered_map<std::uint64_t, core::TimePoint> replacedStarts;
  RecordChangedFunction recordChanged;
  std::function<bool(const Origin&)> isPreferred;
};

} // namespace fireflytrail::gossip
