#pragma once

#include "configuration/Priority.h"

#include <chrono>
#include <string>

namespace fireflytrail::configuration {

/** One call that a service offers. */
struct CallSettings
{
  std::string name;
  std::string method;
  /** Path below the service, starting with a slash; matched exactly. */
  std::string path;
  /** Whether the call may safely be run more than once. Defaults to true for
   * GET unless the call runs at most once. */
  bool repeatable = false;
  /** Whether the call needs a ticket and runs at most once. */
  bool atMostOnce = false;
  Priority priority = Priority::Normal;
  /** Maximum deadline that a caller may request. */
  std::chrono::milliseconds deadline{ 2000 };

  bool operator==(const CallSettings&) const = default;
};

} // namespace fireflytrail::configuration
