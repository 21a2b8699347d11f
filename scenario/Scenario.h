#pragma once

#include "scenario/World.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fireflytrail::scenario {

/** Carries out one step of a script at its time. */
using StepFunction = std::function<void(World&)>;

/** Reads the fields of a step; `at_ms` and `do` have been read. */
using StepReader = std::function<StepFunction(World&, Fields&)>;

/** Returns the figure of an expectation from the record of a run. */
using ExpectationEvaluator = std::function<double(const World&, Fields&)>;

/** Returns the readers of all steps by name. Add new steps there. */
const std::map<std::string, StepReader>&
StepReaders();

/** Returns the readers of all expectations by name. Add new ones there. */
const std::map<std::string, ExpectationEvaluator>&
ExpectationEvaluators();

/**
 * Runs a script and returns the world at its end, for other judgements than
 * the script's own. Throws `std::exception` on a faulty script.
 */
std::unique_ptr<World>
SimulateScript(const boost::json::object& aScript, std::uint64_t aSeed);

/**
 * Runs a script and returns scenario, seed, passed and each expectation with
 * its bound and figure. Throws `std::exception` on a faulty script.
 */
boost::json::object
RunScenario(const boost::json::object& aScript, std::uint64_t aSeed);

} // namespace fireflytrail::scenario
