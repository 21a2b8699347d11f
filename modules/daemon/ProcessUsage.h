#pragma once

#include <chrono>
#include <cstdint>

namespace fireflytrail::daemon {

/** CPU time of a thread and memory use of this process. */
struct ProcessUsage
{
  /** Returns the user and system CPU time of the calling thread. */
  static std::chrono::microseconds ThreadCpuTime();

  /** Returns the resident memory of the process in bytes. Thread-safe. */
  static std::uint64_t ResidentBytes();
};

} // namespace fireflytrail::daemon
