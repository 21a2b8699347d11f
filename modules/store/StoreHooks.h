#pragma once

#include "core/Hooks.h"
#include "store/StoreRequest.h"
#include "store/StoreResponse.h"

#include <chrono>
#include <functional>

namespace fireflytrail::store {

/** Clock, timers and I/O of a `StoreClient`. All functions must be set. */
struct StoreHooks
{
  core::NowFunction now;
  core::RandomFunction random;
  /** Calls the function once after the delay. */
  std::function<void(std::chrono::milliseconds, std::function<void()>)>
    schedule;
  /** Sends a request and calls the function once with the outcome. */
  std::function<void(StoreRequest, std::function<void(StoreResponse)>)> send;
};

} // namespace fireflytrail::store
