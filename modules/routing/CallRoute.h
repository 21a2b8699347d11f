#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace fireflytrail::routing {

/** Importance of a call, most important first. Under overload, the least
 * important calls are shed first. */
enum class Priority : std::uint8_t
{
  Urgent,
  Normal,
  Low,
};

/** One kind of call of a service, as the operators' text defines it. */
struct CallRoute
{
  std::string name;
  std::string method;
  std::string path;
  bool atMostOnce = false;
  /** Whether the call may be run twice without harm. */
  bool repeatable = false;
  Priority priority = Priority::Normal;
  std::chrono::milliseconds deadline{ 0 };
};

} // namespace fireflytrail::routing
