#pragma once

#include "core/Hooks.h"
#include "moves/EvidenceWindow.h"

#include <functional>
#include <optional>
#include <string_view>

namespace fireflytrail::moves {

/**
 * Decides when a daemon gives its evidence of one move to gossip: regularly at
 * the pace that the byte budget allows, and at once with the last state of each
 * window and while a route looks bad. All states go under one key, since other
 * daemons keep the earlier windows.
 */
class EvidencePublisher
{
public:
  /** Connections to gossip; neither may be empty. */
  struct Hooks
  {
    core::NowFunction now;
    /** Offers a value; gossip takes the newest when its budget allows. */
    std::function<void(std::string_view)> publishPaced;
    /** Pushes a value to all daemons at once. */
    std::function<void(std::string_view)> publishUrgent;
  };

  /** Makes a publisher for one move. */
  explicit EvidencePublisher(Hooks aHooks);

  /**
   * Offers the daemon's own counters; to be called several times a second.
   * `aPrevious` is the window before `aCurrent`, whose last calls may have come
   * since. `aIsSuspicious` is `VersionMove::IsSuspicious`. Not thread-safe.
   */
  void Update(const EvidenceWindow& aPrevious,
              const EvidenceWindow& aCurrent,
              bool aIsSuspicious);

private:
  Hooks hooks;
  std::optional<std::size_t> window;
  std::uint64_t sequence = 0;
  core::TimePoint nextPush;
};

} // namespace fireflytrail::moves
