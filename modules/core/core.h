#pragma once

/**
 * Basic types that every other module uses: the closed list of error kinds
 * with the table from kind to answer, the result type, hooks for clock and
 * random numbers, process identities, hashing and the JSON-line log. It
 * depends on no other module.
 */

#include "core/DaemonId.h"
#include "core/Error.h"
#include "core/ErrorKind.h"
#include "core/ErrorTable.h"
#include "core/Hash.h"
#include "core/Hooks.h"
#include "core/Log.h"
#include "core/Result.h"
