#pragma once

#include <string_view>
#include <vector>

namespace fireflytrail::operator_client {

/** Names of the gflags flags that a subcommand accepts. */
using FlagSet = std::vector<std::string_view>;

} // namespace fireflytrail::operator_client
