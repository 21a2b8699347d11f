#include "gateway/SocketBuffers.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace fireflytrail::gateway {

SocketBuffers::SocketBuffers(std::size_t aTotalBytes, std::size_t aMaxBytes)
  : totalBytes(aTotalBytes)
  , maxBytes(aMaxBytes)
  , bytes(aMaxBytes)
{
  assert(std::has_single_bit(aMaxBytes) && aMaxBytes >= kMinBytes);
}

bool
SocketBuffers::Update(std::size_t aConnections)
{
  const auto sizeFor = [this](std::size_t aCount) {
    const std::size_t share =
      this->totalBytes / std::max<std::size_t>(aCount, 1);
    return std::clamp(std::bit_floor(share), kMinBytes, this->maxBytes);
  };
  const std::size_t needed = sizeFor(aConnections);
  const std::size_t calm = sizeFor(2 * aConnections);
  const std::size_t before = this->bytes;
  if (needed < this->bytes) {
    this->bytes = needed;
  } else if (calm > this->bytes) {
    this->bytes = calm;
  }
  return this->bytes != before;
}

} // namespace fireflytrail::gateway
