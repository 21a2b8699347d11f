#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace fireflytrail::gossip {

/**
 * Rates of the gossip part. The defaults keep one daemon within 4 KB a second,
 * sent and received, from 19 to 100 hosts; see docs/membership.md.
 */
struct GossipSettings
{
  std::chrono::milliseconds exchangeInterval{ 1000 };
  /**
   * An exchange costs about 24 bytes a host at each of its two ends. Above 40
   * hosts this makes the interval grow, so that bytes a second stay constant.
   */
  std::chrono::milliseconds exchangeIntervalPerHost{ 25 };
  /** Received bytes a second of the paced records of all hosts together. */
  double pacedBytesPerSecond = 400;
  /** Added to it for each host below 40, where digests leave more room. */
  double pacedBytesPerHostBelow40 = 22;
  /** Sent bytes a second of records; must exceed the paced bytes. */
  double recordBytesPerSecond = 1200;
  /** Whole documents that a daemon sends before it refers to others. */
  std::size_t documentServeLimit = 2;
  /** Whether documents are sent as differences where possible. */
  bool sendsPatches = true;

  /** Returns the time between two exchanges of one daemon. */
  std::chrono::milliseconds IntervalFor(std::size_t aHostCount) const
  {
    return std::max(this->exchangeInterval,
                    std::chrono::milliseconds(
                      this->exchangeIntervalPerHost.count() *
                      static_cast<std::chrono::milliseconds::rep>(aHostCount)));
  }

  /** Returns the rate of the paced records of all hosts together. */
  double PacedRateFor(std::size_t aHostCount) const
  {
    return this->pacedBytesPerSecond +
           this->pacedBytesPerHostBelow40 *
             std::max(0.0, 40.0 - static_cast<double>(aHostCount));
  }
};

} // namespace fireflytrail::gossip
