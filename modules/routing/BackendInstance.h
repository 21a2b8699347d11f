#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace fireflytrail::routing {

/** One running backend server, as service discovery describes it. */
struct BackendInstance
{
  /** Unique over all services. */
  std::string id;
  std::string service;
  std::string version;
  /** IP address and port. */
  std::string address;
  std::string failureDomain;
  /** Maximum number of concurrent requests; at least 1. */
  std::uint32_t slots = 1;
  /** Whether the instance accepts no new requests and is about to stop. */
  bool isDraining = false;
  /** Remaining time for which the instance is cold, at the time when its entry
   * was written. */
  std::chrono::milliseconds remainingColdTime{ 0 };
  /** Wall-clock start time of the process in milliseconds; 0 if unknown.
   * Distinguishes a process from an earlier one with the same id. */
  std::uint64_t startedAt = 0;

  bool operator==(const BackendInstance&) const = default;
};

} // namespace fireflytrail::routing
