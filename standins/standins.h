#pragma once

/**
 * Simulations of the systems around the entry daemons for tests, the demo and
 * benchmarks; not shipped. They cover the platform with its object API and host
 * list, and backend servers that drain, cold-start, shed load, fail and crash
 * on command. The messages are those of `store::StoreClient` and of
 * `gateway/HttpFields.h`, not those that the folder `platform` translates; the
 * soak has its own stand-ins for the latter. Each stand-in runs on one
 * `io_context` and one thread.
 */

#include "standins/HttpExchange.h"
#include "standins/HttpServer.h"
#include "standins/HttpSession.h"
#include "standins/InstanceSettings.h"
#include "standins/PlatformSettings.h"
#include "standins/PlatformStandin.h"
#include "standins/ServerFault.h"
#include "standins/ServerFleet.h"
#include "standins/ServerInstance.h"
