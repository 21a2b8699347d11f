#pragma once

#include "core/Hooks.h"
#include "moves/VersionTrial.h"
#include "routing/RolloutOrder.h"
#include "routing/ServiceDispatcher.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace fireflytrail::proxy {

/** The surroundings of a `RolloutDriver`. All functions must be set. */
struct RolloutDriverHooks
{
  core::NowFunction now;
  /** Whether this daemon dispatches the requests of a service for all. */
  std::function<bool(const std::string& aService)> isDispatching;
  /** Returns what can be said of a service's instances. */
  std::function<moves::VersionTrial::Capacity(const std::string& aService)>
    capacityOf;
  /** Sets the part of a service's requests for the version on trial. */
  std::function<void(const std::string& aService, double aShare)> setShare;
  /** Writes the state of an order to the store, if the order has not changed
   * there; the function is called once, later, with the HTTP status, or with
   * nothing if there was no answer. */
  std::function<void(const routing::RolloutOrder&,
                     std::function<void(std::optional<unsigned>)>)>
    write;
  /** Told of a verdict, which is in force here from now on. */
  std::function<void(const routing::RolloutOrder&, const std::string& aWhy)>
    decided;
  /** Told what became of a write. */
  std::function<void(const routing::RolloutOrder&, std::optional<unsigned>)>
    written;
};

/**
 * Carries out the operators' orders to move services to versions. For each
 * service, the daemon that dispatches its requests tries the version, since it
 * sees all requests; it writes the state to the store, from where all daemons
 * take it. A daemon that takes over begins with no evidence and a small share.
 *
 * A bad version gets no requests from the moment of the verdict, a good one is
 * completed when the store has accepted that. Performs no I/O. Not thread-safe.
 */
class RolloutDriver
{
public:
  using Orders = std::map<std::string, routing::RolloutOrder, std::less<>>;

  /** Time between two calls of `Update` while there is an order. */
  static constexpr std::chrono::milliseconds kTickInterval{ 250 };

  /** `aFirstShare` (0 to 1) is the share of a version without evidence. */
  RolloutDriver(RolloutDriverHooks aHooks, double aFirstShare);
  RolloutDriver(const RolloutDriver&) = delete;
  RolloutDriver& operator=(const RolloutDriver&) = delete;

  /** Takes the orders that are known, and moves on. Call when they change, and
   * every `kTickInterval` while there is one. */
  void Update(const Orders& aOrders);

  /** Takes how a request has ended that this daemon dispatched. */
  void OnEnded(const routing::EndedRequest& aRequest);

private:
  /** One order that this daemon carries out. */
  struct Trial
  {
    routing::RolloutOrder order;
    moves::VersionTrial trial;
    bool isWriting = false;
    unsigned failedWrites = 0;
    core::TimePoint nextWrite{};
  };

  void EndTrials(const Orders& aOrders);
  void Advance(const std::string& aService, Trial& aTrial);
  void Write(const std::string& aService, Trial& aTrial);
  void OnWritten(const std::string& aService,
                 const routing::RolloutOrder& aOrder,
                 std::optional<unsigned> aStatus);

  RolloutDriverHooks hooks;
  double firstShare;
  std::map<std::string, Trial, std::less<>> trials;
};

} // namespace fireflytrail::proxy
