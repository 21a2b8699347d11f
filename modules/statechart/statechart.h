#pragma once

/**
 * Loads, checks and interprets state charts. The charts are JSON files in
 * charts/ that are embedded in the program. The module performs no I/O.
 */

#include "statechart/Chart.h"
#include "statechart/Machine.h"
