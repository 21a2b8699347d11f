#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace fireflytrail::configuration {

/** Operators' settings for the servers of one service. */
struct BackendService
{
  std::string name;
  /** Path at which a server reports its load; empty if it reports none. */
  std::string healthPath;
  /** Connections that a server accepts from all entry hosts together. */
  std::uint32_t maxConnections = 0;
  /** Warm-up time: how long a server is cold after its start. */
  std::chrono::milliseconds coldTime{ 0 };
  /** Requests per second that a cold server can handle from all entry hosts
   * together. */
  double coldRequestsPerSecond = 0;

  bool operator==(const BackendService&) const = default;
};

} // namespace fireflytrail::configuration
