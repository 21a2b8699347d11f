#include "configuration/TextError.h"

#include <fmt/format.h>

namespace fireflytrail::configuration {

std::string
TextError::ToString() const
{
  if (this->path.empty()) {
    return fmt::format("line {}: {}", this->line, this->message);
  }
  return fmt::format("line {}: {}: {}", this->line, this->path, this->message);
}

} // namespace fireflytrail::configuration
