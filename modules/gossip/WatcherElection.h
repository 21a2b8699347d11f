#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::gossip {

/**
 * Chooses the daemons that watch the store: the first by rendezvous hash among
 * those believed alive. While views differ there may be more, which is
 * harmless. The others read once a minute, so that a change is seen even if
 * all watchers fail silently.
 */
class WatcherElection
{
public:
  static constexpr std::size_t kWatcherCount = 3;

  /** Returns the watchers among the names, first by weight. Thread-safe. */
  static std::vector<std::string> Watchers(std::vector<std::string> aAlive);

  /** Whether a daemon is among the watchers. Thread-safe. */
  static bool IsWatcher(std::string_view aName,
                        const std::vector<std::string>& aAlive);

  /**
   * Returns the time to the next read of a daemon that does not watch:
   * a minute on average, between 45 and 75 s. Thread-safe if `aRandom` is.
   */
  static std::chrono::milliseconds NextReadDelay(
    const core::RandomFunction& aRandom);
};

} // namespace fireflytrail::gossip
