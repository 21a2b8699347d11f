#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace fireflytrail::usage {

/** Number of a window of true time: window k begins k times the window's length
 * after the epoch. */
using WindowNumber = std::uint64_t;

/** Requests that servers began to run, by the name of the organisation. */
using Figures = std::map<std::string, std::uint64_t, std::less<>>;

} // namespace fireflytrail::usage
