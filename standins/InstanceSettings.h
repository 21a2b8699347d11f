#pragma once

#include <chrono>
#include <string>

namespace fireflytrail::standins {

/** Identity, capacity and costs of one backend server instance. */
struct InstanceSettings
{
  std::string id;
  std::string service;
  std::string version;
  std::string domain;
  std::string region;
  /** Maximum number of concurrent calls. */
  unsigned slots = 4;
  /** Maximum number of connections; further ones are closed immediately. */
  unsigned connections = 260;
  /** Maximum number of calls that wait for a slot; further calls are refused
   * as not run. */
  unsigned queueLimit = 32;
  std::chrono::microseconds serviceTime{ 2000 };
  /** Time for which each new connection occupies a slot. */
  std::chrono::microseconds connectCost{ 1000 };
  /** Time for which each `GET /load` occupies a slot. */
  std::chrono::microseconds probeCost{ 6000 };
  /** Warm-up time: time from a cold start until all slots are usable. */
  std::chrono::milliseconds warmTime{ 5000 };
  /** Time for which a cold instance is down after an overload; it then restarts
   * cold. */
  std::chrono::milliseconds fallOverTime{ 1000 };
  bool startsCold = false;
};

} // namespace fireflytrail::standins
