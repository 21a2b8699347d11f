#pragma once

#include "gossip/Delta.h"
#include "gossip/DesiredRequest.h"
#include "gossip/DesiredResponse.h"
#include "gossip/Digest.h"
#include "wire/ForwardAnswer.h"
#include "wire/ForwardCall.h"
#include "wire/Hello.h"
#include "wire/SlotDecision.h"
#include "wire/SlotRelease.h"
#include "wire/SlotRequest.h"
#include "wire/StoreBeat.h"
#include "wire/StoreNews.h"
#include "wire/StoreNewsRequest.h"
#include "wire/UsageLease.h"
#include "wire/UsageNews.h"
#include "wire/UsageRequest.h"

#include <variant>

namespace fireflytrail::wire {

/** Any message between two daemons. */
using WireMessage = std::variant<Hello,
                                 gossip::Digest,
                                 gossip::Delta,
                                 gossip::DesiredRequest,
                                 gossip::DesiredResponse,
                                 ForwardCall,
                                 ForwardAnswer,
                                 SlotRequest,
                                 SlotDecision,
                                 SlotRelease,
                                 StoreNews,
                                 StoreBeat,
                                 StoreNewsRequest,
                                 UsageNews,
                                 UsageRequest,
                                 UsageLease>;

} // namespace fireflytrail::wire
