#pragma once

#include "core/Result.h"

#include <chrono>
#include <string>

namespace fireflytrail::operator_client {

/**
 * Returns the body of a `GET` at `IP:PORT`. Any status but 200, a connection
 * that fails and an answer that takes too long are errors. Blocks at most for
 * `aTimeout`. Thread-safe.
 */
core::Result<std::string>
HttpGet(const std::string& aAddress,
        const std::string& aTarget,
        std::chrono::milliseconds aTimeout);

} // namespace fireflytrail::operator_client
