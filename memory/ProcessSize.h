#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>

#include <sys/types.h>

namespace fireflytrail::memory {

/** Size of a process as the kernel states it. */
struct ProcessSize
{
  std::size_t residentKilobytes = 0;
  std::size_t peakKilobytes = 0;
  std::size_t descriptors = 0;
  std::chrono::milliseconds processorTime{ 0 };

  /** Returns the size of a process; zeros if it does not exist. */
  static ProcessSize Of(pid_t aProcess);
};

/** Returns the bytes that the kernel has received on the connections of
 * `aListener` and that its process has not read. */
std::size_t
UnreadBytes(pid_t aProcess, const boost::asio::ip::tcp::endpoint& aListener);

/** Returns the bytes that the kernel holds, unread or unsent, for the
 * connections to `aCount` consecutive ports of a process from `aFirst` on. */
std::size_t
KernelBytes(pid_t aProcess,
            const boost::asio::ip::tcp::endpoint& aFirst,
            unsigned aCount);

} // namespace fireflytrail::memory
