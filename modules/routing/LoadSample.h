#pragma once

#include <cstdint>

namespace fireflytrail::routing {

/** A server's load as it stated it on an answer. */
struct LoadSample
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  /** How long work takes at this moment, relative to usual. */
  double slowdown = 1;

  bool operator==(const LoadSample&) const = default;
};

} // namespace fireflytrail::routing
