#pragma once

#include "store/HostsResult.h"
#include "store/StoreResult.h"

#include <cstdint>
#include <functional>
#include <string>

namespace fireflytrail::operator_client {

/** Blocking operations on the store; `store::StoreClient` describes their
 * results. */
struct StoreAccess
{
  std::function<store::StoreResult(const std::string& aKey)> read;
  std::function<store::StoreResult(const std::string& aKey,
                                   const std::string& aBody,
                                   std::uint64_t aExpected)>
    write;
  std::function<store::StoreResult(const std::string& aKey,
                                   std::uint64_t aVersion)>
    watch;
  std::function<store::HostsResult()> hosts;
};

} // namespace fireflytrail::operator_client
