#include "core/MemoryLease.h"

#include "core/MemoryBudget.h"

#include <utility>

namespace fireflytrail::core {

MemoryLease::MemoryLease(std::shared_ptr<MemoryBudget> aBudget, MemoryUse aUse)
  : budget(std::move(aBudget))
  , use(aUse)
{
}

MemoryLease::~MemoryLease()
{
  this->TryResize(0);
}

bool
MemoryLease::TryResize(std::size_t aBytes, MemoryUse aUse)
{
  this->use = aUse;
  return this->TryResize(aBytes);
}

bool
MemoryLease::TryResize(std::size_t aBytes)
{
  if (this->budget && aBytes > this->size &&
      !this->budget->TryTake(aBytes - this->size, this->use)) {
    return false;
  }
  if (this->budget && aBytes < this->size) {
    this->budget->Return(this->size - aBytes);
  }
  this->size = aBytes;
  return true;
}

} // namespace fireflytrail::core
