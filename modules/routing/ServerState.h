#pragma once

#include <cstdint>
#include <string_view>

namespace fireflytrail::routing {

/** State of a server as the daemon sees it; the states of chart `server`. */
enum class ServerState : std::uint8_t
{
  /** Takes no more calls of all daemons together than it is known to bear. */
  Cold,
  Ready,
  /** Finishes its calls and gets no new ones. */
  Draining,
  /** Ends most calls with errors; gets single calls to see if it recovers. */
  FailingFast,
  /** Not in the platform's host list. */
  Gone,
};

/** Returns the name of a state as in the chart and in dumps. Thread-safe. */
constexpr std::string_view
NameOf(ServerState aState)
{
  switch (aState) {
    case ServerState::Cold:
      return "cold";
    case ServerState::Ready:
      return "ready";
    case ServerState::Draining:
      return "draining";
    case ServerState::FailingFast:
      return "failing_fast";
    case ServerState::Gone:
      break;
  }
  return "gone";
}

} // namespace fireflytrail::routing
