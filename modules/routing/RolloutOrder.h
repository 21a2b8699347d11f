#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

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

/** Returns the name of a state for logs. */
std::string_view
NameOf(RolloutState aState);

/** The operators' order to move a service to a version. */
struct RolloutOrder
{
  std::string service;
  std::string targetVersion;
  /** Time from the order by which the move is to be completed. */
  std::chrono::milliseconds duration{ 0 };
  RolloutState state = RolloutState::Running;
  /** Whether the store shows a state for this version. */
  bool hasState = false;
  /** When this daemon has first seen the order. */
  core::TimePoint seenAt{};
  /** Revision of the order's object, as the condition of a status write. */
  std::uint64_t revision = 0;
  /** Revision at which the object was made; tells an order from a later one. */
  std::uint64_t createdRevision = 0;

  bool operator==(const RolloutOrder&) const = default;
};

} // namespace fireflytrail::routing
