#pragma once

#include "store/StoreStatus.h"
#include "store/StoredObject.h"

#include <string>

namespace fireflytrail::store {

/** Result of a read, a watch or a write. */
struct StoreResult
{
  StoreStatus status = StoreStatus::Unavailable;
  /**
   * With `Ok`, the object, or for a write its new version without a body.
   * With `Conflict`, the version that another client wrote. With `Unknown` and
   * `Stale`, the version that the store returned, or 0.
   */
  StoredObject object;
  /** For logs and operators; empty with `Ok`. */
  std::string detail;
};

} // namespace fireflytrail::store
