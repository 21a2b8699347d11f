#pragma once

#include "routing/InstanceLoad.h"
#include "routing/LoadSample.h"
#include "routing/ServerNotice.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace fireflytrail::wire {

/**
 * Releases a granted instance, withdraws a request that has no decision yet, or
 * reports the death of a server.
 */
struct SlotRelease
{
  /** Number of the withdrawn request; 0 if a grant is released. */
  std::uint64_t number = 0;
  std::string service;
  /** The released grant; 0 for a withdrawn request. */
  std::uint64_t grant = 0;
  routing::AttemptOutcome outcome = routing::AttemptOutcome::Cancelled;
  std::chrono::microseconds duration{ 0 };
  /** The load that the instance reported with its answer. */
  std::optional<routing::LoadSample> load;
  /** What the instance stated about itself with its answer. */
  routing::ServerNotice notice;
  /** Digest of the request; see `calls::RequestDigest`. */
  std::uint64_t digest = 0;
  /** Identifier of the death if a server died while the request was running,
   * otherwise 0; see `calls::CrashGuard::DeathIdOf`. */
  std::uint64_t death = 0;

  bool operator==(const SlotRelease&) const = default;
};

} // namespace fireflytrail::wire
