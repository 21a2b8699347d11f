#pragma once

#include <cstdint>

namespace fireflytrail::configuration {

/** What happens to a version move whose set time comes with thin evidence. */
enum class ThinEvidence : std::uint8_t
{
  TakeBack,
  Finish,
};

} // namespace fireflytrail::configuration
