#pragma once

#include <chrono>
#include <string>

namespace fireflytrail::standins {

/**
 * A fault injected into selected calls. Empty selectors match every call;
 * `route` is a prefix of the path.
 */
struct ServerFault
{
  std::string service;
  std::string version;
  std::string instance;
  std::string route;
  /** Fraction of the calls that run and then answer 500. */
  double failRatio = 0;
  /** Fraction of the calls whose answer is truncated after half of the body. */
  double truncateRatio = 0;
  /** Multiplier of the service time of all selected calls. */
  double slowFactor = 1;
  /** Delay from `activatedAt` until the fault takes effect. */
  std::chrono::milliseconds after{ 0 };
  /** The fault affects a call only if the instance then has more calls in
   * flight than this, including the call itself. */
  unsigned aboveInFlight = 0;
  /** Failing calls answer immediately instead of after the service time. */
  bool failsFast = false;
  std::chrono::steady_clock::time_point activatedAt;
};

} // namespace fireflytrail::standins
