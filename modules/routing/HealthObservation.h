#pragma once

#include <cstdint>
#include <string>

namespace fireflytrail::routing {

/** Kind of a statement of one daemon about a server. */
enum class HealthEvidence : std::uint8_t
{
  /** Calls take far longer than usual or were lost. Counts once a second
   * daemon says so too. */
  Suspect,
  /** The server reported that it is cold or that it has restarted. */
  Cold,
  /** The server reported that it drains. */
  Draining,
  /** Asks the leader of the ramp for the concurrency. */
  Query,
  /** The concurrency of the whole fleet, from the host that leads the ramp. */
  Concurrency,
};

/**
 * What one daemon tells the others about a server. It is an urgent gossip
 * record: the others need it within some 10 ms. Losing one delays the others'
 * reaction but does not make it wrong.
 */
struct HealthObservation
{
  std::string serverId;
  HealthEvidence evidence = HealthEvidence::Suspect;
  /** With `Concurrency`: calls in flight that all daemons together may have;
   * `ServerHealth::kFull` if it is not restricted. */
  std::uint32_t concurrency = 0;
  /** Differs from the last one of the same daemon; 0 if not set. Gossip records
   * repeat observations, which must not count again. */
  std::uint64_t sequence = 0;

  bool operator==(const HealthObservation&) const = default;
};

} // namespace fireflytrail::routing
