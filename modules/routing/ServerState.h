#pragma once

#include <cstdint>
#include <string_view>

namespace fireflytrail::routing {

/** State of a server from the point of view of this daemon. The state chart is
 * `charts/server.json`. */
enum class ServerState : std::uint8_t
{
  /** Gets no more calls, from all daemons together, than it has been shown to
   * handle. */
  Cold,
  Ready,
  /** Finishes the calls in flight and gets no new ones. */
  Draining,
  /** Fails most calls; gets single calls that test whether it has recovered. */
  FailingFast,
  /** Not in the platform's host list. */
  Gone,
};

/** Returns the name of a state as used in state dumps. Thread-safe. */
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
