#pragma once

#include "core/MemoryUse.h"

#include <cstddef>
#include <memory>

namespace fireflytrail::core {

class MemoryBudget;

/**
 * Bytes taken from a `MemoryBudget`, which are returned when the lease ends. A
 * lease without a budget grants any size. Not thread-safe; may end on another
 * thread than the one that resized it.
 */
class MemoryLease
{
public:
  /** `aBudget` may be null. */
  explicit MemoryLease(std::shared_ptr<MemoryBudget> aBudget,
                       MemoryUse aUse = MemoryUse::Body);
  ~MemoryLease();
  MemoryLease(const MemoryLease&) = delete;
  MemoryLease& operator=(const MemoryLease&) = delete;

  /**
   * Changes the size of the lease in bytes. Returns false, and keeps the size,
   * if the budget does not have the bytes.
   */
  bool TryResize(std::size_t aBytes);

  /** The same, and changes what the bytes are for. */
  bool TryResize(std::size_t aBytes, MemoryUse aUse);

  /** Returns the size in bytes. */
  std::size_t Size() const { return this->size; }

private:
  std::shared_ptr<MemoryBudget> budget;
  MemoryUse use;
  std::size_t size = 0;
};

} // namespace fireflytrail::core
