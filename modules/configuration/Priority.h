#pragma once

#include <cstdint>

namespace fireflytrail::configuration {

/** Importance of a call; less important calls are shed first. */
enum class Priority : std::uint8_t
{
  Urgent,
  Normal,
  Low,
};

} // namespace fireflytrail::configuration
