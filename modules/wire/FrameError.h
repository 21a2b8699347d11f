#pragma once

#include <cstdint>

namespace fireflytrail::wire {

/** Why the bytes of a connection cannot be decoded. */
enum class FrameError : std::uint8_t
{
  None,
  /** The length exceeds the limit. */
  Oversized,
  /** Not a valid envelope, or a value outside its range. */
  Corrupt,
  /** A valid envelope of another protocol version or message type. */
  UnknownVersion,
};

} // namespace fireflytrail::wire
