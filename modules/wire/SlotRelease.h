#pragma once

#include "routing/InstanceLoad.h"
#include "routing/LoadSample.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace fireflytrail::wire {

/** Gives a granted instance back, or withdraws a request without a decision. */
struct SlotRelease
{
  /** Number of the withdrawn request; 0 for a grant. */
  std::uint64_t number = 0;
  std::string service;
  /** 0 for a withdrawn request. */
  std::uint64_t grant = 0;
  routing::UseOutcome outcome = routing::UseOutcome::Cancelled;
  std::chrono::microseconds duration{ 0 };
  /** The load that the instance reported with its answer. */
  std::optional<routing::LoadSample> load;

  bool operator==(const SlotRelease&) const = default;
};

} // namespace fireflytrail::wire
