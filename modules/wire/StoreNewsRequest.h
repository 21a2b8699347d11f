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
  /** Whether all objects are requested, from a daemon that is known to have
   * read all up to `since` at least. */
  bool mustBeComplete = false;

  bool operator==(const StoreNewsRequest&) const = default;
};

} // namespace fireflytrail::wire
