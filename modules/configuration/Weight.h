#pragma once

#include <cstdint>

namespace fireflytrail::configuration {

/** Which evaluation criterion weighs most (`weighs_most`). */
enum class Weight : std::uint8_t
{
  Latency,
  BadVersions,
};

} // namespace fireflytrail::configuration
