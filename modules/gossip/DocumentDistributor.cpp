#include "gossip/DocumentDistributor.h"

#include "core/Hash.h"
#include "gossip/GossipExchanger.h"
#include "gossip/GossipState.h"
#include "gossip/Membership.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::gossip {

using namespace std::chrono_literals;

namespace {

// A response that arrives later is still accepted. With a timeout of 700 ms
// and 20 % message loss, a change took up to 13.6 s to reach 100 hosts.
constexpr auto kRequestTimeout = 300ms;

// A daemon sends the whole document to `documentServeLimit` peers within this
// time and refers others to them, which forms a tree with that fan-out.
constexpr auto kServePeriod = 3s;

// Instead of a larger patch the whole document is sent, which counts towards
// `documentServeLimit`.
constexpr std::size_t kMaxPatchBytes = 2048;

// The store accepts values of up to 1 MB.
constexpr std::size_t kMaxDocumentSize = std::size_t{ 1024 } * 1024;

// After this many failed or referred requests the next one sets `insist`.
constexpr unsigned kInsistAfter = 8;

constexpr std::size_t kStatusSize = 24;

void
AppendUint64(std::string& aBytes, std::uint64_t aNumber)
{
  for (int shift = 0; shift < 64; shift += 8) {
    aBytes += static_cast<char>((aNumber >> shift) & 0xff);
  }
}

std::uint64_t
ReadUint64(std::string_view aBytes, std::size_t aOffset)
{
  std::uint64_t number = 0;
  for (std::size_t index = 8; index > 0; --index) {
    number =
      (number << 8) | static_cast<unsigned char>(aBytes[aOffset + index - 1]);
  }
  return number;
}

} // namespace

DocumentDistributor::DocumentDistributor(DocumentKind aKind,
                                         GossipState& aState,
                                         GossipExchanger& aExchanger,
                                         Membership& aMembership,
                                         core::NowFunction aNow,
                                         core::WallNowFunction aWallNow,
                                         core::RandomFunction aRandom,
                                         SendFunction aSend,
                                         AcceptedFunction aAccepted,
                                         const GossipSettings& aSettings)
  : kind(aKind)
  , state(aState)
  , exchanger(aExchanger)
  , membership(aMembership)
  , now(std::move(aNow))
  , wallNow(std::move(aWallNow))
  , random(std::move(aRandom))
  , send(std::move(aSend))
  , accepted(std::move(aAccepted))
  , settings(aSettings)
{
  assert(this->now);
  assert(this->wallNow);
  assert(this->random);
  assert(this->send);
  assert(this->accepted);
  assert(this->settings.documentServeLimit > 0);
}

std::string
DocumentDistributor::EncodeStatus(const DocumentStatus& aStatus)
{
  const auto appliedAt = std::chrono::duration_cast<std::chrono::milliseconds>(
    aStatus.appliedAt.time_since_epoch());
  std::string value;
  value.reserve(kStatusSize);
  AppendUint64(value, aStatus.held);
  AppendUint64(value, aStatus.appliedVersion);
  AppendUint64(value, static_cast<std::uint64_t>(appliedAt.count()));
  return value;
}

std::optional<DocumentStatus>
DocumentDistributor::DecodeStatus(std::string_view aValue)
{
  if (aValue.size() != kStatusSize) {
    return std::nullopt;
  }
  DocumentStatus status;
  status.held = ReadUint64(aValue, 0);
  status.appliedVersion = ReadUint64(aValue, 8);
  status.appliedAt = core::WallTimePoint(std::chrono::milliseconds(
    static_cast<std::int64_t>(ReadUint64(aValue, 16))));
  return status;
}

std::optional<DocumentStatus>
DocumentDistributor::StatusOf(std::string_view aName) const
{
  const Record* record = this->state.FindRecord(aName, RecordKeyOf(this->kind));
  return record == nullptr ? std::nullopt : DecodeStatus(record->value);
}

void
DocumentDistributor::HandleRecordChange(const Record& aRecord)
{
  if (aRecord.key != RecordKeyOf(this->kind)) {
    return;
  }
  if (const auto peerStatus = DecodeStatus(aRecord.value)) {
    if (peerStatus->held > this->newestSeen) {
      this->newestSeen = peerStatus->held;
      this->attempts = 0;
      this->lastFailedPeer.clear();
    }
  }
}

bool
DocumentDistributor::OfferFromStore(std::uint64_t aVersion,
                                    std::string aDocument)
{
  if (aVersion <= this->status.held || aVersion < this->newestSeen) {
    return false;
  }
  // If another daemon has announced the version already, a further push would
  // be redundant.
  const bool isFirstSeen = aVersion > this->newestSeen;
  this->Accept(aVersion, std::move(aDocument), isFirstSeen);
  return true;
}

void
DocumentDistributor::Accept(std::uint64_t aVersion,
                            std::string aDocument,
                            bool aIsUrgent)
{
  assert(aVersion > this->status.held);
  this->previousVersion = this->status.held;
  this->previousDocument = std::move(this->document);
  this->patch.reset();
  this->wantsWholeDocument = false;
  this->status.held = aVersion;
  this->newestSeen = std::max(this->newestSeen, aVersion);
  this->document = std::move(aDocument);
  this->pending.reset();
  this->attempts = 0;
  this->lastFailedPeer.clear();
  this->recipients.clear();
  this->isAccepting = true;
  this->accepted(this->status.held, this->document);
  this->isAccepting = false;
  const std::string value = EncodeStatus(this->status);
  if (aIsUrgent) {
    this->exchanger.PublishUrgent(RecordKeyOf(this->kind), value);
  } else {
    this->state.SetRecord(RecordKeyOf(this->kind), value);
  }
  for (const DeferredRequest& entry : std::exchange(this->deferred, {})) {
    if (!this->TrySendPatch(entry.name, entry.request)) {
      this->SendDocument(entry.name, entry.request);
    }
  }
}

void
DocumentDistributor::ConfirmApplied(std::uint64_t aVersion)
{
  if (aVersion <= this->status.appliedVersion) {
    return;
  }
  this->status.appliedVersion = aVersion;
  this->status.appliedAt = this->wallNow();
  // While a document is being accepted, `Accept` writes the record afterwards,
  // so that it is written only once.
  if (!this->isAccepting) {
    this->state.SetRecord(RecordKeyOf(this->kind), EncodeStatus(this->status));
  }
}

std::optional<std::string>
DocumentDistributor::ChooseHolder()
{
  std::vector<std::string> holders;
  std::uint64_t highestVersion = this->status.held;
  // A daemon without a document accepts only the newest version seen.
  const std::uint64_t minVersion =
    this->status.held == 0 ? this->newestSeen : this->status.held + 1;
  for (const auto& [name, origin] : this->state.Origins()) {
    const auto peerStatus = this->StatusOf(name);
    if (name == this->state.Self().name || name == this->lastFailedPeer ||
        !peerStatus || peerStatus->held < minVersion ||
        peerStatus->held < highestVersion ||
        this->membership.StateOf(name) == MemberState::Dead) {
      continue;
    }
    if (peerStatus->held > highestVersion) {
      highestVersion = peerStatus->held;
      holders.clear();
    }
    holders.push_back(name);
  }
  if (holders.empty()) {
    return std::nullopt;
  }
  return holders[this->random() % holders.size()];
}

Peer
DocumentDistributor::PeerFor(const std::string& aName) const
{
  return this->membership.PeerOf(aName).value_or(Peer{ aName, "" });
}

void
DocumentDistributor::RequestFrom(const std::string& aName)
{
  ++this->attempts;
  DesiredRequest request;
  request.kind = this->kind;
  request.requestId = ++this->requestId;
  request.version =
    this->status.held == 0 ? this->newestSeen : this->status.held + 1;
  request.haveVersion = this->wantsWholeDocument ? 0 : this->status.held;
  request.insist = this->attempts > kInsistAfter;
  this->pending =
    Pending{ request.requestId, aName, this->now() + kRequestTimeout };
  this->send(this->PeerFor(aName), request);
}

void
DocumentDistributor::Tick()
{
  if (this->pending && this->now() >= this->pending->deadline) {
    this->lastFailedPeer = this->pending->peer;
    this->pending.reset();
  }
  if (this->pending || this->newestSeen <= this->status.held ||
      (this->status.held == 0 && !this->exchanger.HasEnoughReplies())) {
    return;
  }
  if (const auto holder = this->ChooseHolder()) {
    this->RequestFrom(*holder);
  } else {
    // The peer that failed last may be the only one that has the document; the
    // next request may go to it again.
    this->lastFailedPeer.clear();
  }
}

void
DocumentDistributor::SendReferral(const std::string& aTo,
                                  const DesiredRequest& aRequest,
                                  std::string aAlternativePeer)
{
  DesiredResponse response;
  response.kind = this->kind;
  response.requestId = aRequest.requestId;
  if (aAlternativePeer != aTo) {
    response.askInstead = std::move(aAlternativePeer);
  }
  this->send(this->PeerFor(aTo), response);
}

void
DocumentDistributor::SendDocument(const std::string& aTo,
                                  const DesiredRequest& aRequest)
{
  DesiredResponse response;
  response.kind = this->kind;
  response.requestId = aRequest.requestId;
  response.version = this->status.held;
  response.document = this->document;
  response.documentHash = core::HashOf(this->document);
  this->recipients.push_back({ aTo, this->now() });
  this->send(this->PeerFor(aTo), response);
}

bool
DocumentDistributor::TrySendPatch(const std::string& aTo,
                                  const DesiredRequest& aRequest)
{
  if (!this->settings.sendsPatches || aRequest.haveVersion == 0 ||
      aRequest.haveVersion != this->previousVersion) {
    return false;
  }
  if (!this->patch) {
    this->patch = DocumentPatch::Make(this->previousDocument, this->document);
  }
  if (DocumentPatch::EncodedSize(*this->patch) > kMaxPatchBytes) {
    return false;
  }
  DesiredResponse response;
  response.kind = this->kind;
  response.requestId = aRequest.requestId;
  response.version = this->status.held;
  response.patchBase = this->previousVersion;
  response.patch = *this->patch;
  response.documentHash = core::HashOf(this->document);
  this->send(this->PeerFor(aTo), response);
  return true;
}

std::optional<std::string>
DocumentDistributor::ReconstructDocument(const DesiredResponse& aResponse) const
{
  std::optional<std::string> result;
  if (aResponse.patchBase == 0) {
    result = aResponse.document;
  } else if (aResponse.patchBase == this->status.held) {
    result =
      DocumentPatch::Apply(this->document, aResponse.patch, kMaxDocumentSize);
  }
  if (result && core::HashOf(*result) != aResponse.documentHash) {
    result.reset();
  }
  return result;
}

void
DocumentDistributor::Receive(const std::string& aFrom,
                             const DesiredRequest& aRequest)
{
  if (this->status.held < aRequest.version) {
    if (!this->pending) {
      this->SendReferral(aFrom, aRequest, "");
    } else if (this->deferred.size() < this->settings.documentServeLimit) {
      this->deferred.push_back({ aFrom, aRequest });
    } else {
      this->SendReferral(
        aFrom,
        aRequest,
        this->deferred[this->nextReferral++ % this->deferred.size()].name);
    }
    return;
  }
  if (this->TrySendPatch(aFrom, aRequest)) {
    return;
  }
  const core::TimePoint current = this->now();
  std::erase_if(this->recipients, [&](const Recipient& aRecipient) {
    return current - aRecipient.sentAt > kServePeriod;
  });
  if (this->recipients.size() < this->settings.documentServeLimit ||
      aRequest.insist) {
    this->SendDocument(aFrom, aRequest);
    return;
  }
  this->SendReferral(
    aFrom,
    aRequest,
    this->recipients[this->nextReferral++ % this->recipients.size()].name);
}

void
DocumentDistributor::Receive(const std::string& aFrom,
                             const DesiredResponse& aResponse)
{
  const bool isAwaited =
    this->pending && this->pending->id == aResponse.requestId;
  if (aResponse.version > this->status.held &&
      (this->status.held != 0 || aResponse.version >= this->newestSeen)) {
    if (auto document = this->ReconstructDocument(aResponse)) {
      this->Accept(aResponse.version, std::move(*document), false);
      return;
    }
    this->wantsWholeDocument = true;
  }
  if (!isAwaited) {
    return;
  }
  this->pending.reset();
  if (aResponse.version == 0 && !aResponse.askInstead.empty() &&
      aResponse.askInstead != this->state.Self().name &&
      this->state.FindOrigin(aResponse.askInstead) != nullptr) {
    this->RequestFrom(aResponse.askInstead);
  } else {
    this->lastFailedPeer = aFrom;
  }
}

} // namespace fireflytrail::gossip
