#pragma once

#include <cstddef>

namespace fireflytrail::gateway {

/**
 * Divides a part of the memory among the buffers that the kernel keeps for each
 * connection, so that bytes which are not read, or not sent, are bounded in
 * their sum. Sizes are powers of two, so that they seldom change. Not
 * thread-safe.
 */
class SocketBuffers
{
public:
  static constexpr std::size_t kMinBytes = std::size_t{ 4 } * 1024;

  /** `aTotalBytes` are divided; no connection gets more than `aMaxBytes`, which
   * is a power of two of at least `kMinBytes`. */
  SocketBuffers(std::size_t aTotalBytes, std::size_t aMaxBytes);

  /**
   * Notes the number of connections. Returns whether the size has changed; that
   * of all connections must then be set. It grows again only when there are
   * half as many connections as it suffices for.
   */
  bool Update(std::size_t aConnections);

  /** Returns the size of each connection's buffer. */
  std::size_t Bytes() const { return this->bytes; }

private:
  const std::size_t totalBytes;
  const std::size_t maxBytes;
  std::size_t bytes;
};

} // namespace fireflytrail::gateway
