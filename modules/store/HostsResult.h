#pragma once

#include "store/HostList.h"
#include "store/StoreStatus.h"

#include <string>

namespace fireflytrail::store {

/** Result of reading the host list. The list and its text are set only with
 * `Ok`. */
struct HostsResult
{
  StoreStatus status = StoreStatus::Unavailable;
  HostList list;
  /** The list as the platform sent it. */
  std::string text;
  /** For logs and operators: what failed. */
  std::string detail;
};

} // namespace fireflytrail::store
