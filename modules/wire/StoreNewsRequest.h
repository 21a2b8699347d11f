#pragma once

#include <string>
#include <vector>

namespace fireflytrail::wire {

/** Asks for all objects of some kinds. */
struct StoreNewsRequest
{
  std::vector<std::string> kinds;

  bool operator==(const StoreNewsRequest&) const = default;
};

} // namespace fireflytrail::wire
