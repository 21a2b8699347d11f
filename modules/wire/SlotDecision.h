#pragma once

#include "core/ErrorKind.h"
#include "routing/BackendInstance.h"

#include <chrono>
#include <cstdint>

namespace fireflytrail::wire {

/** The answer to a `SlotRequest`. */
struct SlotDecision
{
  std::uint64_t number = 0;
  /** `None` if an instance was granted. */
  core::ErrorKind kind = core::ErrorKind::None;
  std::uint64_t grant = 0;
  /** The instance that was granted; its service is not sent. */
  routing::BackendInstance instance;
  std::chrono::milliseconds retryAfter{ 0 };

  bool operator==(const SlotDecision&) const = default;
};

} // namespace fireflytrail::wire
