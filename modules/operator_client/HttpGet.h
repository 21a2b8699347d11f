#pragma once

#include "core/Result.h"

#include <chrono>
#include <string>

namespace fireflytrail::operator_client {

/**
 * Sends a `GET` for `aTarget` to the HTTP server at `aAddress` (`IP:PORT`) and
 * returns the body of the response. Any status other than 200, a failed
 * connection and a time-out are errors. Blocks for at most `aTimeout`.
 * Thread-safe.
 */
core::Result<std::string>
HttpGet(const std::string& aAddress,
        const std::string& aTarget,
        std::chrono::milliseconds aTimeout);

} // namespace fireflytrail::operator_client
