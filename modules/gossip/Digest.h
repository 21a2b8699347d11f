#pragma once

#include <cstdint>
#include <vector>

namespace fireflytrail::gossip {

/** What one daemon knows of one origin. */
struct DigestEntry
{
  /** Start identity of the origin, unique over all processes. */
  std::uint64_t start = 0;
  std::uint32_t heartbeat = 0;
  /** All records of the origin up to this version are known. */
  std::uint32_t version = 0;

  bool operator==(const DigestEntry&) const = default;
};

/** First message of an exchange: what its sender knows of each origin. */
struct Digest
{
  /** Matches the reply with the exchange. */
  std::uint32_t exchange = 0;
  std::vector<DigestEntry> entries;

  bool operator==(const Digest&) const = default;
};

} // namespace fireflytrail::gossip
