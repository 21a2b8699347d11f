#pragma once

#include <functional>
#include <string_view>

namespace fireflytrail::operator_client {

/** Where a command writes its lines, without line breaks. */
struct CommandOutput
{
  std::function<void(std::string_view)> out;
  std::function<void(std::string_view)> error;
};

} // namespace fireflytrail::operator_client
