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
 * Limits the slot time of one server that is spent on measurements, which are
 * probes and connections opened only to measure. The budget holds for all hosts
 * together in each window of one second, without messages between the hosts.
 *
 * Only half of the budget is divided among the hosts, so that the budget still
 * holds while each host knows only half of the others. It is divided in units
 * of the largest cost, since a fraction of a measurement is useless. If there
 * are fewer units than hosts, only the first hosts in the rendezvous order of
 * the server measure. Both kinds of measurement draw from the same units: with
 * a separate division for each kind, both together exceeded the budget by up to
 * 45 % in the test with half of the hosts unknown. Used by the control thread
 * only.
 */
class MeasuringBudget
{
public:
  /**
   * The share `aRatio` (0 to 1) of the time of `aSlots` > 0 slots may be used
   * for measurements. `aLargestCost` > 0 is the slot time of the most expensive
   * kind of measurement. A new budget grants nothing for `kSettlingTime`.
   */
  MeasuringBudget(std::string aServerId,
                  unsigned aSlots,
                  double aRatio,
                  std::chrono::microseconds aLargestCost,
                  std::string aSelf,
                  core::NowFunction aNow);

  /** Sets the hosts that share the budget. While it is uncertain whether a host
   * is alive, the list must include it. */
  void SetHosts(std::vector<std::string> aHosts);

  /** Returns whether a measurement of cost `aCost` may be made now, and if so
   * charges it to the budget. The cost must be above 0 and at most the largest
   * cost. */
  bool TrySpend(std::chrono::microseconds aCost);

  /** Returns the slot time that all hosts together may use in each second. */
  std::chrono::microseconds TotalPerSecond() const
  {
    return this->totalPerSecond;
  }

  /** Time after construction in which a host does not measure. It allows for
   * three gossip exchanges, in which the host discovers the others. */
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
  std::chrono::microseconds totalPerSecond;
  std::chrono::microseconds largestCost;
  core::TimePoint startedAt;
  std::deque<Grant> grants;
};

} // namespace fireflytrail::routing
