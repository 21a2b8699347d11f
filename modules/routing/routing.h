#pragma once

/**
 * Server selection, in two forms:
 *
 * - `modules/daemon` selects servers on its traffic threads: `RoutingTable`,
 *   `ServerSelector` and `AdmissionControl`, with the load in `ServerLoad` and
 *   `ServiceLoad`. The control thread runs `HealthMonitor`, which ramps up cold
 *   servers and sets the limits that the hosts share;
 * - `modules/proxy` lets one daemon grant instances to the requests of all
 *   daemons: `ServiceDispatcher`, with the load in `InstanceLoad` and the
 *   instances in `ServiceDirectory`. All of it runs on the daemon's only
 *   thread.
 *
 * Depends on `core` and `configuration`. Performs no I/O; clock, random numbers
 * and outputs are injected as hooks.
 *
 * In the first form, traffic threads use `ServerSelector`, `Selection`,
 * `AdmissionControl` and the atomics of `ServerLoad` and `ServiceLoad`; the
 * control thread uses everything else.
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
#include "routing/ServerNotice.h"
#include "routing/ServerRoute.h"
#include "routing/ServerSelector.h"
#include "routing/ServerState.h"
#include "routing/ServiceActivity.h"
#include "routing/ServiceLoad.h"
#include "routing/ServiceRoute.h"
#include "routing/SharedLimit.h"
#include "routing/ShedController.h"
#include "routing/VersionRoute.h"
