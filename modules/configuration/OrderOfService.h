#pragma once

#include <cstdint>

namespace fireflytrail::configuration {

/** In which order requests that wait for a server are served and refused. */
enum class OrderOfService : std::uint8_t
{
  /**
   * Those that can meet their goal go first, by priority and then the newest
   * first. The queue holds what can be done in a fixed short time; beyond it,
   * those that cannot meet their goal, the least important and the oldest are
   * refused.
   */
  NewestFirst,
  /**
   * Those that can meet their goal go first, by priority and then the one that
   * must start first. The queue holds as much as can be done by the goals of
   * those in it. If that is exceeded, the request that costs callers least is
   * refused: by priority, then one whose caller was not told to return now,
   * then of the organisation that uses most, then the one with the most work,
   * then the newest.
   */
  ByWorth,
};

} // namespace fireflytrail::configuration
