#pragma once

/**
 * Parses and checks everything that operators write: the operators' text, the
 * daemon settings and the desired state. All errors of a text are reported in
 * one pass, with line, path and allowed range. The module performs no I/O.
 */

#include "configuration/Checked.h"
#include "configuration/DaemonSettings.h"
#include "configuration/DesiredState.h"
#include "configuration/OperatorText.h"
