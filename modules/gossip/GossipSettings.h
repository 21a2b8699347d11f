#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace fireflytrail::gossip {

/**
 * Rates and limits of the gossip protocol. With the defaults, one daemon sends
 * and receives at most 4 KB a second in total in fleets of 19 to 100 hosts; see
 * docs/membership.md.
 */
struct GossipSettings
{
  std::chrono::milliseconds exchangeInterval{ 1000 };
  /**
   * The interval is at least this time multiplied by the number of known hosts.
   * An exchange costs each of its two daemons about 24 bytes per host; above 40
   * hosts the interval therefore grows with the fleet, so that the bytes a
   * second stay constant.
   */
  std::chrono::milliseconds exchangeIntervalPerHost{ 25 };
  /**
   * Limit on the paced records of all hosts together, in bytes a second.
   */
  double pacedBytesPerSecond = 400;
  /**
   * Added to `pacedBytesPerSecond` for each host below 40, since smaller
   * digests leave more of the byte budget for records.
   */
  double pacedBytesPerHostBelow40 = 22;
  /**
   * Bytes a second of records that a daemon may send; must exceed the rate of
   * the paced records.
   */
  double recordBytesPerSecond = 1200;
  /**
   * Number of peers that a daemon sends a whole document to before it refers
   * further ones to them.
   */
  std::size_t documentServeLimit = 2;
  /** Whether documents are sent as patches where possible. */
  bool sendsPatches = true;

  /** Bytes of records that a daemon may send in a burst. */
  double recordBytesBurst = 16.0 * 1024;

  /** Returns the time between two exchanges of one daemon. */
  std::chrono::milliseconds IntervalFor(std::size_t aHostCount) const
  {
    return std::max(this->exchangeInterval,
                    std::chrono::milliseconds(
                      this->exchangeIntervalPerHost.count() *
                      static_cast<std::chrono::milliseconds::rep>(aHostCount)));
  }

  /** Returns the rate of all hosts' paced records in bytes a second. */
  double PacedRateFor(std::size_t aHostCount) const
  {
    return this->pacedBytesPerSecond +
           this->pacedBytesPerHostBelow40 *
             std::max(0.0, 40.0 - static_cast<double>(aHostCount));
  }
};

} // namespace fireflytrail::gossip
