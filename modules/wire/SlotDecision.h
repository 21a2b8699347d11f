#pragma once

#include "core/ErrorKind.h"
#include "routing/BackendInstance.h"

#include <chrono>
#include <cstdint>

namespace fireflytrail::wire {

/** The answer to a `SlotRequest`. */
struct SlotDecision
{
  /** Number of the request. */
  std::uint64_t number = 0;
  /** `None` if an instance was granted, otherwise the refusal's reason. */
  core::ErrorKind kind = core::ErrorKind::None;
  /** Identifies the granted slot in its `SlotRelease`. */
  std::uint64_t grant = 0;
  /** The granted instance. Daemons of earlier releases do not state its
   * `service`. */
  routing::BackendInstance instance;
  std::chrono::milliseconds retryAfter{ 0 };

  bool operator==(const SlotDecision&) const = default;
};

} // namespace fireflytrail::wire
