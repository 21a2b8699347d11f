#pragma once

#include "routing/LoadSample.h"

#include <chrono>

namespace fireflytrail::routing {

/** What an instance says of itself when it is asked without a request. */
struct Measurement
{
  LoadSample load;
  /** How much longer it is cold. */
  std::chrono::milliseconds coldFor{ 0 };
};

} // namespace fireflytrail::routing
