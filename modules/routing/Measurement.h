#pragma once

#include "routing/LoadSample.h"
#include "routing/ServerNotice.h"

#include <chrono>

namespace fireflytrail::routing {

/** Result of asking an instance for its load without sending a request. */
struct Measurement
{
  LoadSample load;
  /** Remaining time for which the instance is cold. */
  std::chrono::milliseconds remainingColdTime{ 0 };
  ServerNotice notice;
};

} // namespace fireflytrail::routing
