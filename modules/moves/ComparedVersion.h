#pragma once

#include <cstdint>

namespace fireflytrail::moves {

/** Which of the two versions of a move served a call. */
enum class ComparedVersion : std::uint8_t
{
  Old,
  New,
};

} // namespace fireflytrail::moves
