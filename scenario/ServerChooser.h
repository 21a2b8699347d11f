#pragma once

#include "scenario/World.h"

#include <string>

namespace fireflytrail::scenario {

/**
 * Returns a server choice by policy name: `random`, `round_robin` or
 * `least_in_flight`. Throws `std::runtime_error` for another name.
 */
ChooseServerFunction
ServerChoice(World& aWorld, const std::string& aPolicy);

} // namespace fireflytrail::scenario
