#pragma once

#include <boost/asio/buffer.hpp>

#include <cstddef>

namespace fireflytrail::memory {

/** Returns `aCount` bytes, at most 64 MiB, of a block that all loads share.
 * Thread-safe. */
boost::asio::const_buffer
Bytes(std::size_t aCount);

} // namespace fireflytrail::memory
