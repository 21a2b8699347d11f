#pragma once

/**
 * Basic types that every other module uses: the error kinds and the table that
 * maps each kind to an answer, the result type, function types for clocks and
 * random numbers, daemon identities, hashing, detection of silent connections,
 * a budget for memory, a parser of HTTP messages, a log of JSON lines, a report
 * of fatal signals, and signals that are held back during a start.
 * Depends on no other module.
 */

#include "core/BootClock.h"
#include "core/CrashReport.h"
#include "core/DaemonId.h"
#include "core/DeadPeerDetection.h"
#include "core/Error.h"
#include "core/ErrorKind.h"
#include "core/ErrorTable.h"
#include "core/Hash.h"
#include "core/Hooks.h"
#include "core/Log.h"
#include "core/MemoryBudget.h"
#include "core/MemoryLease.h"
#include "core/MemoryUse.h"
#include "core/MessageParser.h"
#include "core/ProcessNumbers.h"
#include "core/Result.h"
#include "core/SignalName.h"
#include "core/StopSignals.h"
