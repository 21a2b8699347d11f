#pragma once

/**
 * The usage of organisations, reported to the platform once for each window of
 * time. `UsageCounters` counts the requests that servers began to run,
 * `UsageLedger` holds the counters of many daemons, `FleetClock` corrects the
 * time of day, and `ReportDuty` holds the lease under which one daemon fixes
 * and sends the figures. Nothing here performs I/O. See docs/design/usage.md.
 */

#include "usage/DutyState.h"
#include "usage/Figures.h"
#include "usage/FleetClock.h"
#include "usage/ReportDuty.h"
#include "usage/ReportDutyHooks.h"
#include "usage/ReportDutySettings.h"
#include "usage/UsageCounters.h"
#include "usage/UsageLedger.h"
#include "usage/WindowTimes.h"
