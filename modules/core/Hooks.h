#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace fireflytrail::core {

/** Time on the monotonic clock, which all decisions use. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Wall-clock time, used only for timestamps and times set by operators. */
using WallTimePoint = std::chrono::system_clock::time_point;

/** Returns the current monotonic time. Must be callable from any thread. */
using NowFunction = std::function<TimePoint()>;

/** Returns the current wall-clock time. Must be callable from any thread. */
using WallNowFunction = std::function<WallTimePoint()>;

/** Returns 64 uniformly distributed random bits. */
using RandomFunction = std::function<std::uint64_t()>;

} // namespace fireflytrail::core
