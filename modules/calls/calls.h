#pragma once

/**
 * Call handling without I/O: the state machine of one call, which decides on
 * retries and error kinds, the retry budget, the ledger of tickets for calls
 * that run at most once, and the guard against requests that crash every server
 * that runs them.
 */

#include "calls/Answer.h"
#include "calls/AttemptResult.h"
#include "calls/CallFlow.h"
#include "calls/CallRequest.h"
#include "calls/CallStep.h"
#include "calls/CrashGuard.h"
#include "calls/RequestDigest.h"
#include "calls/RetryBudget.h"
#include "calls/Ticket.h"
#include "calls/TicketLedger.h"
