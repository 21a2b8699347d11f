#include "moves/EvidencePublisher.h"

#include <cassert>
#include <chrono>
#include <utility>

namespace fireflytrail::moves {

namespace {

/**
 * Minimum interval between pushes while a route looks bad. One push of 170
 * bytes from each of 19 daemons every 2 s costs each daemon about 1.6 KB/s on
 * top of the regular exchanges.
 */
constexpr std::chrono::seconds kPushInterval{ 2 };

} // namespace

EvidencePublisher::EvidencePublisher(Hooks aHooks)
  : hooks(std::move(aHooks))
{
  assert(this->hooks.now);
  assert(this->hooks.publishPaced);
  assert(this->hooks.publishUrgent);
}

void
EvidencePublisher::Update(const EvidenceWindow& aPrevious,
                          const EvidenceWindow& aCurrent,
                          bool aIsSuspicious)
{
  const bool isNewWindow = this->window && aCurrent.window != *this->window;
  this->window = aCurrent.window;
  if (isNewWindow) {
    this->sequence = 0;
    if (aPrevious.sequence > 0) {
      this->hooks.publishUrgent(aPrevious.Serialize());
      return;
    }
  }
  if (aCurrent.sequence <= this->sequence) {
    return;
  }
  this->sequence = aCurrent.sequence;
  const core::TimePoint now = this->hooks.now();
  if (aIsSuspicious && now >= this->nextPush) {
    this->nextPush = now + kPushInterval;
    this->hooks.publishUrgent(aCurrent.Serialize());
  } else {
    this->hooks.publishPaced(aCurrent.Serialize());
  }
}

} // namespace fireflytrail::moves
