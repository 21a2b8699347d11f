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
  /** Requests that it processes at the same time; at least 1. */
  std::uint32_t slots = 1;
  /** It takes no new requests and will end. */
  bool isDraining = false;
  /** How much longer it is cold, when the entry was written. */
  std::chrono::milliseconds coldFor{ 0 };
  /** Start of the process in civil time, in milliseconds; 0 if unknown. Tells
   * a process from an earlier one with the same id. */
  std::uint64_t startedAt = 0;

  bool operator==(const BackendInstance&) const = default;
};

} // namespace fireflytrail::routing
