#pragma once

/**
 * Everything that operators configure: the operators' text, the desired state,
 * the settings of entry daemons, and the structs of HTTP routes. Texts, desired
 * states and settings are parsed and checked here. All errors except those in
 * the JSON syntax are reported in one pass, with line, path and allowed range.
 * The module performs no I/O.
 */

#include "configuration/Checked.h"
#include "configuration/DaemonSettings.h"
#include "configuration/DesiredState.h"
#include "configuration/OperatorText.h"
#include "configuration/SettingsFile.h"
