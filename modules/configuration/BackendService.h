#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace fireflytrail::configuration {

/** What operators define about the servers of one service. */
struct BackendService
{
  std::string name;
  /** Path at which a server tells its load; empty if it does not. */
  std::string healthPath;
  /** Connections that a server accepts from all entry hosts together. */
  std::uint32_t maxConnections = 0;
  /** Time for which a server is cold after its start. */
  std::chrono::milliseconds coldTime{ 0 };
  /** Requests a second that a cold server bears from all hosts together. */
  double coldRequestsPerSecond = 0;

  bool operator==(const BackendService&) const = default;
};

} // namespace fireflytrail::configuration
