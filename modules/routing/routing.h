#pragma once

/**
 * Server selection: load of each server as one daemon sees it, the routing
 * snapshot, selection policies, limits shared between hosts, server health and
 * warm-up ramps of cold servers, the measuring budget, connection pacing and
 * admission control. Depends on `core`. Performs no I/O; clock, random numbers
 * and outputs are injected as hooks.
 *
 * Traffic threads use `ServerSelector`, `Selection`, `AdmissionControl` and the
 * atomics of `ServerLoad` and `ServiceLoad`. Everything else is used by the
 * control thread only.
 */

#include "routing/AdmissionControl.h"
#include "routing/CallRoute.h"
#include "routing/ConnectionPacer.h"
#include "routing/HealthMonitor.h"
#include "routing/HealthObservation.h"
#include "routing/LoadReport.h"
#include "routing/MeasuringBudget.h"
#include "routing/RoutingTable.h"
#include "routing/RoutingTableBuilder.h"
#include "routing/Selection.h"
#include "routing/ServerHealth.h"
#include "routing/ServerIdentity.h"
#include "routing/ServerLoad.h"
#include "routing/ServerRoute.h"
#include "routing/ServerSelector.h"
#include "routing/ServerState.h"
#include "routing/ServiceActivity.h"
#include "routing/ServiceLoad.h"
#include "routing/ServiceRoute.h"
#include "routing/SharedLimit.h"
#include "routing/ShedController.h"
#include "routing/VersionRoute.h"
