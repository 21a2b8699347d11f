#pragma once

#include <cstdint>

namespace fireflytrail::configuration {

/** The criterion that operators weigh most (setting `weighs_most`): latency or
 * protection from bad versions. */
enum class PrimaryCriterion : std::uint8_t
{
  Latency,
  BadVersions,
};

} // namespace fireflytrail::configuration
