#pragma once

#include <chrono>
#include <string>

namespace fireflytrail::standins {

/**
 * A fault of some calls. Empty selectors match every call; the route is a
 * prefix of the path.
 */
struct ServerFault
{
  std::string service;
  std::string version;
  std::string instance;
  std::string route;
  /** Share of the calls that run and then answer 500. */
  double failRatio = 0;
  /** Share of the calls whose answer is cut off in the middle. */
  double truncateRatio = 0;
  /** Factor on the service time. */
  double slowFactor = 1;
  /** Time from the setting of the fault until it shows. */
  std::chrono::milliseconds after{ 0 };
  /** The fault shows only with more calls than this in the instance. */
  unsigned aboveInFlight = 0;
  /** Failing calls answer at once instead of after the service time. */
  bool failsFast = false;
  std::chrono::steady_clock::time_point set;
};

} // namespace fireflytrail::standins
