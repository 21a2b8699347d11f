#pragma once

#include <cstdint>

namespace fireflytrail::gossip {

/** What is believed of one host. */
enum class MemberState : std::uint8_t
{
  Alive,
  /** No heartbeat for a while, or listed and never heard. */
  Suspect,
  Dead,
  /** Announced its stop by itself or in the host list. */
  Leaving,
};

} // namespace fireflytrail::gossip
