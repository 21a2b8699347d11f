#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflytrail::wire {

/** Asks the daemon that dispatches a service for an instance. */
struct SlotRequest
{
  /** Chosen by the sender, unique among its requests. */
  std::uint64_t number = 0;
  std::string service;
  /** Failure domain of the sender. */
  std::string failureDomain;
  /** Time in which an answer has its full value. */
  std::chrono::milliseconds goal{ 0 };
  /** Time for which the caller waits. */
  std::chrono::milliseconds deadline{ 0 };
  unsigned priority = 0;
  /** Keys of the instances that were tried. */
  std::vector<std::uint64_t> avoid;
  /** See `calls::RequestDigest`. */
  std::uint64_t digest = 0;
  /** Tells routes apart; 0 if it does not matter. */
  std::uint32_t route = 0;
  /** Expected size of the request and its answer. */
  std::uint32_t expectedBytes = 0;

  bool operator==(const SlotRequest&) const = default;
};

} // namespace fireflytrail::wire
