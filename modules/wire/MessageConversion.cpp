#include "wire/MessageConversion.h"

#include "core/MessageParser.h"
#include "wire/ConversionTools.h"
#include "wire/EntryConversion.h"
#include "wire/messages_generated.h"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace fireflytrail::wire {

namespace {

// Tables of the schema nest at most 5 levels deep. A table takes at least 4
// bytes even if all its fields are absent, so the frame size limit bounds the
// number of tables.
constexpr flatbuffers::uoffset_t kMaxDepth = 8;
constexpr flatbuffers::uoffset_t kMaxTables = 1'000'000;

Offset<fbs::DaemonId>
WriteId(FlatBufferBuilder& aBuilder, const core::DaemonId& aId)
{
  return fbs::CreateDaemonId(
    aBuilder, aBuilder.CreateString(aId.name), aId.start);
}

Offset<flatbuffers::Vector<const fbs::DigestEntry*>>
WriteEntries(FlatBufferBuilder& aBuilder,
             const std::vector<gossip::DigestEntry>& aEntries)
{
  if (aEntries.empty()) {
    return {};
  }
  std::vector<fbs::DigestEntry> entries;
  entries.reserve(aEntries.size());
  for (const gossip::DigestEntry& entry : aEntries) {
    entries.emplace_back(entry.start, entry.heartbeat, entry.version);
  }
  return aBuilder.CreateVectorOfStructs(entries);
}

Offset<flatbuffers::Vector<Offset<fbs::Header>>>
WriteHeaders(FlatBufferBuilder& aBuilder, const std::vector<Header>& aHeaders)
{
  std::vector<Offset<fbs::Header>> headers;
  headers.reserve(aHeaders.size());
  for (const Header& header : aHeaders) {
    const auto name = aBuilder.CreateString(header.name);
    const auto value = aBuilder.CreateString(header.value);
    headers.push_back(fbs::CreateHeader(aBuilder, name, value));
  }
  return aBuilder.CreateVector(headers);
}

EncodedMessage<fbs::Hello>
Write(FlatBufferBuilder& aBuilder, const Hello& aHello)
{
  const auto id = WriteId(aBuilder, aHello.id);
  const auto address = WriteOptionalString(aBuilder, aHello.address);
  return { fbs::Message::Hello, fbs::CreateHello(aBuilder, id, address) };
}

EncodedMessage<fbs::GossipDigest>
Write(FlatBufferBuilder& aBuilder, const gossip::Digest& aDigest)
{
  const auto entries = WriteEntries(aBuilder, aDigest.entries);
  return { fbs::Message::GossipDigest,
           fbs::CreateGossipDigest(aBuilder, aDigest.exchange, entries) };
}

Offset<fbs::OriginDelta>
WriteOrigin(FlatBufferBuilder& aBuilder, const gossip::OriginDelta& aOrigin)
{
  std::vector<Offset<fbs::Record>> records;
  records.reserve(aOrigin.records.size());
  for (const gossip::Record& record : aOrigin.records) {
    // Many origins have the same keys, so equal keys share one string.
    const auto key = aBuilder.CreateSharedString(record.key);
    const auto value = WriteBytes(aBuilder, record.value);
    records.push_back(
      fbs::CreateRecord(aBuilder, key, value, record.version, record.removed));
  }
  const auto name = WriteOptionalString(aBuilder, aOrigin.id.name);
  const auto written = records.empty()
                         ? Offset<flatbuffers::Vector<Offset<fbs::Record>>>()
                         : aBuilder.CreateVector(records);
  return fbs::CreateOriginDelta(aBuilder,
                                aOrigin.id.start,
                                name,
                                aOrigin.incarnation,
                                aOrigin.heartbeat,
                                aOrigin.from,
                                aOrigin.upTo,
                                written);
}

EncodedMessage<fbs::GossipDelta>
Write(FlatBufferBuilder& aBuilder, const gossip::Delta& aDelta)
{
  std::vector<std::uint64_t> starts;
  std::vector<std::uint32_t> beats;
  starts.reserve(aDelta.heartbeats.size());
  beats.reserve(aDelta.heartbeats.size());
  for (const gossip::HeartbeatEntry& entry : aDelta.heartbeats) {
    starts.push_back(entry.start);
    beats.push_back(entry.heartbeat);
  }
  std::vector<Offset<fbs::OriginDelta>> origins;
  origins.reserve(aDelta.origins.size());
  for (const gossip::OriginDelta& origin : aDelta.origins) {
    origins.push_back(WriteOrigin(aBuilder, origin));
  }
  const auto writtenStarts = starts.empty()
                               ? Offset<flatbuffers::Vector<std::uint64_t>>()
                               : aBuilder.CreateVector(starts);
  const auto writtenBeats = beats.empty()
                              ? Offset<flatbuffers::Vector<std::uint32_t>>()
                              : aBuilder.CreateVector(beats);
  const auto writtenOrigins =
    origins.empty() ? Offset<flatbuffers::Vector<Offset<fbs::OriginDelta>>>()
                    : aBuilder.CreateVector(origins);
  const auto wanted = WriteEntries(aBuilder, aDelta.wanted);
  return { fbs::Message::GossipDelta,
           fbs::CreateGossipDelta(aBuilder,
                                  static_cast<fbs::DeltaKind>(aDelta.kind),
                                  aDelta.exchange,
                                  aDelta.senderIsStale,
                                  writtenStarts,
                                  writtenBeats,
                                  writtenOrigins,
                                  wanted) };
}

EncodedMessage<fbs::DesiredRequest>
Write(FlatBufferBuilder& aBuilder, const gossip::DesiredRequest& aRequest)
{
  return { fbs::Message::DesiredRequest,
           fbs::CreateDesiredRequest(
             aBuilder,
             aRequest.requestId,
             aRequest.version,
             aRequest.haveVersion,
             aRequest.insist,
             static_cast<std::uint8_t>(aRequest.kind)) };
}

EncodedMessage<fbs::DesiredResponse>
Write(FlatBufferBuilder& aBuilder, const gossip::DesiredResponse& aResponse)
{
  const auto document = WriteBytes(aBuilder, aResponse.document);
  const auto patch = WritePatch(aBuilder, aResponse.patch);
  const auto askInstead = WriteOptionalString(aBuilder, aResponse.askInstead);
  return { fbs::Message::DesiredResponse,
           fbs::CreateDesiredResponse(
             aBuilder,
             aResponse.requestId,
             aResponse.version,
             document,
             aResponse.patchBase,
             patch,
             aResponse.documentHash,
             askInstead,
             static_cast<std::uint8_t>(aResponse.kind)) };
}

EncodedMessage<fbs::ForwardCall>
Write(FlatBufferBuilder& aBuilder, const ForwardCall& aCall)
{
  const auto ticket = WriteOptionalString(aBuilder, aCall.ticket);
  const auto service = aBuilder.CreateString(aCall.service);
  const auto method = aBuilder.CreateString(aCall.method);
  const auto target = aBuilder.CreateString(aCall.target);
  const auto headers = WriteHeaders(aBuilder, aCall.headers);
  const auto body = WriteBytes(aBuilder, aCall.body);
  return {
    fbs::Message::ForwardCall,
    fbs::CreateForwardCall(
      aBuilder,
      aCall.requestId,
      ticket,
      service,
      method,
      target,
      headers,
      body,
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        aCall.deadline.count(), 0, std::numeric_limits<std::uint32_t>::max())),
      aCall.attempt,
      aCall.callDepth)
  };
}

EncodedMessage<fbs::ForwardAnswer>
Write(FlatBufferBuilder& aBuilder, const ForwardAnswer& aAnswer)
{
  const auto headers = WriteHeaders(aBuilder, aAnswer.headers);
  const auto body = WriteBytes(aBuilder, aAnswer.body);
  return { fbs::Message::ForwardAnswer,
           fbs::CreateForwardAnswer(
             aBuilder,
             aAnswer.requestId,
             aAnswer.status,
             headers,
             body,
             static_cast<std::uint8_t>(aAnswer.errorKind),
             static_cast<std::uint8_t>(aAnswer.outcome)) };
}

core::DaemonId
IdOf(const fbs::DaemonId* aId)
{
  return { aId->name()->str(), aId->start() };
}

std::vector<gossip::DigestEntry>
EntriesOf(const flatbuffers::Vector<const fbs::DigestEntry*>* aEntries)
{
  std::vector<gossip::DigestEntry> entries;
  if (aEntries == nullptr) {
    return entries;
  }
  entries.reserve(aEntries->size());
  for (const fbs::DigestEntry* entry : *aEntries) {
    entries.push_back({ entry->start(), entry->heartbeat(), entry->version() });
  }
  return entries;
}

/** Whether receivers can use headers as the fields of an HTTP message. */
bool
AreStorable(const std::vector<Header>& aHeaders)
{
  return std::ranges::all_of(aHeaders, [](const Header& aHeader) {
    return core::MessageParser<true>::IsStorable(aHeader.name, aHeader.value);
  });
}

std::vector<Header>
HeadersOf(const flatbuffers::Vector<Offset<fbs::Header>>* aHeaders)
{
  std::vector<Header> headers;
  if (aHeaders == nullptr) {
    return headers;
  }
  headers.reserve(aHeaders->size());
  for (const fbs::Header* header : *aHeaders) {
    headers.push_back({ header->name()->str(), header->value()->str() });
  }
  return headers;
}

gossip::OriginDelta
OriginOf(const fbs::OriginDelta& aOrigin)
{
  gossip::OriginDelta origin;
  origin.id = { TextOf(aOrigin.name()), aOrigin.start() };
  origin.incarnation = aOrigin.incarnation();
  origin.heartbeat = aOrigin.heartbeat();
  origin.from = aOrigin.from();
  origin.upTo = aOrigin.up_to();
  if (aOrigin.records() == nullptr) {
    return origin;
  }
  origin.records.reserve(aOrigin.records()->size());
  for (const fbs::Record* record : *aOrigin.records()) {
    origin.records.push_back({ record->key()->str(),
                               BytesOf(record->value()),
                               record->version(),
                               record->removed() });
  }
  return origin;
}

FrameError
Read(const fbs::Hello& aHello, WireMessage& aMessage)
{
  aMessage = Hello{ IdOf(aHello.id()), TextOf(aHello.address()) };
  return FrameError::None;
}

FrameError
Read(const fbs::GossipDigest& aDigest, WireMessage& aMessage)
{
  if (!IsAligned(aDigest.entries(), alignof(fbs::DigestEntry))) {
    return FrameError::Corrupt;
  }
  aMessage = gossip::Digest{ aDigest.exchange(), EntriesOf(aDigest.entries()) };
  return FrameError::None;
}

FrameError
Read(const fbs::GossipDelta& aDelta, WireMessage& aMessage)
{
  const auto* starts = aDelta.heartbeat_starts();
  const auto* beats = aDelta.heartbeats();
  const std::size_t count = starts == nullptr ? 0 : starts->size();
  if (aDelta.kind() > fbs::DeltaKind::MAX ||
      !IsAligned(starts, alignof(std::uint64_t)) ||
      !IsAligned(aDelta.wanted(), alignof(fbs::DigestEntry)) ||
      count != (beats == nullptr ? 0 : beats->size())) {
    return FrameError::Corrupt;
  }
  gossip::Delta delta;
  delta.kind = static_cast<gossip::DeltaKind>(aDelta.kind());
  delta.exchange = aDelta.exchange();
  delta.senderIsStale = aDelta.sender_is_stale();
  delta.heartbeats.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    const auto position = static_cast<flatbuffers::uoffset_t>(index);
    delta.heartbeats.push_back({ starts->Get(position), beats->Get(position) });
  }
  if (aDelta.origins() != nullptr) {
    delta.origins.reserve(aDelta.origins()->size());
    for (const fbs::OriginDelta* origin : *aDelta.origins()) {
      delta.origins.push_back(OriginOf(*origin));
    }
  }
  delta.wanted = EntriesOf(aDelta.wanted());
  aMessage = std::move(delta);
  return FrameError::None;
}

std::optional<gossip::DocumentKind>
KindOf(std::uint8_t aKind)
{
  if (aKind > static_cast<std::uint8_t>(gossip::DocumentKind::HostList)) {
    return std::nullopt;
  }
  return static_cast<gossip::DocumentKind>(aKind);
}

FrameError
Read(const fbs::DesiredRequest& aRequest, WireMessage& aMessage)
{
  const auto kind = KindOf(aRequest.kind());
  if (!kind) {
    return FrameError::Corrupt;
  }
  aMessage = gossip::DesiredRequest{ aRequest.request_id(),
                                     aRequest.version(),
                                     aRequest.have_version(),
                                     aRequest.insist(),
                                     *kind };
  return FrameError::None;
}

FrameError
Read(const fbs::DesiredResponse& aResponse, WireMessage& aMessage)
{
  const auto kind = KindOf(aResponse.kind());
  if (!kind) {
    return FrameError::Corrupt;
  }
  gossip::DesiredResponse response;
  response.kind = *kind;
  response.requestId = aResponse.request_id();
  response.version = aResponse.version();
  response.document = BytesOf(aResponse.document());
  response.patchBase = aResponse.patch_base();
  response.patch = ReadPatch(aResponse.patch());
  response.documentHash = aResponse.document_hash();
  response.askInstead = TextOf(aResponse.ask_instead());
  aMessage = std::move(response);
  return FrameError::None;
}

FrameError
Read(const fbs::ForwardCall& aCall, WireMessage& aMessage)
{
  ForwardCall call;
  call.requestId = aCall.request_id();
  call.ticket = TextOf(aCall.ticket());
  call.service = aCall.service()->str();
  call.method = aCall.method()->str();
  call.target = aCall.target()->str();
  call.headers = HeadersOf(aCall.headers());
  if (!AreStorable(call.headers)) {
    return FrameError::Corrupt;
  }
  call.body = BytesOf(aCall.body());
  call.deadline = std::chrono::milliseconds(aCall.deadline_ms());
  call.attempt = aCall.attempt();
  call.callDepth = aCall.call_depth();
  aMessage = std::move(call);
  return FrameError::None;
}

FrameError
Read(const fbs::ForwardAnswer& aAnswer, WireMessage& aMessage)
{
  if (aAnswer.error_kind() >
        static_cast<std::uint8_t>(core::ErrorKind::Internal) ||
      aAnswer.outcome() >
        static_cast<std::uint8_t>(core::CallOutcome::Unknown)) {
    return FrameError::Corrupt;
  }
  ForwardAnswer answer;
  answer.requestId = aAnswer.request_id();
  answer.status = aAnswer.status();
  answer.headers = HeadersOf(aAnswer.headers());
  if (!AreStorable(answer.headers)) {
    return FrameError::Corrupt;
  }
  answer.body = BytesOf(aAnswer.body());
  answer.errorKind = static_cast<core::ErrorKind>(aAnswer.error_kind());
  answer.outcome = static_cast<core::CallOutcome>(aAnswer.outcome());
  aMessage = std::move(answer);
  return FrameError::None;
}

} // namespace

void
MessageConversion::AppendEnvelope(const WireMessage& aMessage,
                                  std::string& aBytes)
{
  FlatBufferBuilder builder(1024);
  std::visit(
    [&](const auto& aValue) {
      const auto written = Write(builder, aValue);
      fbs::FinishEnvelopeBuffer(
        builder,
        fbs::CreateEnvelope(
          builder, kProtocolVersion, written.type, written.Union()));
    },
    aMessage);
  aBytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                builder.GetSize());
}

FrameError
MessageConversion::ReadEnvelope(std::span<const std::uint8_t> aBytes,
                                WireMessage& aMessage)
{
  flatbuffers::Verifier verifier(
    aBytes.data(), aBytes.size(), kMaxDepth, kMaxTables);
  if (!fbs::VerifyEnvelopeBuffer(verifier)) {
    return FrameError::Corrupt;
  }
  const fbs::Envelope& envelope = *fbs::GetEnvelope(aBytes.data());
  if (envelope.protocol() != kProtocolVersion) {
    return FrameError::UnknownVersion;
  }
  if (envelope.message() == nullptr) {
    return FrameError::Corrupt;
  }
  switch (envelope.message_type()) {
    case fbs::Message::Hello:
      return Read(*envelope.message_as_Hello(), aMessage);
    case fbs::Message::GossipDigest:
      return Read(*envelope.message_as_GossipDigest(), aMessage);
    case fbs::Message::GossipDelta:
      return Read(*envelope.message_as_GossipDelta(), aMessage);
    case fbs::Message::DesiredRequest:
      return Read(*envelope.message_as_DesiredRequest(), aMessage);
    case fbs::Message::DesiredResponse:
      return Read(*envelope.message_as_DesiredResponse(), aMessage);
    case fbs::Message::ForwardCall:
      return Read(*envelope.message_as_ForwardCall(), aMessage);
    case fbs::Message::ForwardAnswer:
      return Read(*envelope.message_as_ForwardAnswer(), aMessage);
    case fbs::Message::SlotRequest:
      return Read(*envelope.message_as_SlotRequest(), aMessage);
    case fbs::Message::SlotDecision:
      return Read(*envelope.message_as_SlotDecision(), aMessage);
    case fbs::Message::SlotRelease:
      return Read(*envelope.message_as_SlotRelease(), aMessage);
    case fbs::Message::StoreNews:
      return Read(*envelope.message_as_StoreNews(), aMessage);
    case fbs::Message::StoreBeat:
      return Read(*envelope.message_as_StoreBeat(), aMessage);
    case fbs::Message::StoreNewsRequest:
      return Read(*envelope.message_as_StoreNewsRequest(), aMessage);
    case fbs::Message::UsageNews:
      return Read(*envelope.message_as_UsageNews(), aMessage);
    case fbs::Message::UsageRequest:
      return Read(*envelope.message_as_UsageRequest(), aMessage);
    case fbs::Message::UsageLease:
      return Read(*envelope.message_as_UsageLease(), aMessage);
    case fbs::Message::NONE:
      break;
  }
  return FrameError::UnknownVersion;
}

} // namespace fireflytrail::wire
