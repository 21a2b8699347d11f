#pragma once

/**
 * Loads, validates and runs state charts. The charts are JSON files in charts/
 * that are embedded in the program at build time. The module performs no I/O.
 */

#include "statechart/Chart.h"
#include "statechart/Machine.h"
