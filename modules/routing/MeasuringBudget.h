#pragma once

#include "core/Hooks.h"

#include <chrono>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::routing {

/**
 * Bounds the slot time of one server that is spent on measuring: probes and
 * connections opened only to measure. The budget holds for all hosts together
 * in each window of one second, without messages between them.
 *
 * Half of the budget is divided, so that the sum holds while each host knows
 * only half of the others. It is divided in units of the largest cost, since a
 * part of a measurement is of no use; if there are fewer units than hosts, the
 * first hosts in the rendezvous order of the server measure. Both kinds of
 * measurement share the units: with a division of its own for each kind, the
 * sums of both exceeded the budget by up to 45 % in the test with half of the
 * hosts unknown. Belongs to the control thread.
 */
class MeasuringBudget
{
public:
  /**
   * `aSlots` slots of which `aRatio` (0 to 1) may be used for measuring.
   * `aLargestCost` > 0 is the cost of the dearest kind of measurement. A new
   * budget grants nothing for `kSettlingTime`.
   */
  MeasuringBudget(std::string aServerId,
                  unsigned aSlots,
                  double aRatio,
                  std::chrono::microseconds aLargestCost,
                  std::string aSelf,
                  core::NowFunction aNow);

  /** Sets the hosts: the larger plausible list. */
  void SetHosts(std::vector<std::string> aHosts);

  /** Takes the cost of one measurement; returns whether it may be made. The
   * cost must be above 0 and at most the largest cost. */
  bool TryTake(std::chrono::microseconds aCost);

  /** Budget of all hosts together in each second. */
  std::chrono::microseconds Total() const { return this->total; }

  /** Time after the start or a longer pause in which a host learns of the
   * others before it measures; three exchanges of gossip. */
  static constexpr std::chrono::seconds kSettlingTime{ 3 };

private:
  struct Grant
  {
    core::TimePoint time;
    std::chrono::microseconds cost;
  };

  std::string serverId;
  std::string self;
  core::NowFunction now;
  std::vector<std::string> hosts;
  std::chrono::microseconds total;
  std::chrono::microseconds largestCost;
  core::TimePoint startedAt;
  std::deque<Grant> grants;
};

} // namespace fireflytrail::routing
