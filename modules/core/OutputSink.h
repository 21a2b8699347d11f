#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace fireflytrail::core {

/**
 * Writes log lines to a file descriptor without ever waiting for its reader,
 * and not more than a number of bytes a second. Lines that do not fit are
 * dropped and counted; the count is written as a line of its own as soon as
 * there is room. Thread-safe.
 */
class OutputSink
{
public:
  /** Longest line with its line break: a pipe takes this much at once or not
   * at all, so that no line is cut. */
  static constexpr std::size_t kMaxLineBytes = 4096;

  /** `aDescriptor` stays open as long as the sink. */
  OutputSink(int aDescriptor,
             std::size_t aBytesPerSecond,
             NowFunction aNow = std::chrono::steady_clock::now);
  OutputSink(const OutputSink&) = delete;
  OutputSink& operator=(const OutputSink&) = delete;

  /** Writes a line, which has no line break, or drops it. */
  void Write(std::string_view aLine);

  /** Returns the lines that were dropped since the start. */
  std::uint64_t DroppedCount() const;

private:
  bool TryWrite(std::string_view aLine);
  void Refill();

  int descriptor;
  double bytesPerSecond;
  NowFunction now;
  mutable std::mutex mutex;
  double allowance;
  TimePoint refilledAt;
  std::uint64_t dropped = 0;
  std::uint64_t reportedDropped = 0;
};

} // namespace fireflytrail::core
