#include "proxy/PauseGuard.h"

#include <ctime>

namespace fireflytrail::proxy {

void
PauseGuard::Tick(Time aNow)
{
  if (this->lastRun && aNow - *this->lastRun > kLongestGap) {
    this->wokeAt = aNow;
  }
  this->lastRun = aNow;
}

bool
PauseGuard::HasJustWoken(Time aNow)
{
  // What waited during the pause may be handled before the first tick.
  this->Tick(aNow);
  return this->wokeAt && aNow - *this->wokeAt < kSettleTime;
}

PauseGuard::Time
PauseGuard::Now()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace fireflytrail::proxy
