#include "core/OutputSink.h"

#include <fmt/format.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

namespace fireflytrail::core {

OutputSink::OutputSink(int aDescriptor,
                       std::size_t aBytesPerSecond,
                       NowFunction aNow)
  : descriptor(aDescriptor)
  , bytesPerSecond(static_cast<double>(aBytesPerSecond))
  , now(std::move(aNow))
  , availableBytes(this->bytesPerSecond)
{
  assert(aDescriptor >= 0 && aBytesPerSecond > 0 && this->now);
  this->refilledAt = this->now();
}

void
OutputSink::Write(std::string_view aLine)
{
  const std::scoped_lock lock(this->mutex);
  this->Refill();
  if (this->dropped > this->reportedDropped &&
      this->TryWrite(fmt::format(
        R"({{"level":"warning","event":"log_lines_dropped","count":{}}})",
        this->dropped - this->reportedDropped))) {
    this->reportedDropped = this->dropped;
  }
  if (!this->TryWrite(aLine)) {
    ++this->dropped;
  }
}

std::uint64_t
OutputSink::DroppedCount() const
{
  const std::scoped_lock lock(this->mutex);
  return this->dropped;
}

bool
OutputSink::TryWrite(std::string_view aLine)
{
  const std::size_t size = aLine.size() + 1;
  if (size > kMaxLineBytes ||
      static_cast<double>(size) > this->availableBytes) {
    return false;
  }
  // A pipe that is ready to write takes up to 4096 bytes without blocking.
  pollfd state{ this->descriptor, POLLOUT, 0 };
  if (poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0) {
    return false;
  }
  const std::string line = fmt::format("{}\n", aLine);
  const ssize_t written = write(this->descriptor, line.data(), line.size());
  if (written != static_cast<ssize_t>(line.size())) {
    return false;
  }
  this->availableBytes -= static_cast<double>(size);
  return true;
}

void
OutputSink::Refill()
{
  const TimePoint current = this->now();
  const std::chrono::duration<double> elapsed = current - this->refilledAt;
  this->refilledAt = current;
  this->availableBytes =
    std::min(this->bytesPerSecond,
             this->availableBytes + elapsed.count() * this->bytesPerSecond);
}

} // namespace fireflytrail::core
