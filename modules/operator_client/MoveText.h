#pragma once

#include "configuration/Move.h"

#include <string>
#include <string_view>

namespace fireflytrail::operator_client {

/** Returns the name of a move's state as shown to operators. Thread-safe. */
std::string_view
MoveStateName(configuration::MoveState aState);

/** Returns one line that describes a move: id, change, state, time and author
 * of the request, and reason of the state if there is one. Thread-safe. */
std::string
DescribeMove(const configuration::Move& aMove);

} // namespace fireflytrail::operator_client
