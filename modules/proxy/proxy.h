#pragma once

/**
 * The entry daemon for HTTP routes. It reads routes and instances from an
 * object store, forwards callers' requests to instances and returns the
 * answers. The modules `routing` and `calls` make the decisions; this module
 * connects them to the network. `PlatformAdapter` hides the platform's formats
 * and names. The module may use all modules before it in the build's list;
 * everything runs on the thread that calls `ProxyDaemon::Run`.
 */

#include "proxy/PlatformAdapter.h"
#include "proxy/ProxyDaemon.h"
