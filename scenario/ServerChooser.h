#pragma once

#include "scenario/World.h"

#include <string>

namespace fireflytrail::scenario {

/**
 * Returns a function that chooses servers by a policy: `random`, `round_robin`
 * or `least_in_flight` (the better of two random servers). Throws
 * `std::runtime_error` for an unknown policy.
 */
ChooseServerFunction
MakeServerChooser(World& aWorld, const std::string& aPolicy);

} // namespace fireflytrail::scenario
