#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace fireflytrail::gossip {

/**
 * Returns the time between two exchanges of one daemon. One exchange costs
 * about 24 bytes a host at each of its two ends. Up to 40 hosts there is one a
 * second; above, the interval grows with the number of hosts, which keeps the
 * bytes a second constant.
 */
constexpr std::chrono::milliseconds
ExchangeInterval(std::size_t aHostCount)
{
  return std::max(std::chrono::milliseconds(1000),
                  std::chrono::milliseconds(25 * aHostCount));
}

} // namespace fireflytrail::gossip
