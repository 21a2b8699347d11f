#pragma once

#include <cstdint>
#include <string>

namespace fireflytrail::wire {

/** Requests the changes that the sender lacks of one kind of store object. */
struct StoreNewsRequest
{
  std::string kind;
  /** Revision of the last change that the sender knows; 0 for all objects. */
  std::uint64_t since = 0;

  bool operator==(const StoreNewsRequest&) const = default;
};

} // namespace fireflytrail::wire
