#pragma once

#include "wire/ConversionTools.h"
#include "wire/FrameError.h"
#include "wire/WireMessage.h"

/**
 * Converts the messages that entry daemons exchange for HTTP routes: requests
 * for slots of instances, changes of the store's objects, and usage. Each
 * `Read` expects a verified table and leaves the message unchanged on an error.
 * All are thread-safe.
 */
namespace fireflytrail::wire {

EncodedMessage<fbs::SlotRequest>
Write(FlatBufferBuilder& aBuilder, const SlotRequest& aRequest);
EncodedMessage<fbs::SlotDecision>
Write(FlatBufferBuilder& aBuilder, const SlotDecision& aDecision);
EncodedMessage<fbs::SlotRelease>
Write(FlatBufferBuilder& aBuilder, const SlotRelease& aRelease);
EncodedMessage<fbs::StoreNews>
Write(FlatBufferBuilder& aBuilder, const StoreNews& aNews);
EncodedMessage<fbs::StoreBeat>
Write(FlatBufferBuilder& aBuilder, const StoreBeat& aBeat);
EncodedMessage<fbs::StoreNewsRequest>
Write(FlatBufferBuilder& aBuilder, const StoreNewsRequest& aRequest);
EncodedMessage<fbs::UsageNews>
Write(FlatBufferBuilder& aBuilder, const UsageNews& aNews);
EncodedMessage<fbs::UsageRequest>
Write(FlatBufferBuilder& aBuilder, const UsageRequest& aRequest);
EncodedMessage<fbs::UsageLease>
Write(FlatBufferBuilder& aBuilder, const UsageLease& aLease);

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
FrameError
Read(const fbs::UsageNews& aNews, WireMessage& aMessage);
FrameError
Read(const fbs::UsageRequest& aRequest, WireMessage& aMessage);
FrameError
Read(const fbs::UsageLease& aLease, WireMessage& aMessage);

} // namespace fireflytrail::wire
