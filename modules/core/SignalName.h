#pragma once

#include <string_view>

namespace fireflytrail::core {

/** Returns the name of a signal that the daemon handles, such as `SIGTERM`, or
 * `unknown`. Safe in a signal handler. */
std::string_view
SignalName(int aSignal);

} // namespace fireflytrail::core
