#pragma once

#include <chrono>
#include <string>

namespace fireflytrail::standins {

/** What one backend server instance is and how much it can take. */
struct InstanceSettings
{
  std::string id;
  std::string service;
  std::string version;
  std::string domain;
  std::string region;
  /** Calls that run at the same time. */
  unsigned slots = 4;
  /** Connections above this number are closed at once. */
  unsigned connections = 260;
  /** Calls that wait for a slot; more are refused as not run. */
  unsigned queueLimit = 32;
  std::chrono::microseconds serviceTime{ 2000 };
  /** Slot time that each new connection costs. */
  std::chrono::microseconds connectCost{ 1000 };
  /** Slot time that each `GET /load` costs. */
  std::chrono::microseconds probeCost{ 6000 };
  /** Time after a cold start until all slots can be used. */
  std::chrono::milliseconds warmTime{ 5000 };
  /** Time until an instance that fell over is back, cold. */
  std::chrono::milliseconds fallOverTime{ 1000 };
  bool startsCold = false;
};

} // namespace fireflytrail::standins
