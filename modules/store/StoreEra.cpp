#include "store/StoreEra.h"

#include "store/StoreResponse.h"
#include "store/StoreRevision.h"

#include <algorithm>
#include <utility>

namespace fireflytrail::store {

StoreEra::Standing
StoreEra::Judge(const StoreResponse& aAnswer)
{
  const std::uint64_t era = std::min(aAnswer.era, kMaxEra);
  if (aAnswer.delivery != StoreDelivery::Answered) {
    return Standing::Current;
  }
  if (!this->isKnown) {
    this->isKnown = true;
    this->current = era;
    return Standing::Current;
  }
  if (era == this->current || era == 0) {
    this->stated = 0;
    return Standing::Current;
  }
  if (this->IsOlder(aAnswer)) {
    return Standing::Older;
  }
  if (era != this->stated) {
    this->stated = era;
    return Standing::Unconfirmed;
  }
  this->Raise(era);
  return Standing::Raised;
}

bool
StoreEra::IsOlder(const StoreResponse& aAnswer) const
{
  return aAnswer.era != 0 && aAnswer.era < this->current;
}

bool
StoreEra::Raise(std::uint64_t aEra)
{
  if (aEra <= this->current) {
    return false;
  }
  this->current = aEra;
  this->stated = 0;
  return std::exchange(this->isKnown, true);
}

} // namespace fireflytrail::store
