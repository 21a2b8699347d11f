#pragma once

#include "core/DaemonId.h"
#include "gossip/Digest.h"
#include "gossip/Record.h"

#include <cstdint>
#include <vector>

namespace fireflytrail::gossip {

/** What a delta is part of. */
enum class DeltaKind : std::uint8_t
{
  /** Second message of an exchange, the answer to a digest. */
  Reply,
  /** Third message of an exchange, sent only if the reply wants something. */
  Final,
  /** An urgent record outside an exchange; new ones are forwarded. */
  Push,
};

/** A heartbeat that the receiver has not seen. */
struct HeartbeatEntry
{
  std::uint64_t start = 0;
  std::uint32_t heartbeat = 0;

  bool operator==(const HeartbeatEntry&) const = default;
};

/** Records of one origin in the order of their versions. */
struct OriginDelta
{
  /** The name is empty if the receiver knows the start. */
  core::DaemonId id;
  /** Orders the starts of daemons with the same name; 0 without a name. */
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
  /** The sender's own view may be outdated: it woke from a pause or joined. */
  bool senderIsStale = false;
  std::vector<HeartbeatEntry> heartbeats;
  std::vector<OriginDelta> origins;
  /** Origins of which the sender lacks records; only in a reply. */
  std::vector<DigestEntry> wanted;

  bool operator==(const Delta&) const = default;
};

} // namespace fireflytrail::gossip
