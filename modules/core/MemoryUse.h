#pragma once

#include <cstdint>

namespace fireflytrail::core {

/** What bytes of a `MemoryBudget` are for. */
enum class MemoryUse : std::uint8_t
{
  /** Bodies, which leave the reserve of the budget to other uses. */
  Body,
  /** Heads, and buffers in front of parsers. */
  Buffer,
};

} // namespace fireflytrail::core
