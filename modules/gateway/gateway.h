#pragma once

/**
 * Network side of the entry daemon: sessions of callers, connections to
 * backend servers, framed connections to other daemons and the operators'
 * read-only endpoint. It decides nothing itself; calls and frames are handed
 * to hooks. Each object belongs to the thread of its io_context.
 */

#include "gateway/CallAnswer.h"
#include "gateway/CallRequest.h"
#include "gateway/CallerListener.h"
#include "gateway/CallerSession.h"
#include "gateway/HttpFields.h"
#include "gateway/ServerConnection.h"
#include "gateway/ServerExchange.h"
#include "gateway/ServerPool.h"
