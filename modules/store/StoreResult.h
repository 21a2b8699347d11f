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
   * With `Conflict`, the winner's version. With `Unknown` and `Stale`, the
   * version that was seen, or 0.
   */
  StoredObject object;
  /** For logs and operators; empty with `Ok`. */
  std::string detail;
};

} // namespace fireflytrail::store
