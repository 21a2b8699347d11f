#pragma once

#include "core/DaemonId.h"
#include "gossip/Digest.h"
#include "gossip/Record.h"

#include <cstdint>
#include <vector>

namespace fireflytrail::gossip {

/** Role of a delta in the protocol. */
enum class DeltaKind : std::uint8_t
{
  /** Second message of an exchange, the reply to a digest. */
  Reply,
  /** Third message of an exchange, sent only if the reply requests records. */
  Final,
  /**
   * An urgent record, sent outside an exchange; forwarded by receivers to which
   * it is new.
   */
  Push,
};

/**
 * A heartbeat that is newer than the receiver's, or 0 to announce a process
 * that the receiver does not know.
 */
struct HeartbeatEntry
{
  std::uint64_t start = 0;
  std::uint32_t heartbeat = 0;

  bool operator==(const HeartbeatEntry&) const = default;
};

/** Records of one origin, ordered by version. */
struct OriginDelta
{
  /** The name is empty if the receiver already knows the process. */
  core::DaemonId id;
  /** Orders processes with the same name; 0 if the name is empty. */
  std::uint64_t incarnation = 0;
  std::uint32_t heartbeat = 0;
  /** The records are complete for the versions above `from`, up to `upTo`. */
  std::uint32_t from = 0;
  std::uint32_t upTo = 0;
  std::vector<Record> records;

  bool operator==(const OriginDelta&) const = default;
};

/** Heartbeats and records that the receiver lacks. */
struct Delta
{
  DeltaKind kind = DeltaKind::Reply;
  std::uint32_t exchange = 0;
  /**
   * The sender's own view may be outdated: it resumed after a pause or has just
   * started.
   */
  bool senderIsStale = false;
  std::vector<HeartbeatEntry> heartbeats;
  std::vector<OriginDelta> origins;
  /** Origins whose missing records the sender requests; only in a reply. */
  std::vector<DigestEntry> wanted;

  bool operator==(const Delta&) const = default;
};

} // namespace fireflytrail::gossip
