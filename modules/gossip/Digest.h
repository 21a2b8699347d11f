#pragma once

#include <cstdint>
#include <vector>

namespace fireflytrail::gossip {

/** Summary of one daemon's copy of one origin. */
struct DigestEntry
{
  /**
   * Start identity of the origin: drawn at random at each process start and
   * unique over all processes.
   */
  std::uint64_t start = 0;
  std::uint32_t heartbeat = 0;
  /** All records of the origin up to this version are present. */
  std::uint32_t version = 0;

  bool operator==(const DigestEntry&) const = default;
};

/**
 * First message of an exchange: summarizes the sender's copy of each origin.
 */
struct Digest
{
  /** Number of the exchange; the reply repeats it. */
  std::uint32_t exchange = 0;
  std::vector<DigestEntry> entries;

  bool operator==(const Digest&) const = default;
};

} // namespace fireflytrail::gossip
