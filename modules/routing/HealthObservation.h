#pragma once

#include <cstdint>
#include <string>

namespace fireflytrail::routing {

/** Kind of an observation that one daemon publishes about a server. */
enum class HealthObservationKind : std::uint8_t
{
  /** Calls took far longer than usual, failed or were lost. Except in a small
   * fleet, it takes effect only when a second daemon suspects the server too.
   */
  Suspect,
  /** The server reported that it is cold or that it has restarted. */
  Cold,
  /** The server reported that it is draining. */
  Draining,
  /** Asks the ramp leader of the server to publish the concurrency. */
  Query,
  /** Publishes the number of calls that all daemons together may have in flight
   * on the server. Sent by the ramp leader. */
  Concurrency,
};

/**
 * An observation about a server that one daemon publishes to the others. It is
 * sent as an urgent gossip record, since the others need it within some 10 ms.
 * A lost observation delays the reaction of the others but does not make it
 * incorrect.
 */
struct HealthObservation
{
  std::string serverId;
  HealthObservationKind kind = HealthObservationKind::Suspect;
  /** For `Concurrency`: the number of calls that all daemons together may have
   * in flight; `ServerHealth::kUnrestricted` if it is not restricted. */
  std::uint32_t concurrency = 0;
  /** Sequence number; differs between consecutive observations of one daemon.
   * Gossip records repeat observations; repeats are recognised by it and
   * ignored. 0 if not set. */
  std::uint64_t sequence = 0;

  bool operator==(const HealthObservation&) const = default;
};

} // namespace fireflytrail::routing
