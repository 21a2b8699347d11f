#pragma once

/**
 * Messages between the daemons of the system: the FlatBuffers schema
 * `messages.fbs` with its generated header, conversions between the modules'
 * own structs and envelopes, and the codec that splits a TCP stream into
 * frames. The module performs no I/O.
 */

#include "wire/ForwardAnswer.h"
#include "wire/ForwardCall.h"
#include "wire/FrameCodec.h"
#include "wire/FrameError.h"
#include "wire/Header.h"
#include "wire/Hello.h"
#include "wire/MessageConversion.h"
#include "wire/SlotDecision.h"
#include "wire/SlotRelease.h"
#include "wire/SlotRequest.h"
#include "wire/StoreBeat.h"
#include "wire/StoreNews.h"
#include "wire/StoreNewsRequest.h"
#include "wire/UsageLease.h"
#include "wire/UsageNews.h"
#include "wire/UsageRequest.h"
#include "wire/WireMessage.h"
