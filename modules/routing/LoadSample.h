#pragma once

#include <cstdint>

namespace fireflytrail::routing {

/** Load that a server reported with an answer or when it was measured. */
struct LoadSample
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  /** Current duration of work relative to its usual duration. */
  double slowdown = 1;

  bool operator==(const LoadSample&) const = default;
};

} // namespace fireflytrail::routing
