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
 * Moves a service to a new version within seconds. Runs on the daemon that
 * dispatches all requests of the service; decides the share of requests that
 * the new version gets, and whether the new version is good or bad.
 *
 * The share stays small until there is sufficient evidence that the version is
 * good, and then grows exponentially: too little evidence to call a version bad
 * is no reason to expose more callers to it. The share stops growing while the
 * recent requests do not speak for the version, or while it looks bad or has
 * too few instances. The new version is judged by failures and by slow
 * requests, over all routes together and for each route. It is compared with
 * the old version's requests of the same second, or with those of all seconds
 * so far if that second has too few.
 *
 * The new version is good once it gets all requests and no request runs at the
 * old version any more; the wait for the latter is limited. Without sufficient
 * evidence it is never judged good, because the old instances stop after that
 * verdict.
 *
 * `VersionMove` handles moves that take minutes and whose evidence is exchanged
 * between daemons. Performs no I/O. Not thread-safe.
 */
class VersionTrial
{
public:
  /** A finished request. */
  struct Observation
  {
    bool isNew = false;
    /**
     * Identifies the route. Route 0 is counted only in the sum over all routes.
     */
    std::uint64_t route = 0;
    /** Identifies the instance. */
    std::uint64_t instance = 0;
    bool isFailure = false;
    /**
     * Whether the request took much longer than usual. Absent for failures and
     * for requests to cold instances, which are slow for another reason.
     */
    std::optional<bool> isSlow;
  };

  /** Current state of the instances of both versions. */
  struct Capacity
  {
    /** Warm instances of each version that may get requests. */
    std::size_t newInstances = 0;
    std::size_t oldInstances = 0;
    /** Requests in flight at the old version. */
    std::size_t oldRequests = 0;
  };

  enum class Verdict : std::uint8_t
  {
    None,
    /** All requests go to the new version; the old instances may stop. */
    Good,
    /** The new version gets no more requests. Final. */
    Bad,
  };

  /**
   * `aBegin` is the time at which the move was requested, `aDuration`
   * (positive) the time within which it is to finish, and `aFirstShare` (above
   * 0 and below 1) the share before there is sufficient evidence.
   */
  VersionTrial(core::NowFunction aNow,
               core::TimePoint aBegin,
               std::chrono::milliseconds aDuration,
               double aFirstShare);

  /** Counts a finished request. */
  void Record(const Observation& aObservation);

  /**
   * Judges the evidence and updates the share; to be called several times a
   * second.
   */
  void Update(const Capacity& aCapacity);

  /** Returns the share of requests for the new version. */
  double Share() const;

  Verdict Result() const { return this->verdict; }

  /** Returns the figures behind the current state, for logs. */
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
  /** Whether the version looks bad, although too little for a verdict. */
  bool IsSuspicious() const;
  /**
   * Returns the logarithm of the likelihood ratio of a good version to a bad
   * one for one kind of event of the requests over all routes. It is limited,
   * so that a version which turns bad loses it within a few requests.
   */
  double GoodEvidence(RateComparison::Stratum Window::*aKind,
                      double aMinBadRate) const;
  /** Returns the lower evidence of failures and of slow requests. */
  double GoodEvidence() const;

  core::NowFunction now;
  core::TimePoint begin;
  std::chrono::milliseconds duration;
  double firstShare;
  /** Evidence by route; key 0 holds the sum over all routes. */
  std::map<std::uint64_t, Route> routes;
  /** Failures of the new version by instance. */
  std::map<std::uint64_t, unsigned> newFailuresByInstance;
  std::uint64_t newRequests = 0;
  double share;
  core::TimePoint updatedAt;
  std::optional<core::TimePoint> fullShareSince;
  double likelihoodRatio = 0;
  double goodEvidence = 0;
  Verdict verdict = Verdict::None;
};

} // namespace fireflytrail::moves
