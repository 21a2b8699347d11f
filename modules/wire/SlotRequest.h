#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflytrail::wire {

/** Asks the daemon that dispatches a service for an instance. */
struct SlotRequest
{
  /** Request number chosen by the sender, unique among its requests. */
  std::uint64_t number = 0;
  std::string service;
  /** Failure domain of the sender. */
  std::string failureDomain;
  /** Time left until the latency goal; a later answer has less value. */
  std::chrono::milliseconds goal{ 0 };
  /** Time left until the caller stops waiting. */
  std::chrono::milliseconds deadline{ 0 };
  unsigned priority = 0;
  /** Keys of the instances that have already been tried. */
  std::vector<std::uint64_t> avoid;
  /** See `calls::RequestDigest`. */
  std::uint64_t digest = 0;
  /** Identifies the route; 0 if it is irrelevant. */
  std::uint32_t route = 0;
  /** Expected size of the request and its answer. */
  std::uint32_t expectedBytes = 0;
  /** Key of the organisation that the request counts for; 0 if there is none.
   */
  std::uint64_t organisation = 0;

  bool operator==(const SlotRequest&) const = default;
};

} // namespace fireflytrail::wire
