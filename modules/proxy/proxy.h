#pragma once

/**
 * The entry daemon for HTTP routes: it reads routes and instances from an
 * object store, passes callers' requests on to instances and answers each
 * caller. Decisions are made by `routing` and `calls`; this module connects
 * them with the network. What the platform calls things is hidden behind
 * `PlatformAdapter`. Depends on all modules before it; everything runs on the
 * thread that calls `ProxyDaemon::Run`.
 */

#include "proxy/PlatformAdapter.h"
#include "proxy/ProxyDaemon.h"
