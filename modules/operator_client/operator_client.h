#pragma once

/**
 * The operators' subcommands check, submit, status, move, dump and explain.
 * Commands write only to the store; they only read from daemons. Access to the
 * store, to daemons and to the output is passed to each command as functions,
 * so that tests run it without a network.
 */

#include "operator_client/CapacityCheck.h"
#include "operator_client/CheckCommand.h"
#include "operator_client/CommandLine.h"
#include "operator_client/CommandOutput.h"
#include "operator_client/DaemonAccess.h"
#include "operator_client/DesiredStateEditor.h"
#include "operator_client/DumpCommand.h"
#include "operator_client/ExitCode.h"
#include "operator_client/ExplainCommand.h"
#include "operator_client/FlagSet.h"
#include "operator_client/HttpGet.h"
#include "operator_client/MoveCommand.h"
#include "operator_client/MoveText.h"
#include "operator_client/NamedText.h"
#include "operator_client/RequestTrace.h"
#include "operator_client/StatusCommand.h"
#include "operator_client/StoreAccess.h"
#include "operator_client/SubmitCommand.h"
#include "operator_client/TextFile.h"
#include "operator_client/TimeText.h"
