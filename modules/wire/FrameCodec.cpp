#include "wire/FrameCodec.h"

#include "wire/MessageConversion.h"

#include <cstring>

namespace fireflytrail::wire {

std::optional<std::string>
FrameCodec::Encode(const WireMessage& aMessage)
{
  std::string frame(kLengthSize, '\0');
  MessageConversion::AppendEnvelope(aMessage, frame);
  const std::size_t size = frame.size() - kLengthSize;
  if (size > kMaxFrameSize) {
    return std::nullopt;
  }
  for (std::size_t index = 0; index < kLengthSize; ++index) {
    frame[index] = static_cast<char>((size >> (8 * index)) & 0xff);
  }
  return frame;
}

void
FrameCodec::Feed(std::span<const std::uint8_t> aBytes)
{
  if (this->error != FrameError::None) {
    return;
  }
  this->buffer.insert(this->buffer.end(), aBytes.begin(), aBytes.end());
}

std::optional<WireMessage>
FrameCodec::Next()
{
  if (this->error != FrameError::None || this->BufferedSize() < kLengthSize) {
    return std::nullopt;
  }
  const std::uint8_t* start = this->buffer.data() + this->consumed;
  std::size_t size = 0;
  for (std::size_t index = 0; index < kLengthSize; ++index) {
    size |= static_cast<std::size_t>(start[index]) << (8 * index);
  }
  if (size > this->maxFrameSize) {
    this->error = FrameError::Oversized;
    return std::nullopt;
  }
  if (this->BufferedSize() < kLengthSize + size) {
    return std::nullopt;
  }
  // Copied because FlatBuffers requires aligned bytes, while frames start at
  // any offset of the buffer.
  const std::vector<std::uint8_t> envelope(start + kLengthSize,
                                           start + kLengthSize + size);
  this->consumed += kLengthSize + size;
  if (this->consumed == this->buffer.size()) {
    this->buffer.clear();
    this->consumed = 0;
  } else if (this->consumed > this->buffer.size() / 2) {
    this->buffer.erase(this->buffer.begin(),
                       this->buffer.begin() +
                         static_cast<std::ptrdiff_t>(this->consumed));
    this->consumed = 0;
  }
  WireMessage message;
  this->error = MessageConversion::ReadEnvelope(envelope, message);
  if (this->error != FrameError::None) {
    this->buffer.clear();
    this->consumed = 0;
    return std::nullopt;
  }
  return message;
}

} // namespace fireflytrail::wire
