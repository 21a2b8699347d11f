#pragma once

#include "core/Result.h"

#include <functional>
#include <string>

namespace fireflytrail::operator_client {

/**
 * Sends an HTTP `GET` for `aTarget`, for example `/status`, to the operator
 * port of the daemon at `aAddress`, for example `127.0.0.1:8002`, and returns
 * the body of the response.
 */
using DaemonAccess =
  std::function<core::Result<std::string>(const std::string& aAddress,
                                          const std::string& aTarget)>;

} // namespace fireflytrail::operator_client
