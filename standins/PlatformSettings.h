#pragma once

#include <cstddef>

namespace fireflytrail::standins {

/** Limits of the platform's object API. */
struct PlatformSettings
{
  /** Reads per second across all clients; a watch counts as one read. */
  double readLimit = 2000;
  /** Writes per second across all clients. */
  double writeLimit = 300;
  /** Maximum size of a value in bytes. */
  std::size_t valueLimit = 1U << 20U;
};

} // namespace fireflytrail::standins
