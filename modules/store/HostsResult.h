#pragma once

#include "store/HostList.h"
#include "store/StoreStatus.h"

#include <string>

namespace fireflytrail::store {

/** Result of reading the host list. The list is set with `Ok` only. */
struct HostsResult
{
  StoreStatus status = StoreStatus::Unavailable;
  HostList list;
  std::string detail;
};

} // namespace fireflytrail::store
