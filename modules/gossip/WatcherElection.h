#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::gossip {

/**
 * Selects the daemons that watch the store: those with the highest rendezvous
 * weight among the daemons that are alive in the local view. While the views of
 * daemons differ there may be more watchers, which is harmless. The other
 * daemons read the store once a minute, so that a change is detected even if
 * all watchers fail silently.
 */
class WatcherElection
{
public:
  static constexpr std::size_t kWatcherCount = 3;

  /**
   * Returns the watchers among the names, highest weight first. Thread-safe.
   */
  static std::vector<std::string> Watchers(std::vector<std::string> aAlive);

  /** Whether a daemon is among the watchers. Thread-safe. */
  static bool IsWatcher(std::string_view aName,
                        const std::vector<std::string>& aAlive);

  /**
   * Returns the delay until the next read by a daemon that is not a watcher:
   * between 45 and 75 s, a minute on average. Thread-safe if `aRandom` is.
   */
  static std::chrono::milliseconds NextReadDelay(
    const core::RandomFunction& aRandom);
};

} // namespace fireflytrail::gossip
