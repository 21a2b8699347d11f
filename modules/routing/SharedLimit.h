#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/**
 * Divides what a server can bear between the entry hosts without any message
 * between them: every host computes the same division from the same list of
 * hosts. Hosts whose lists differ may overlap; `ShareOf` bounds the overlap for
 * lists that are wrong by half.
 */
class SharedLimit
{
public:
  /**
   * Returns how many of `aTotal` units of a server this host may use. Each
   * host gets the whole part of an equal share; the remainder goes, one unit
   * each, to the hosts with the highest rendezvous weights for the server. The
   * sum over all hosts that use the same list is `aTotal`. `aSelf` is counted
   * as a host even if it is not listed. Thread-safe.
   */
  static std::uint32_t ShareOf(std::string_view aServerId,
                               std::uint32_t aTotal,
                               std::string_view aSelf,
                               std::span<const std::string> aHosts);

  /**
   * Like `ShareOf`, but keeps the sum at or under `aTotal` when every host
   * knows only about half of the others, in two halves that do not see each
   * other. Thread-safe.
   */
  static std::uint32_t CautiousShareOf(std::string_view aServerId,
                                       std::uint32_t aTotal,
                                       std::string_view aSelf,
                                       std::span<const std::string> aHosts);

  /**
   * Assigns the slots of the servers to hosts, so that each slot has one home
   * and each host is home to as many slots as any other, up to one. Rendezvous
   * hashing with bounded load: a server's slots go to its highest hosts that
   * are not full. Returns the slots of each server that `aSelf` is home to.
   * Thread-safe.
   */
  static std::vector<std::uint32_t> AssignHomeSlots(
    std::span<const std::string> aServerIds,
    std::uint32_t aSlots,
    std::string_view aSelf,
    std::span<const std::string> aHosts);
};

} // namespace fireflytrail::routing
