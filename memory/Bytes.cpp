#include "memory/Bytes.h"

#include <cassert>
#include <string>

namespace fireflytrail::memory {

boost::asio::const_buffer
Bytes(std::size_t aCount)
{
  static const std::string block(std::size_t{ 64 } << 20U, 'b');
  assert(aCount <= block.size());
  return { block.data(), aCount };
}

} // namespace fireflytrail::memory
