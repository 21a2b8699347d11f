#pragma once

#include "core/Hooks.h"
#include "core/Result.h"
#include "routing/Selection.h"
#include "routing/ServiceRoute.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

namespace fireflytrail::routing {

/**
 * Selects a server for a call according to a policy. Each traffic thread has
 * its own selector. `Select` takes no lock and does not allocate.
 */
class ServerSelector
{
public:
  /** Name of the policy that daemons use. */
  static constexpr std::string_view kDefaultPolicy = "home_slots";

  /** Input of a policy for one decision. */
  struct Context
  {
    const ServiceRoute& service;
    const VersionRoute& version;
    /** Servers of earlier attempts of the same call, which are excluded. */
    std::span<const ServerLoad* const> triedServers;
    core::TimePoint now;
    const core::RandomFunction& random;
    /** Number of decisions that this selector has made, this one included. */
    std::uint64_t sequence;

    /** Whether the server at `aIndex` of the version may get the call. The
     * result is random for a server with a weight below 1. */
    bool Usable(std::size_t aIndex) const;

    /** Returns the index of a random usable server, or nothing if there is
     * none. Takes constant time unless most servers are unusable. */
    std::optional<std::size_t> RandomUsable() const;
  };

  /** Returns the index within the version of the server to use, or nothing if
   * no server may get the call. */
  using Policy = std::function<std::optional<std::size_t>(const Context&)>;

  /**
   * Creates a selector with the policy named `aPolicy`. If there is no such
   * policy, fails with `ErrorKind::Internal` and a list of the policy names.
   */
  static core::Result<ServerSelector> Make(std::string_view aPolicy,
                                           core::NowFunction aNow,
                                           core::RandomFunction aRandom);

  /** Returns the names of all policies, the default first. Thread-safe. */
  static std::span<const std::string_view> PolicyNames();

  /**
   * Selects and acquires a server of the service. First draws a version at
   * random, weighted by share. If no server of that version may get the call, a
   * version with a larger share is used instead, never one with a smaller
   * share: a version on trial must not exceed its share because the other
   * versions are busy. Servers in `aTriedServers` (from earlier attempts of the
   * same call) are excluded. Returns nothing if no server may get the call now.
   */
  std::optional<Selection> Select(
    const ServiceRoute& aService,
    std::span<const ServerLoad* const> aTriedServers = {});

private:
  ServerSelector(Policy aPolicy,
                 core::NowFunction aNow,
                 core::RandomFunction aRandom);

  std::optional<Selection> SelectFromVersion(
    const ServiceRoute& aService,
    const VersionRoute& aVersion,
    core::TimePoint aNow,
    std::span<const ServerLoad* const> aTriedServers);

  Policy policy;
  core::NowFunction now;
  core::RandomFunction random;
  std::uint64_t sequence = 0;
};

} // namespace fireflytrail::routing
