#include "core/MemoryBudget.h"

#include <cassert>

namespace fireflytrail::core {

bool
MemoryBudget::TryTake(std::size_t aBytes, MemoryUse aUse)
{
  const std::size_t usable =
    aUse == MemoryUse::Body ? this->limit - this->reserve : this->limit;
  std::size_t current = this->used.load();
  do {
    if (current > usable || aBytes > usable - current) {
      ++this->refusedCount;
      return false;
    }
  } while (!this->used.compare_exchange_weak(current, current + aBytes));
  return true;
}

void
MemoryBudget::Return(std::size_t aBytes)
{
  [[maybe_unused]] const std::size_t before = this->used.fetch_sub(aBytes);
  assert(before >= aBytes);
}

} // namespace fireflytrail::core
