#pragma once

#include <cstdint>
#include <string>

namespace fireflytrail::store {

/** An object in the platform's store and its version when it was read. */
struct StoredObject
{
  std::string body;
  /** Starts at 1 and increases with each write of the object. */
  std::uint64_t version = 0;
};

} // namespace fireflytrail::store
