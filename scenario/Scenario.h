#pragma once

#include "scenario/World.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fireflytrail::scenario {

/** Executes one step of a script; runs at the time of the step. */
using StepFunction = std::function<void(World&)>;

/** Parses the fields of a step other than `at_ms` and `do`. */
using StepReader = std::function<StepFunction(World&, Fields&)>;

/** Computes the figure of an expectation from the record of a finished run. */
using ExpectationEvaluator = std::function<double(const World&, Fields&)>;

/** Returns the readers of all steps by name. Register new steps there. */
const std::map<std::string, StepReader>&
StepReaders();

/** Returns all expectations by name. Register new ones there. */
const std::map<std::string, ExpectationEvaluator>&
ExpectationEvaluators();

/**
 * Runs a script and returns the world at its end, without evaluating the
 * expectations of the script. Throws `std::exception` on an invalid script.
 */
std::unique_ptr<World>
SimulateScript(const boost::json::object& aScript, std::uint64_t aSeed);

/**
 * Runs a script and returns its result: the scenario's name, the seed, whether
 * it passed, and each expectation with its bound and figure. Throws
 * `std::exception` on an invalid script.
 */
boost::json::object
RunScenario(const boost::json::object& aScript, std::uint64_t aSeed);

} // namespace fireflytrail::scenario
