#include "wire/EntryConversion.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace fireflytrail::wire {

namespace {

// Limit of a server that names none.
constexpr double kNoLimit = -1;

constexpr double kPercent = 100;

std::uint32_t
SaturateToUint32(std::int64_t aValue)
{
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
    aValue, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

EncodedMessage<fbs::SlotRequest>
Write(FlatBufferBuilder& aBuilder, const SlotRequest& aRequest)
{
  const auto service = aBuilder.CreateString(aRequest.service);
  const auto domain = WriteOptionalString(aBuilder, aRequest.failureDomain);
  const auto avoid = aRequest.avoid.empty()
                       ? Offset<flatbuffers::Vector<std::uint64_t>>()
                       : aBuilder.CreateVector(aRequest.avoid);
  return { fbs::Message::SlotRequest,
           fbs::CreateSlotRequest(aBuilder,
                                  aRequest.number,
                                  service,
                                  domain,
                                  SaturateToUint32(aRequest.goal.count()),
                                  SaturateToUint32(aRequest.deadline.count()),
                                  aRequest.priority,
                                  avoid,
                                  aRequest.digest,
                                  aRequest.expectedBytes,
                                  aRequest.route,
                                  aRequest.organisation) };
}

EncodedMessage<fbs::SlotDecision>
Write(FlatBufferBuilder& aBuilder, const SlotDecision& aDecision)
{
  const auto& instance = aDecision.instance;
  const auto id = WriteOptionalString(aBuilder, instance.id);
  const auto address = WriteOptionalString(aBuilder, instance.address);
  const auto domain = WriteOptionalString(aBuilder, instance.failureDomain);
  const auto version = WriteOptionalString(aBuilder, instance.version);
  const auto service = WriteOptionalString(aBuilder, instance.service);
  return { fbs::Message::SlotDecision,
           fbs::CreateSlotDecision(
             aBuilder,
             aDecision.number,
             static_cast<std::uint8_t>(aDecision.kind),
             aDecision.grant,
             id,
             address,
             domain,
             version,
             instance.slots,
             instance.startedAt,
             SaturateToUint32(aDecision.retryAfter.count()),
             service) };
}

EncodedMessage<fbs::SlotRelease>
Write(FlatBufferBuilder& aBuilder, const SlotRelease& aRelease)
{
  const auto service = aBuilder.CreateString(aRelease.service);
  const routing::LoadSample load =
    aRelease.load.value_or(routing::LoadSample{});
  return {
    fbs::Message::SlotRelease,
    fbs::CreateSlotRelease(
      aBuilder,
      aRelease.number,
      service,
      aRelease.grant,
      static_cast<std::uint8_t>(aRelease.outcome),
      static_cast<std::uint64_t>(
        std::max<std::int64_t>(aRelease.duration.count(), 0)),
      aRelease.load.has_value(),
      load.running,
      load.waiting,
      load.slots,
      SaturateToUint32(std::llround(load.slowdown * kPercent)),
      aRelease.digest,
      aRelease.death,
      aRelease.notice.requestsPerSecond.value_or(kNoLimit),
      aRelease.notice.isLeaving,
      SaturateToUint32(
        aRelease.notice.pause.value_or(std::chrono::milliseconds(0)).count()))
  };
}

EncodedMessage<fbs::StoreNews>
Write(FlatBufferBuilder& aBuilder, const StoreNews& aNews)
{
  std::vector<Offset<fbs::KindNews>> kinds;
  kinds.reserve(aNews.kinds.size());
  for (const KindNews& part : aNews.kinds) {
    std::vector<Offset<fbs::NewsObject>> objects;
    objects.reserve(part.objects.size());
    for (const NewsObject& object : part.objects) {
      const auto name = aBuilder.CreateString(object.name);
      const auto content = WriteBytes(aBuilder, object.content);
      const auto patch = WritePatch(aBuilder, object.patch);
      objects.push_back(fbs::CreateNewsObject(aBuilder,
                                              name,
                                              object.revision,
                                              object.isDeleted,
                                              content,
                                              object.patchBase,
                                              patch,
                                              object.contentHash));
    }
    const auto kind = aBuilder.CreateString(part.kind);
    const auto written =
      objects.empty() ? Offset<flatbuffers::Vector<Offset<fbs::NewsObject>>>()
                      : aBuilder.CreateVector(objects);
    kinds.push_back(fbs::CreateKindNews(
      aBuilder, kind, part.base, part.revision, part.isSnapshot, written));
  }
  const auto written = aBuilder.CreateVector(kinds);
  return { fbs::Message::StoreNews,
           fbs::CreateStoreNews(aBuilder, written, aNews.isForwardRequested) };
}

EncodedMessage<fbs::StoreBeat>
Write(FlatBufferBuilder& aBuilder, const StoreBeat& aBeat)
{
  const auto changes = aBuilder.CreateVector(aBeat.lastRevisions);
  const auto watching = aBuilder.CreateVectorOfStrings(aBeat.watching);
  const auto digests = aBuilder.CreateVector(aBeat.digests);
  return { fbs::Message::StoreBeat,
           fbs::CreateStoreBeat(aBuilder,
                                changes,
                                aBeat.isLost,
                                aBeat.isStrong,
                                aBeat.isAsking,
                                watching,
                                digests,
                                aBeat.wantsReferral,
                                aBeat.isReferral) };
}

EncodedMessage<fbs::StoreNewsRequest>
Write(FlatBufferBuilder& aBuilder, const StoreNewsRequest& aRequest)
{
  const auto kind = aBuilder.CreateString(aRequest.kind);
  return { fbs::Message::StoreNewsRequest,
           fbs::CreateStoreNewsRequest(
             aBuilder, kind, aRequest.since, aRequest.mustBeComplete) };
}

FrameError
Read(const fbs::SlotRequest& aRequest, WireMessage& aMessage)
{
  if (!IsAligned(aRequest.avoid(), alignof(std::uint64_t))) {
    return FrameError::Corrupt;
  }
  SlotRequest request;
  request.number = aRequest.number();
  request.service = aRequest.service()->str();
  request.failureDomain = TextOf(aRequest.failure_domain());
  request.goal = std::chrono::milliseconds(aRequest.goal_ms());
  request.deadline = std::chrono::milliseconds(aRequest.deadline_ms());
  request.priority = aRequest.priority();
  if (aRequest.avoid() != nullptr) {
    request.avoid.assign(aRequest.avoid()->begin(), aRequest.avoid()->end());
  }
  request.digest = aRequest.digest();
  request.expectedBytes = aRequest.expected_bytes();
  request.route = aRequest.route();
  request.organisation = aRequest.organisation();
  aMessage = std::move(request);
  return FrameError::None;
}

FrameError
Read(const fbs::SlotDecision& aDecision, WireMessage& aMessage)
{
  if (aDecision.error_kind() >
      static_cast<std::uint8_t>(core::ErrorKind::Internal)) {
    return FrameError::Corrupt;
  }
  SlotDecision decision;
  decision.number = aDecision.number();
  decision.kind = static_cast<core::ErrorKind>(aDecision.error_kind());
  decision.grant = aDecision.grant();
  decision.instance.id = TextOf(aDecision.instance());
  decision.instance.address = TextOf(aDecision.address());
  decision.instance.failureDomain = TextOf(aDecision.failure_domain());
  decision.instance.version = TextOf(aDecision.version());
  decision.instance.slots = aDecision.slots();
  decision.instance.startedAt = aDecision.started_at();
  decision.retryAfter = std::chrono::milliseconds(aDecision.retry_after_ms());
  decision.instance.service = TextOf(aDecision.service());
  aMessage = std::move(decision);
  return FrameError::None;
}

FrameError
Read(const fbs::SlotRelease& aRelease, WireMessage& aMessage)
{
  if (aRelease.outcome() >
      static_cast<std::uint8_t>(routing::AttemptOutcome::Cancelled)) {
    return FrameError::Corrupt;
  }
  SlotRelease release;
  release.number = aRelease.number();
  release.service = aRelease.service()->str();
  release.grant = aRelease.grant();
  release.outcome = static_cast<routing::AttemptOutcome>(aRelease.outcome());
  constexpr std::uint64_t kMaxDurationUs = std::uint64_t{ 1 } << 40U;
  release.duration =
    std::chrono::microseconds(std::min(aRelease.duration_us(), kMaxDurationUs));
  if (aRelease.has_load()) {
    release.load =
      routing::LoadSample{ aRelease.running(),
                           aRelease.waiting(),
                           std::max(aRelease.slots(), 1U),
                           aRelease.slowdown_percent() / kPercent };
  }
  if (std::isfinite(aRelease.request_limit()) &&
      aRelease.request_limit() >= 0) {
    release.notice.requestsPerSecond = aRelease.request_limit();
  }
  release.notice.isLeaving = aRelease.is_leaving();
  if (aRelease.pause_ms() > 0) {
    release.notice.pause = std::chrono::milliseconds(aRelease.pause_ms());
  }
  release.digest = aRelease.digest();
  release.death = aRelease.death();
  aMessage = std::move(release);
  return FrameError::None;
}

FrameError
Read(const fbs::StoreNews& aNews, WireMessage& aMessage)
{
  StoreNews news;
  news.isForwardRequested = aNews.pass_on();
  if (aNews.kinds() != nullptr) {
    for (const fbs::KindNews* part : *aNews.kinds()) {
      KindNews kindNews{
        part->kind()->str(), part->base(), part->revision(), part->whole(), {}
      };
      if (part->objects() != nullptr) {
        kindNews.objects.reserve(part->objects()->size());
        for (const fbs::NewsObject* object : *part->objects()) {
          kindNews.objects.push_back({ object->name()->str(),
                                       object->revision(),
                                       object->deleted(),
                                       BytesOf(object->content()),
                                       object->patch_base(),
                                       ReadPatch(object->patch()),
                                       object->content_hash() });
        }
      }
      news.kinds.push_back(std::move(kindNews));
    }
  }
  aMessage = std::move(news);
  return FrameError::None;
}

FrameError
Read(const fbs::StoreBeat& aBeat, WireMessage& aMessage)
{
  if (!IsAligned(aBeat.last_changes(), alignof(std::uint64_t)) ||
      !IsAligned(aBeat.digests(), alignof(std::uint64_t))) {
    return FrameError::Corrupt;
  }
  StoreBeat beat;
  if (aBeat.last_changes() != nullptr) {
    beat.lastRevisions.assign(aBeat.last_changes()->begin(),
                              aBeat.last_changes()->end());
  }
  beat.isLost = aBeat.lost();
  beat.isStrong = aBeat.strong();
  beat.isAsking = aBeat.asks();
  if (aBeat.watching() != nullptr) {
    for (const auto* name : *aBeat.watching()) {
      beat.watching.push_back(name->str());
    }
  }
  if (aBeat.digests() != nullptr) {
    beat.digests.assign(aBeat.digests()->begin(), aBeat.digests()->end());
  }
  beat.wantsReferral = aBeat.wants_referral();
  beat.isReferral = aBeat.referral();
  aMessage = std::move(beat);
  return FrameError::None;
}

FrameError
Read(const fbs::StoreNewsRequest& aRequest, WireMessage& aMessage)
{
  aMessage = StoreNewsRequest{ aRequest.kind()->str(),
                               aRequest.since(),
                               aRequest.complete() };
  return FrameError::None;
}

} // namespace fireflytrail::wire
