#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace fireflytrail::routing {

/** State of the rollout of a version of a service. */
enum class RolloutState : std::uint8_t
{
  Running,
  /** All requests go to the target version; the old instances are to stop. */
  Completed,
  /** No request goes to the target version. */
  RolledBack,
};

/** Returns the name of a state for logs. */
std::string_view
NameOf(RolloutState aState);

/** The operators' order to move a service to a version. */
struct RolloutOrder
{
  std::string service;
  std::string targetVersion;
  /** Time in which the move is to be completed, counted from the order. */
  std::chrono::milliseconds duration{ 0 };
  RolloutState state = RolloutState::Running;
  /** Whether the stored order has a status for this target version. */
  bool hasStoredStatus = false;
  /** Time at which this daemon first saw the order. */
  core::TimePoint firstSeenAt{};
  /** Revision of the stored order, joined with the era of the store; a status
   * write is conditional on it. */
  std::uint64_t revision = 0;
  /** Revision at which the stored order was created, joined with the era in
   * which it was read; distinguishes an order from a later one for the same
   * service. */
  std::uint64_t createdRevision = 0;
  /** Whether the store came back from a copy without the verdict, which has to
   * be written again. */
  bool isVerdictLost = false;

  bool operator==(const RolloutOrder&) const = default;
};

} // namespace fireflytrail::routing
