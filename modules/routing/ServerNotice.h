#pragma once

#include <chrono>
#include <optional>

namespace fireflytrail::routing {

/** What a server states about itself in an answer, besides its load. */
struct ServerNotice
{
  /**
   * Requests a second that the server takes from all hosts together, 0 or
   * above; nothing if it names no limit.
   */
  std::optional<double> requestsPerSecond;
  /** Whether the server is leaving: it must get no further requests until its
   * process ends. */
  bool isLeaving = false;
  /** Time for which the server wants no requests; nothing if it names none. */
  std::optional<std::chrono::milliseconds> pause;

  bool operator==(const ServerNotice&) const = default;
};

} // namespace fireflytrail::routing
