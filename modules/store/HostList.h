#pragma once

#include "core/Result.h"
#include "store/HostEntry.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace fireflytrail::store {

/** The platform's list of live and leaving hosts. It may lag behind the actual
 * state. */
struct HostList
{
  /** Increases with each change of the list. */
  std::uint64_t version = 0;
  std::vector<HostEntry> hosts;

  /**
   * Parses the answer to `GET /hosts`. Unknown members are ignored, because the
   * platform may add some. The error names the first invalid member.
   * Thread-safe.
   */
  static core::Result<HostList> Parse(std::string_view aText);

  bool operator==(const HostList&) const = default;
};

} // namespace fireflytrail::store
