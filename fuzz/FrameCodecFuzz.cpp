#include "wire/FrameCodec.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <span>

using namespace fireflytrail::wire;

/**
 * Decodes arbitrary bytes as the stream of a connection. Decoded messages must
 * survive a round trip, and the result must not depend on how the stream is
 * split into reads.
 */
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::span<const std::uint8_t> bytes(aData, aSize);
  FrameCodec whole;
  whole.Feed(bytes);
  FrameCodec split;
  std::size_t fed = 0;
  const auto nextSplitMessage = [&] {
    auto message = split.Next();
    while (!message && fed < bytes.size() &&
           split.Error() == FrameError::None) {
      const std::size_t step = std::min<std::size_t>(7, bytes.size() - fed);
      split.Feed(bytes.subspan(fed, step));
      fed += step;
      message = split.Next();
    }
    return message;
  };
  for (;;) {
    const auto message = whole.Next();
    if (message != nextSplitMessage() || whole.Error() != split.Error()) {
      std::abort();
    }
    if (!message) {
      return 0;
    }
    const auto frame = FrameCodec::Encode(*message);
    if (!frame) {
      continue;
    }
    FrameCodec again;
    again.Feed(
      { reinterpret_cast<const std::uint8_t*>(frame->data()), frame->size() });
    if (again.Next() != message) {
      std::abort();
    }
  }
}
