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

/** What a `RolloutDriver` needs from its daemon. All functions must be set. */
struct RolloutDriverHooks
{
  core::NowFunction now;
  /**
   * Returns whether this daemon dispatches the requests of a service for all
   * daemons.
   */
  std::function<bool(const std::string& aService)> isDispatching;
  /** Returns the counts of a service's instances and requests by version. */
  std::function<moves::VersionTrial::Capacity(const std::string& aService)>
    capacityOf;
  /**
   * Sets the share of a service's requests that goes to the version on trial.
   */
  std::function<void(const std::string& aService, double aShare)> setShare;
  /**
   * Writes the state of an order to the store, on condition that the order has
   * not changed there. The function is called once, after `write` has returned,
   * with the HTTP status, or with `std::nullopt` if there was no answer.
   */
  std::function<void(const routing::RolloutOrder&,
                     std::function<void(std::optional<unsigned>)>)>
    write;
  /** Called with a verdict, which must apply to this daemon from now on. */
  std::function<void(const routing::RolloutOrder&, const std::string& aWhy)>
    decided;
  /** Called with the result of a write; see `write`. */
  std::function<void(const routing::RolloutOrder&, std::optional<unsigned>)>
    written;
};

/**
 * Carries out the operators' orders to move services to other versions. The
 * daemon that dispatches the requests of a service runs the trial of the
 * version, since it sees all requests. It writes the state to the store, from
 * which all daemons read it. A daemon that takes over a trial starts with no
 * evidence and a small share.
 *
 * A bad version gets no requests from the moment of the verdict. A good version
 * is completed when the store has accepted the verdict. Performs no I/O. Not
 * thread-safe.
 */
class RolloutDriver
{
public:
  using Orders = std::map<std::string, routing::RolloutOrder, std::less<>>;

  /** Time between two calls of `Update` while there is an order. */
  static constexpr std::chrono::milliseconds kTickInterval{ 250 };

  /**
   * `aFirstShare` is the share of requests for a version without evidence,
   * above 0 and below 1.
   */
  RolloutDriver(RolloutDriverHooks aHooks, double aFirstShare);
  RolloutDriver(const RolloutDriver&) = delete;
  RolloutDriver& operator=(const RolloutDriver&) = delete;

  /**
   * Applies the current orders and advances their trials. Call when orders
   * change, and every `kTickInterval` while there is one.
   */
  void Update(const Orders& aOrders);

  /** Records how a request that this daemon dispatched has ended. */
  void OnRequestEnded(const routing::EndedRequest& aRequest);

private:
  /** The trial of an order that this daemon carries out, or the verdict on one
   * that it writes again. */
  struct Trial
  {
    routing::RolloutOrder order;
    moves::VersionTrial trial;
    /** Whether the verdict was reached before, and only has to be written
     * again. */
    bool isVerdictKnown = false;
    bool isWriting = false;
    unsigned failedWrites = 0;
    core::TimePoint nextWrite{};
  };

  /** Starts the trial of an order if this daemon is to carry it out, or to
   * write its verdict again. Returns null if not. */
  Trial* TryStart(const std::string& aService,
                  const routing::RolloutOrder& aOrder);
  void RemoveEndedTrials(const Orders& aOrders);
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
