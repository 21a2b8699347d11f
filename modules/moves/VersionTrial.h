#pragma once

#include "core/Hooks.h"
#include "moves/RateComparison.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflytrail::moves {

/**
 * Moves a service to a version within seconds, as the daemon sees it that
 * dispatches all requests of the service: decides the share of requests that
 * the new version gets, and whether it is good or bad.
 *
 * The share stays small until the evidence suffices, then grows by the same
 * factor in equal times; it stops growing while the version looks bad. The new
 * version is judged by failures and by slow requests, over all routes and for
 * each route, against the old version's requests of the same second. It is good
 * when it has carried all requests and none runs at the old version any more.
 * Without enough evidence it is never good: the old instances stop then.
 *
 * `VersionMove` is for moves of minutes whose evidence daemons exchange.
 * Performs no I/O. Not thread-safe.
 */
class VersionTrial
{
public:
  /** A request that has ended. */
  struct Observation
  {
    bool isNew = false;
    /** Tells routes apart. */
    std::uint64_t route = 0;
    /** Tells instances apart. */
    std::uint64_t instance = 0;
    bool isFailure = false;
    /** Whether it took much longer than usual; absent for failures and for
     * requests to cold instances, which are slow for another reason. */
    std::optional<bool> isSlow;
  };

  /** What can be said of the instances now. */
  struct Capacity
  {
    /** Warm instances that may get requests, by version. */
    std::size_t newInstances = 0;
    std::size_t oldInstances = 0;
    /** Requests that run at the old version. */
    std::size_t oldRequests = 0;
  };

  enum class Verdict : std::uint8_t
  {
    None,
    /** All requests go to the new version; the old instances may stop. */
    Good,
    /** The new version gets no request any more. Final. */
    Bad,
  };

  /** `aBegin` is when the move was asked for, `aDuration` > 0 the time in which
   * it is to be done; `aFirstShare` (0 to 1) is the share without evidence. */
  VersionTrial(core::NowFunction aNow,
               core::TimePoint aBegin,
               std::chrono::milliseconds aDuration,
               double aFirstShare);

  /** Counts a request. */
  void Record(const Observation& aObservation);

  /** Judges and moves on; to be called several times a second. */
  void Update(const Capacity& aCapacity);

  /** Returns the share of requests for the new version. */
  double Share() const;

  Verdict Result() const { return this->verdict; }

  /** Returns the figures behind the state, for logs. */
  std::string Describe() const;

private:
  /** Requests and events of one second. */
  struct Window
  {
    std::uint64_t second = 0;
    RateComparison::Stratum failures;
    RateComparison::Stratum slow;
  };

  struct Route
  {
    std::vector<Window> windows;
  };

  static double LikelihoodRatioOf(const Route& aRoute,
                                  RateComparison::Stratum Window::*aKind);
  Window& CurrentWindow(Route& aRoute) const;
  void CountRequest(Route& aRoute,
                    const Observation& aObservation,
                    bool aIsFailureCounted);
  bool IsFailureCounted(const Observation& aObservation);
  double MaxLikelihoodRatio() const;

  core::NowFunction now;
  core::TimePoint begin;
  std::chrono::milliseconds duration;
  double firstShare;
  /** By route; all routes together under 0. */
  std::map<std::uint64_t, Route> routes;
  /** Failures of the new version by instance. */
  std::map<std::uint64_t, unsigned> newFailuresByInstance;
  std::uint64_t newRequests = 0;
  double share;
  core::TimePoint updatedAt;
  std::optional<core::TimePoint> fullShareSince;
  double likelihoodRatio = 0;
  Verdict verdict = Verdict::None;
};

} // namespace fireflytrail::moves
