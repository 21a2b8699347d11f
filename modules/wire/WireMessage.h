#pragma once

#include "gossip/Delta.h"
#include "gossip/DesiredRequest.h"
#include "gossip/DesiredResponse.h"
#include "gossip/Digest.h"
#include "wire/ForwardAnswer.h"
#include "wire/ForwardCall.h"
#include "wire/Hello.h"

#include <variant>

namespace fireflytrail::wire {

/** Any message between two daemons. */
using WireMessage = std::variant<Hello,
                                 gossip::Digest,
                                 gossip::Delta,
                                 gossip::DesiredRequest,
                                 gossip::DesiredResponse,
                                 ForwardCall,
                                 ForwardAnswer>;

} // namespace fireflytrail::wire
