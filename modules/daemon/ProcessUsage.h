#pragma once

#include <chrono>
#include <cstdint>

namespace fireflytrail::daemon {

/** What this process and the calling thread use of the machine. */
struct ProcessUsage
{
  /** Returns the processor time of the calling thread. */
  static std::chrono::microseconds ThreadCpuTime();

  /** Returns the resident memory of the process in bytes. Thread-safe. */
  static std::uint64_t ResidentBytes();
};

} // namespace fireflytrail::daemon
