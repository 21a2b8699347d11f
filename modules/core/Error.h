#pragma once

#include "core/ErrorKind.h"

#include <string>

namespace fireflytrail::core {

/** An error kind with a detail for logs and operators. */
struct Error
{
  ErrorKind kind = ErrorKind::Internal;
  std::string detail;
};

} // namespace fireflytrail::core
