#pragma once

#include <functional>
#include <string_view>

namespace fireflytrail::operator_client {

/** Functions that write one line each; the line is passed without a line break.
 */
struct CommandOutput
{
  std::function<void(std::string_view)> out;
  std::function<void(std::string_view)> error;
};

} // namespace fireflytrail::operator_client
