#pragma once

/**
 * Moves that operators declare: failure domains that are taken out and brought
 * back, and new versions that are to be in use by a set time. Version moves
 * count evidence, judge the new version and compute its share of calls. The
 * module performs no I/O; clock, random numbers and outputs are hooks.
 */

#include "moves/DomainCapacity.h"
#include "moves/DomainMove.h"
#include "moves/Evidence.h"
#include "moves/EvidencePublisher.h"
#include "moves/EvidenceRecorder.h"
#include "moves/MoveConfirmation.h"
#include "moves/ShareSampler.h"
#include "moves/VersionMove.h"
