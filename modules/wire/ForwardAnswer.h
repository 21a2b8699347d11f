#pragma once

#include "core/ErrorKind.h"
#include "core/ErrorTable.h"
#include "wire/Header.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflytrail::wire {

/** Answer to a `ForwardCall`. */
struct ForwardAnswer
{
  std::uint64_t requestId = 0;
  std::uint32_t status = 0;
  std::vector<Header> headers;
  std::string body;
  core::ErrorKind errorKind = core::ErrorKind::None;
  core::CallOutcome outcome = core::CallOutcome::Unknown;

  bool operator==(const ForwardAnswer&) const = default;
};

} // namespace fireflytrail::wire
