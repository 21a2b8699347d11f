#pragma once

#include "core/Hooks.h"
#include "usage/Figures.h"

#include <chrono>

namespace fireflytrail::usage {

/** Returns the window that a moment after the epoch lies in. Thread-safe. */
inline WindowNumber
WindowAt(core::WallTimePoint aTime, std::chrono::milliseconds aLength)
{
  return static_cast<WindowNumber>(aTime.time_since_epoch() / aLength);
}

/** Returns when a window ends. Thread-safe. */
inline core::WallTimePoint
EndOf(WindowNumber aWindow, std::chrono::milliseconds aLength)
{
  return core::WallTimePoint(aLength * static_cast<std::int64_t>(aWindow + 1));
}

} // namespace fireflytrail::usage
