#pragma once

#include <chrono>
#include <cstdint>
#include <map>

namespace fireflytrail::routing {

/** Estimated durations of a kind of request at an instance. */
struct DurationEstimate
{
  /** Median. */
  std::chrono::nanoseconds typical{ 0 };
  /** Three quarters of the requests take no longer. */
  std::chrono::nanoseconds likely{ 0 };
  /** Time for which a request occupies a slot on average. */
  std::chrono::nanoseconds mean{ 0 };
};

/**
 * Learns how long the requests of a service take, in total and by route. It
 * answers this load pattern: routes with different work and different goals
 * share the instances of a service, so that one figure for all of them takes
 * requests for hopeless that are not, or the reverse.
 *
 * A route starts with the estimate of the service. The number of routes is
 * bounded; the one that was recorded least recently is dropped.
 *
 * Not thread-safe.
 */
class RouteDurations
{
public:
  static constexpr std::size_t kMaxRoutes = 64;

  /** `aInitial`, above 0, is assumed before the first duration. */
  explicit RouteDurations(std::chrono::nanoseconds aInitial);

  /** Records the duration of a request that was answered or timed out. Route 0
   * counts for the service only. */
  void Record(std::uint64_t aRoute, std::chrono::nanoseconds aDuration);

  /** Returns the estimate for a route, or that of the service if the route is
   * not known. All its values are above 0. */
  const DurationEstimate& Of(std::uint64_t aRoute) const;

  /** Returns the estimate over all routes. */
  const DurationEstimate& OfService() const { return this->service; }

  /** Returns the number of known routes, at most `kMaxRoutes`. */
  std::size_t RouteCount() const { return this->routes.size(); }

private:
  struct Route
  {
    DurationEstimate estimate;
    std::uint64_t count = 0;
    std::uint64_t lastRecord = 0;
  };

  void DropOldest();

  DurationEstimate service;
  std::map<std::uint64_t, Route> routes;
  std::uint64_t records = 0;
};

} // namespace fireflytrail::routing
