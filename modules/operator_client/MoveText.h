#pragma once

#include "configuration/Move.h"

#include <string>
#include <string_view>

namespace fireflytrail::operator_client {

/** Returns the name of a move's state for operators. Thread-safe. */
std::string_view
MoveStateName(configuration::MoveState aState);

/** Returns one line about a move: id, what, state, times. Thread-safe. */
std::string
DescribeMove(const configuration::Move& aMove);

} // namespace fireflytrail::operator_client
