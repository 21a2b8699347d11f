#pragma once

#include "wire/ConversionTools.h"
#include "wire/FrameError.h"
#include "wire/WireMessage.h"

/**
 * Conversions of the messages between entry daemons for HTTP routes: slots at
 * instances and news of the store. Each `Read` expects a verified table and
 * leaves the message unchanged on an error. All are thread-safe.
 */
namespace fireflytrail::wire {

Written<fbs::SlotRequest>
Write(FlatBufferBuilder& aBuilder, const SlotRequest& aRequest);
Written<fbs::SlotDecision>
Write(FlatBufferBuilder& aBuilder, const SlotDecision& aDecision);
Written<fbs::SlotRelease>
Write(FlatBufferBuilder& aBuilder, const SlotRelease& aRelease);
Written<fbs::StoreNews>
Write(FlatBufferBuilder& aBuilder, const StoreNews& aNews);
Written<fbs::StoreBeat>
Write(FlatBufferBuilder& aBuilder, const StoreBeat& aBeat);
Written<fbs::StoreNewsRequest>
Write(FlatBufferBuilder& aBuilder, const StoreNewsRequest& aRequest);

FrameError
Read(const fbs::SlotRequest& aRequest, WireMessage& aMessage);
FrameError
Read(const fbs::SlotDecision& aDecision, WireMessage& aMessage);
FrameError
Read(const fbs::SlotRelease& aRelease, WireMessage& aMessage);
FrameError
Read(const fbs::StoreNews& aNews, WireMessage& aMessage);
FrameError
Read(const fbs::StoreBeat& aBeat, WireMessage& aMessage);
FrameError
Read(const fbs::StoreNewsRequest& aRequest, WireMessage& aMessage);

} // namespace fireflytrail::wire
