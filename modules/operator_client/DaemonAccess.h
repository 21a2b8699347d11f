#pragma once

#include "core/Result.h"

#include <functional>
#include <string>

namespace fireflytrail::operator_client {

/**
 * Returns the body of a `GET` on the operator port of a daemon, for example
 * `/status` at `127.0.0.1:8002`.
 */
using DaemonAccess =
  std::function<core::Result<std::string>(const std::string& aAddress,
                                          const std::string& aTarget)>;

} // namespace fireflytrail::operator_client
