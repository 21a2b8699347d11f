#pragma once

#include "wire/FrameError.h"
#include "wire/WireMessage.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace fireflytrail::wire {

/** Converts messages to and from FlatBuffers envelopes. */
class MessageConversion
{
public:
  /** Envelopes of any other protocol version are rejected. */
  static constexpr std::uint32_t kProtocolVersion = 1;

  /** Appends the envelope of a message to the bytes. Thread-safe. */
  static void AppendEnvelope(const WireMessage& aMessage, std::string& aBytes);

  /**
   * Verifies an envelope and reads its message. `aMessage` is unchanged if
   * the result is not `None`. Thread-safe.
   */
  static FrameError ReadEnvelope(std::span<const std::uint8_t> aBytes,
                                 WireMessage& aMessage);
};

} // namespace fireflytrail::wire
