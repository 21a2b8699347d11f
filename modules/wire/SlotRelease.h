#pragma once

#include "routing/InstanceLoad.h"
#include "routing/LoadSample.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace fireflytrail::wire {

/** Gives a granted instance back, withdraws a request without a decision, or
 * tells of a server's death. */
struct SlotRelease
{
  /** Number of the withdrawn request; 0 for a grant. */
  std::uint64_t number = 0;
  std::string service;
  /** 0 for a withdrawn request. */
  std::uint64_t grant = 0;
  routing::AttemptOutcome outcome = routing::AttemptOutcome::Cancelled;
  std::chrono::microseconds duration{ 0 };
  /** The load that the instance reported with its answer. */
  std::optional<routing::LoadSample> load;
  /** Digest of the request; see `calls::RequestDigest`. */
  std::uint64_t digest = 0;
  /** Set if a server died while the request was running; see
   * `calls::CrashGuard::DeathIdOf`. */
  std::uint64_t death = 0;

  bool operator==(const SlotRelease&) const = default;
};

} // namespace fireflytrail::wire
