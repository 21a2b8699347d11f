#pragma once

#include <cstdint>
#include <string>

namespace fireflytrail::wire {

/** Asks for the changes of a kind that the sender misses. */
struct StoreNewsRequest
{
  std::string kind;
  /** Revision of the last change that is known; 0 asks for all objects. */
  std::uint64_t since = 0;

  bool operator==(const StoreNewsRequest&) const = default;
};

} // namespace fireflytrail::wire
