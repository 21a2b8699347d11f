#pragma once

#include <cstdint>
#include <string>

namespace fireflytrail::gossip {

/** One replicated record. Only its origin writes it. */
struct Record
{
  std::string key;
  /** Opaque bytes; empty for a removed record. */
  std::string value;
  /** Position in the origin's write order, starting at 1. */
  std::uint32_t version = 0;
  /** A removed record is kept as a tombstone until its origin is removed. */
  bool removed = false;

  bool operator==(const Record&) const = default;
};

} // namespace fireflytrail::gossip
