#pragma once

#include <cstdint>

namespace fireflytrail::gossip {

/** Liveness of one host in the view of the local daemon. */
enum class MemberState : std::uint8_t
{
  Alive,
  /** The last heartbeat is old, or a listed host has never sent one. */
  Suspect,
  Dead,
  /** Announced its stop in a record or is listed as leaving. */
  Leaving,
};

} // namespace fireflytrail::gossip
