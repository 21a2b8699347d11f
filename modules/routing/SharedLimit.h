#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/**
 * Divides the capacity of a server among the entry hosts without messages
 * between them: every host computes the same division from the same list of
 * hosts. If the lists of the hosts differ, the shares may add up to more than
 * the total; `ConservativeShareOf` prevents this while the hosts are split into
 * two halves that do not know each other.
 */
class SharedLimit
{
public:
  /**
   * Returns how many of `aTotal` units of a server this host may use. Each host
   * gets an equal share, rounded down; the remaining units go, one each, to the
   * hosts with the highest rendezvous weights for the server. The sum over all
   * hosts that use the same list is `aTotal`. `aSelf` counts as a host even if
   * it is not listed. Thread-safe.
   */
  static std::uint32_t ShareOf(std::string_view aServerId,
                               std::uint32_t aTotal,
                               std::string_view aSelf,
                               std::span<const std::string> aHosts);

  /**
   * Like `ShareOf`, but the sum over all hosts is at most `aTotal` even if the
   * hosts are split into two halves and each host knows only its own half.
   * Thread-safe.
   */
  static std::uint32_t ConservativeShareOf(std::string_view aServerId,
                                           std::uint32_t aTotal,
                                           std::string_view aSelf,
                                           std::span<const std::string> aHosts);

  /**
   * Assigns each slot of the servers to one host, its home host, so that the
   * numbers of slots of any two hosts differ by at most one. Uses rendezvous
   * hashing with bounded loads: the slots of a server go to the hosts with the
   * highest weights for it that have not reached their bound. Returns, for each
   * server, the number of slots that are assigned to `aSelf`, its home slots.
   * Thread-safe.
   */
  static std::vector<std::uint32_t> AssignHomeSlots(
    std::span<const std::string> aServerIds,
    std::uint32_t aSlots,
    std::string_view aSelf,
    std::span<const std::string> aHosts);
};

} // namespace fireflytrail::routing
