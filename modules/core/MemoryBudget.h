#pragma once

#include "core/MemoryUse.h"

#include <atomic>
#include <cassert>
#include <cstddef>
#include <cstdint>

namespace fireflytrail::core {

/**
 * Bounds the bytes that all connections of a process hold together for bodies,
 * heads and buffers. `MemoryLease` takes bytes of it. Thread-safe.
 */
class MemoryBudget
{
public:
  /**
   * `aLimit` is in bytes. Bodies leave `aReserve` of them to heads and buffers,
   * so that large bodies do not keep other requests out.
   */
  explicit MemoryBudget(std::size_t aLimit, std::size_t aReserve = 0)
    : limit(aLimit)
    , reserve(aReserve)
  {
    assert(aReserve <= aLimit);
  }
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /** Returns the limit in bytes. */
  std::size_t Limit() const { return this->limit; }

  /** Returns the bytes that are taken. */
  std::size_t Used() const { return this->used.load(); }

  /** Returns how often bytes were refused. */
  std::uint64_t RefusedCount() const { return this->refusedCount.load(); }

private:
  friend class MemoryLease;

  /** Takes bytes; returns false, and takes none, if they do not fit. */
  bool TryTake(std::size_t aBytes, MemoryUse aUse);
  void Return(std::size_t aBytes);

  const std::size_t limit;
  const std::size_t reserve;
  std::atomic<std::size_t> used{ 0 };
  std::atomic<std::uint64_t> refusedCount{ 0 };
};

} // namespace fireflytrail::core
