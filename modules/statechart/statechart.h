#pragma once

/**
 * Loads, validates and runs state charts. The charts are JSON files in charts/
 * that are embedded in the program at build time. The module reads no files; it
 * logs an error and aborts if an embedded chart is invalid.
 */

#include "statechart/Chart.h"
#include "statechart/Machine.h"
