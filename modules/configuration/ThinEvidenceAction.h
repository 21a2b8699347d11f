#pragma once

#include <cstdint>

namespace fireflytrail::configuration {

/** What happens to a version move that has too little evidence to judge the new
 * version by its set time. */
enum class ThinEvidenceAction : std::uint8_t
{
  /** The new version is taken back. */
  TakeBack,
  /** The move is completed. */
  Finish,
};

} // namespace fireflytrail::configuration
