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
  /** Running the call twice does no harm. Defaults to true for GET. */
  bool repeatable = false;
  /** The call needs a ticket and runs at most once. */
  bool atMostOnce = false;
  Priority priority = Priority::Normal;
  /** Upper bound of the deadline that a caller may give. */
  std::chrono::milliseconds deadline{ 2000 };

  bool operator==(const CallSettings&) const = default;
};

} // namespace fireflytrail::configuration
