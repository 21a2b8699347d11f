#pragma once

#include "core/Result.h"
#include "operator_client/NamedText.h"

#include <string>

namespace fireflytrail::operator_client {

/**
 * Returns the content of a file, or an error that names the file and the
 * reason. Thread-safe.
 */
core::Result<NamedText>
ReadTextFile(const std::string& aPath);

} // namespace fireflytrail::operator_client
