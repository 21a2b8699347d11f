#pragma once

#include <string>
#include <vector>

namespace fireflytrail::configuration {

/** Operators' settings for the callers that belong to one organisation. */
struct Organisation
{
  std::string name;
  /** The keys that its callers present; secret, so never logged. */
  std::vector<std::string> keys;
  /** Goes before the priority of a request's route; 0 is the highest. */
  unsigned priority = 0;

  bool operator==(const Organisation&) const = default;
};

} // namespace fireflytrail::configuration
