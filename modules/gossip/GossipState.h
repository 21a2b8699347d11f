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

/** What is known of one daemon process. */
struct Origin
{
  core::DaemonId id;
  std::uint64_t incarnation = 0;
  std::uint32_t heartbeat = 0;
  /** All records up to this version are known; pushed ones may be above. */
  std::uint32_t version = 0;
  std::map<std::string, Record, std::less<>> records;
  /** When the heartbeat last grew, on the local clock. */
  core::TimePoint heartbeatSeen;
};

/**
 * The replicated records and their reconciliation (Scuttlebutt). Records are
 * ordered by a version per origin; heartbeats are reconciled apart from
 * records, so that a backlog of records never delays failure detection.
 *
 * Of two starts of the same name the one with the higher incarnation wins and
 * replaces the other's records at once. The incarnation is the civil time of
 * the start; a daemon that meets a higher one of its own name right after its
 * start raises its own above it, so a clock set back does no harm.
 */
class GossipState
{
public:
  /** Receives each record of another daemon that is new or newer. */
  using RecordChangedFunction =
    std::function<void(const core::DaemonId&, const Record&)>;

  static constexpr std::size_t kMaxRecordsPerOrigin = 64;
  static constexpr std::size_t kMaxOrigins = 1024;
  /** FlatBuffers overhead; a test of the wire module checks the figures. */
  static constexpr std::size_t kRecordOverhead = 36;
  static constexpr std::size_t kOriginOverhead = 60;
  static constexpr std::size_t kMaxValueSize = std::size_t{ 64 } * 1024;

  /**
   * Makes a state that knows only its own daemon. `aIncarnation` is the civil
   * time of the start in milliseconds.
   */
  GossipState(core::DaemonId aSelf,
              std::uint64_t aIncarnation,
              core::NowFunction aNow);

  /** Not thread-safe, like every method of this class. */
  const core::DaemonId& Self() const { return this->self; }

  /** Sets the receiver of changes; it may call `SetRecord`. */
  void OnRecordChanged(RecordChangedFunction aFunction);

  /** Advances the own heartbeat. */
  void IncrementHeartbeat();

  /**
   * Writes an own record. Returns false, without effect, if the value exceeds
   * `kMaxValueSize` or a new key exceeds `kMaxRecordsPerOrigin`. Keys of
   * removed records count, so short-lived records should reuse a few keys.
   */
  bool SetRecord(std::string_view aKey, std::string_view aValue);

  /** Removes an own record; no effect if there is none. */
  void RemoveRecord(std::string_view aKey);

  /** Returns a record unless it is unknown or removed. */
  const Record* FindRecord(std::string_view aName, std::string_view aKey) const;

  /** Returns what is known of each name, the own daemon included. */
  const std::map<std::string, Origin, std::less<>>& Origins() const
  {
    return this->origins;
  }

  const Origin* FindOrigin(std::string_view aName) const;

  /** Returns the first message of an exchange. */
  Digest MakeDigest(std::uint32_t aExchange) const;

  /**
   * Takes the heartbeats of a digest and returns the reply: what the sender
   * lacks, its records within `aByteLimit`, and what is wanted of it.
   */
  Delta ReplyToDigest(const Digest& aDigest, std::size_t aByteLimit);

  /** Returns the third message of an exchange. */
  Delta MakeFinal(const Delta& aReply, std::size_t aByteLimit);

  /** Returns a push of an own or relayed record. The record must exist. */
  Delta MakePush(std::string_view aName, std::string_view aKey) const;

  /**
   * Takes heartbeats and records. Returns the name and key of each record
   * that was new.
   */
  std::vector<std::pair<std::string, std::string>> Apply(const Delta& aDelta);

  /**
   * Forgets an origin other than the own. It comes back only with a newer
   * start or with a heartbeat above the last one seen.
   */
  void RemoveOrigin(std::string_view aName);

  /**
   * Number of processes that peers know and whose identities have not arrived
   * yet, for instance right after the start.
   */
  std::size_t UnresolvedCount() const { return this->unresolved.size(); }

  /** Whether a newer process of the own name was seen. */
  bool IsSuperseded() const { return this->superseded; }

  /**
   * Ends the time in which the own incarnation may be raised. Called when the
   * daemon wakes from a pause, since it may have been replaced meanwhile.
   */
  void EndJoinWindow() { this->joinWindowOpen = false; }

  /** Estimate of the encoded size of a record. */
  static std::size_t EncodedSize(const Record& aRecord);

private:
  /** Last knowledge of a forgotten start. */
  struct Tombstone
  {
    std::uint64_t start = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t heartbeat = 0;
    core::TimePoint created;
  };

  Origin& OwnOrigin() { return this->origins.find(this->self.name)->second; }
  Origin* FindByStart(std::uint64_t aStart);
  /** Whether an unknown start is worth asking for. */
  bool IsWanted(const DigestEntry& aEntry) const;
  void AddUnresolved(std::uint64_t aStart);
  void UpdateHeartbeat(Origin& aOrigin, std::uint32_t aHeartbeat) const;
  /** Returns the origin that a delta belongs to, or null if it is outdated. */
  Origin* ResolveOrigin(const OriginDelta& aDelta);
  void HandleOwnNameConflict(const OriginDelta& aDelta);
  void AppendRecords(Delta& aDelta,
                     std::span<const DigestEntry> aKnown,
                     std::size_t aByteLimit);
  void RemoveExpired();

  core::DaemonId self;
  core::NowFunction now;
  core::TimePoint started;
  bool joinWindowOpen = true;
  bool superseded = false;
  /** Unknown starts with the time at which they were last seen. */
  std::unordered_map<std::uint64_t, core::TimePoint> unresolved;
  /** Start of the round robin over origins when the byte limit is hit. */
  std::size_t roundRobinOffset = 0;
  /** Number of origins that the next reply may ask for. */
  std::size_t wantedLimit;
  std::map<std::string, Origin, std::less<>> origins;
  std::unordered_map<std::uint64_t, std::string> nameByStart;
  std::map<std::string, Tombstone, std::less<>> tombstones;
  /** Starts that were replaced, with the time until which none are asked. */
  std::unordered_map<std::uint64_t, core::TimePoint> replacedStarts;
  RecordChangedFunction recordChanged;
};

} // namespace fireflytrail::gossip
