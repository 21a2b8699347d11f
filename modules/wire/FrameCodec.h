#pragma once

#include "wire/FrameError.h"
#include "wire/WireMessage.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fireflytrail::wire {

/**
 * Encodes messages into frames and decodes the bytes of one connection
 * incrementally. A frame is a 4-byte little-endian length followed by an
 * envelope. After the first error nothing more is decoded, and the connection
 * must be closed.
 */
class FrameCodec
{
public:
  static constexpr std::size_t kLengthSize = 4;
  static constexpr std::size_t kMaxFrameSize = std::size_t{ 2 } * 1024 * 1024;

  /**
   * Returns the frame of a message, or nothing if it exceeds `kMaxFrameSize`.
   * Thread-safe.
   */
  static std::optional<std::string> Encode(const WireMessage& aMessage);

  /**
   * Appends received bytes; they are ignored after an error. Not thread-safe,
   * like every method that is not static.
   */
  void Feed(std::span<const std::uint8_t> aBytes);

  /**
   * Returns the next message, or nothing if more bytes are needed or an error
   * was found.
   */
  std::optional<WireMessage> Next();

  /** Sets the size beyond which a frame is an error; at most `kMaxFrameSize`.
   */
  void LimitFrames(std::size_t aBytes) { this->maxFrameSize = aBytes; }

  FrameError Error() const { return this->error; }

  /** Number of bytes that are buffered until their frame is complete. */
  std::size_t BufferedSize() const
  {
    return this->buffer.size() - this->consumed;
  }

private:
  std::vector<std::uint8_t> buffer;
  std::size_t consumed = 0;
  std::size_t maxFrameSize = kMaxFrameSize;
  FrameError error = FrameError::None;
};

} // namespace fireflytrail::wire
