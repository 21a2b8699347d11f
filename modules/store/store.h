#pragma once

/**
 * Access to the platform's store and host list. `StoreClient` makes all
 * decisions: request budget, timeouts, backoff, reading back an object after
 * the answer to a write was lost, and the rule that an older version never
 * replaces a newer one. It performs no I/O; `StoreTransport` does, over HTTP.
 * `AsyncStore` combines the two on one `io_context` for the daemon and
 * `BlockingStore` wraps that for command-line use.
 */

#include "store/AsyncStore.h"
#include "store/BlockingStore.h"
#include "store/HostEntry.h"
#include "store/HostList.h"
#include "store/HostsResult.h"
#include "store/StoreClient.h"
#include "store/StoreClientSettings.h"
#include "store/StoreConnection.h"
#include "store/StoreHooks.h"
#include "store/StoreRequest.h"
#include "store/StoreResponse.h"
#include "store/StoreResult.h"
#include "store/StoreStatus.h"
#include "store/StoreTransport.h"
#include "store/StoredObject.h"
#include "store/WriterTag.h"
