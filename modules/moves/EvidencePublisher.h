#pragma once

#include "core/Hooks.h"
#include "moves/EvidenceWindow.h"

#include <functional>
#include <optional>
#include <string_view>

namespace fireflytrail::moves {

/**
 * Decides when a daemon publishes its evidence for one move by gossip:
 * regularly, at the rate that the byte budget allows, and immediately for the
 * last snapshot of each window and, at a bounded rate, while a route looks bad.
 * All snapshots use one record key, because the other daemons keep the earlier
 * windows.
 */
class EvidencePublisher
{
public:
  /** Clock and outputs to gossip; none may be empty. */
  struct Hooks
  {
    core::NowFunction now;
    /**
     * Offers a value; gossip sends the newest one when its byte budget allows.
     */
    std::function<void(std::string_view)> publishPaced;
    /** Pushes a value to all daemons immediately. */
    std::function<void(std::string_view)> publishUrgent;
  };

  /** Creates a publisher for one move. */
  explicit EvidencePublisher(Hooks aHooks);

  /**
   * Publishes the daemon's own counters when due; to be called several times a
   * second. `aPrevious` is the window before `aCurrent`; its last calls may
   * have finished since the last update. `aIsSuspicious` is the result of
   * `VersionMove::IsSuspicious`. Not thread-safe.
   */
  void Update(const EvidenceWindow& aPrevious,
              const EvidenceWindow& aCurrent,
              bool aIsSuspicious);

private:
  Hooks hooks;
  /** Window of the last update. */
  std::optional<std::size_t> window;
  /** Sequence number of the last snapshot of that window that was published. */
  std::uint64_t sequence = 0;
  core::TimePoint nextPush;
};

} // namespace fireflytrail::moves
