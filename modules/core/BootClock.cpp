#include "core/BootClock.h"

#include <ctime>

namespace fireflytrail::core {

BootClock::time_point
BootClock::now() noexcept
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) +
                    std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace fireflytrail::core
