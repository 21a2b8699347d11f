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
 * Selects a server for a call by a policy. Each traffic thread has its own
 * selector. The selection path takes no lock and does not allocate.
 */
class ServerSelector
{
public:
  /** Name of the policy that daemons use. */
  static constexpr std::string_view kDefaultPolicy = "home_slots";

  /** What a policy may use for one decision. */
  struct Context
  {
    const ServiceRoute& service;
    const VersionRoute& version;
    std::span<const ServerLoad* const> tried;
    core::TimePoint now;
    const core::RandomFunction& random;
    /** Decisions taken so far by this selector. */
    std::uint64_t sequence;

    /** Whether the server at an index of the version may take the call. */
    bool Usable(std::size_t aIndex) const;

    /** Returns a random usable server by index, or nothing if there is none.
     * Takes constant time unless most servers are unusable. */
    std::optional<std::size_t> RandomUsable() const;
  };

  /** Returns the index within the version of the server to use, or nothing if
   * none may take the call. */
  using Policy = std::function<std::optional<std::size_t>(const Context&)>;

  /**
   * Makes a selector with the policy of the given name. Fails with
   * `ErrorKind::Internal` and the list of names if there is none.
   */
  static core::Result<ServerSelector> Make(std::string_view aPolicy,
                                           core::NowFunction aNow,
                                           core::RandomFunction aRandom);

  /** Returns the names of all policies, the default first. Thread-safe. */
  static std::span<const std::string_view> PolicyNames();

  /**
   * Selects and acquires a server of the service. First draws a version by
   * share. If it has no server that may take the call, a version with a larger
   * share takes its place, never one with a smaller share: a version on trial
   * must not get more than its share because the others are busy. Servers in
   * `aTried` (from earlier attempts of the same call) are left out. Returns
   * nothing if no server may take the call now.
   */
  std::optional<Selection> Select(
    const ServiceRoute& aService,
    std::span<const ServerLoad* const> aTried = {});

private:
  ServerSelector(Policy aPolicy,
                 core::NowFunction aNow,
                 core::RandomFunction aRandom);

  std::optional<Selection> SelectWithin(
    const ServiceRoute& aService,
    const VersionRoute& aVersion,
    core::TimePoint aNow,
    std::span<const ServerLoad* const> aTried);

  Policy policy;
  core::NowFunction now;
  core::RandomFunction random;
  std::uint64_t sequence = 0;
};

} // namespace fireflytrail::routing
