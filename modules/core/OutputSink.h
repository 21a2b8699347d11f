#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace fireflytrail::core {

/**
 * Writes log lines to a file descriptor. Never blocks, even if nothing reads
 * the output, and limits the bytes per second with a token bucket that holds
 * the bytes of one second. Lines that exceed a limit or would block are dropped
 * and counted; the count is logged as a line of its own before the next line
 * that can be written. Thread-safe.
 */
class OutputSink
{
public:
  /** Maximum length of a line with its line break. Writes of up to this size
   * to a pipe are atomic, so that no line is truncated. */
  static constexpr std::size_t kMaxLineBytes = 4096;

  /** `aDescriptor` must stay open as long as the sink exists. */
  OutputSink(int aDescriptor,
             std::size_t aBytesPerSecond,
             NowFunction aNow = std::chrono::steady_clock::now);
  OutputSink(const OutputSink&) = delete;
  OutputSink& operator=(const OutputSink&) = delete;

  /** Writes or drops a line. `aLine` must not contain a line break. */
  void Write(std::string_view aLine);

  /** Returns the number of lines dropped since construction. */
  std::uint64_t DroppedCount() const;

private:
  bool TryWrite(std::string_view aLine);
  void Refill();

  int descriptor;
  double bytesPerSecond;
  NowFunction now;
  mutable std::mutex mutex;
  double availableBytes;
  TimePoint refilledAt;
  std::uint64_t dropped = 0;
  std::uint64_t reportedDropped = 0;
};

} // namespace fireflytrail::core
