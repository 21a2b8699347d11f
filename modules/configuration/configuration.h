#pragma once

/**
 * Parsing and checking of everything that operators write: their text, the
 * daemon settings and the desired state document. All mistakes of a text are
 * reported in one pass with line, path and allowed range. The module performs
 * no I/O.
 */

#include "configuration/Checked.h"
#include "configuration/DaemonSettings.h"
#include "configuration/DesiredState.h"
#include "configuration/OperatorText.h"
