#pragma once

/**
 * Network layer of the entry daemon: sessions of callers, connections to
 * backend servers and framed connections to other daemons. It makes no routing
 * decisions: calls and messages are passed to hooks. Each object belongs to the
 * thread of its io_context.
 */

#include "gateway/CallAnswer.h"
#include "gateway/CallRequest.h"
#include "gateway/CallerConnectionEnd.h"
#include "gateway/CallerSession.h"
#include "gateway/HttpFields.h"
#include "gateway/ServerConnection.h"
#include "gateway/ServerExchange.h"
#include "gateway/ServerPool.h"
#include "gateway/TcpListener.h"
