#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace fireflytrail::routing {

/** How far the move of a service to a version has got. */
enum class RolloutState : std::uint8_t
{
  Running,
  /** All requests go to the version; the old instances stop. */
  Completed,
  /** No request goes to the version. */
  RolledBack,
};

/** The operators' order to move a service to a version. */
struct RolloutOrder
{
  std::string service;
  std::string targetVersion;
  /** Time from the order by which the move is to be completed. */
  std::chrono::milliseconds duration{ 0 };
  RolloutState state = RolloutState::Running;
  /** Revision of the order's object, as the condition of a status write. */
  std::uint64_t revision = 0;
  /** Revision at which the object was made; tells an order from a later one. */
  std::uint64_t createdRevision = 0;

  bool operator==(const RolloutOrder&) const = default;
};

} // namespace fireflytrail::routing
