#pragma once

#include <cstdint>

namespace fireflytrail::core {

/**
 * Numbers requests, grants and the like, so that no two processes of a daemon
 * give out the same number. A restarted daemon keeps its name; a message about
 * a number of the process that it replaces must not be taken for one about its
 * own.
 *
 * The upper half of a number identifies the process, the lower half counts.
 * After 2^32 numbers the count starts again, by when the first numbers are no
 * longer in use. Not thread-safe.
 */
class ProcessNumbers
{
public:
  /** `aProcessStart` is the `start` of the process's `DaemonId`. */
  explicit ProcessNumbers(std::uint64_t aProcessStart)
    : process(static_cast<std::uint32_t>(aProcessStart >> kCountBits))
  {
  }

  /** Returns the next number; never 0. */
  std::uint64_t Next()
  {
    if (++this->count == 0) {
      this->count = 1;
    }
    return std::uint64_t{ this->process } << kCountBits | this->count;
  }

  /** Whether a number was given out by this process. */
  bool IsOwn(std::uint64_t aNumber) const
  {
    return static_cast<std::uint32_t>(aNumber >> kCountBits) == this->process;
  }

private:
  static constexpr unsigned kCountBits = 32;

  std::uint32_t process;
  std::uint32_t count = 0;
};

} // namespace fireflytrail::core
