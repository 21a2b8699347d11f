#pragma once

#include <cstdint>
#include <string>

namespace fireflytrail::store {

/** An object of the platform's store and the version that it was read at. */
struct StoredObject
{
  std::string body;
  /** Starts at 1 and grows with each write of the object. */
  std::uint64_t version = 0;
};

} // namespace fireflytrail::store
