#include "gossip/DesiredStateSpread.h"

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

// A late response is accepted all the same. With 700 ms and 20 % message loss
// a change took up to 13.6 s at 100 hosts.
constexpr auto kRequestTimeout = 300ms;

// A daemon sends the document to `documentServeLimit` peers within this time
// and refers others to them, which makes a tree with this fan-out.
constexpr auto kServePeriod = 3s;

// Larger patches count like documents.
constexpr std::size_t kSmallPatch = 2048;

// The store holds values of up to 1 MB.
constexpr std::size_t kMaxDocumentSize = std::size_t{ 1024 } * 1024;

// After this many failed or referred requests the next one insists.
constexpr unsigned kInsistAfter = 8;

constexpr std::size_t kStatusSize = 24;

void
AppendNumber(std::string& aBytes, std::uint64_t aNumber)
{
  for (int shift = 0; shift < 64; shift += 8) {
    aBytes += static_cast<char>((aNumber >> shift) & 0xff);
  }
}

std::uint64_t
NumberAt(std::string_view aBytes, std::size_t aOffset)
{
  std::uint64_t number = 0;
  for (std::size_t index = 8; index > 0; --index) {
    number =
      (number << 8) | static_cast<unsigned char>(aBytes[aOffset + index - 1]);
  }
  return number;
}

} // namespace

DesiredStateSpread::DesiredStateSpread(DocumentKind aKind,
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
DesiredStateSpread::EncodeStatus(const DesiredStatus& aStatus)
{
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
    aStatus.since.time_since_epoch());
  std::string value;
  value.reserve(kStatusSize);
  AppendNumber(value, aStatus.held);
  AppendNumber(value, aStatus.inForce);
  AppendNumber(value, static_cast<std::uint64_t>(since.count()));
  return value;
}

std::optional<DesiredStatus>
DesiredStateSpread::DecodeStatus(std::string_view aValue)
{
  if (aValue.size() != kStatusSize) {
    return std::nullopt;
  }
  DesiredStatus status;
  status.held = NumberAt(aValue, 0);
  status.inForce = NumberAt(aValue, 8);
  status.since = core::WallTimePoint(
    std::chrono::milliseconds(static_cast<std::int64_t>(NumberAt(aValue, 16))));
  return status;
}

std::optional<DesiredStatus>
DesiredStateSpread::StatusOf(std::string_view aName) const
{
  const Record* record = this->state.FindRecord(aName, RecordKeyOf(this->kind));
  return record == nullptr ? std::nullopt : DecodeStatus(record->value);
}

void
DesiredStateSpread::NoteRecord(const Record& aRecord)
{
  if (aRecord.key != RecordKeyOf(this->kind)) {
    return;
  }
  if (const auto noted = DecodeStatus(aRecord.value)) {
    if (noted->held > this->newestSeen) {
      this->newestSeen = noted->held;
      this->attempts = 0;
      this->lastFailed.clear();
    }
  }
}

bool
DesiredStateSpread::OfferFromStore(std::uint64_t aVersion,
                                   std::string aDocument)
{
  if (aVersion <= this->status.held || aVersion < this->newestSeen) {
    return false;
  }
  // If another daemon announced the version before, a push would be repeated.
  const bool isNews = aVersion > this->newestSeen;
  this->Accept(aVersion, std::move(aDocument), isNews);
  return true;
}

void
DesiredStateSpread::Accept(std::uint64_t aVersion,
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
  this->lastFailed.clear();
  this->served.clear();
  this->isAccepting = true;
  this->accepted(this->status.held, this->document);
  this->isAccepting = false;
  const std::string value = EncodeStatus(this->status);
  if (aIsUrgent) {
    this->exchanger.PublishUrgent(RecordKeyOf(this->kind), value);
  } else {
    this->state.SetRecord(RecordKeyOf(this->kind), value);
  }
  for (const Waiting& entry : std::exchange(this->waiting, {})) {
    if (!this->RespondWithPatch(entry.name, entry.request)) {
      this->Respond(entry.name, entry.request);
    }
  }
}

void
DesiredStateSpread::ConfirmInForce(std::uint64_t aVersion)
{
  if (aVersion <= this->status.inForce) {
    return;
  }
  this->status.inForce = aVersion;
  this->status.since = this->wallNow();
  // While a document is being accepted, its record is written only once.
  if (!this->isAccepting) {
    this->state.SetRecord(RecordKeyOf(this->kind), EncodeStatus(this->status));
  }
}

std::optional<std::string>
DesiredStateSpread::ChooseHolder()
{
  std::vector<std::string> holders;
  std::uint64_t best = this->status.held;
  // Before the first document only the newest version seen will do.
  const std::uint64_t lowest =
    this->status.held == 0 ? this->newestSeen : this->status.held + 1;
  for (const auto& [name, origin] : this->state.Origins()) {
    const auto noted = this->StatusOf(name);
    if (name == this->state.Self().name || name == this->lastFailed || !noted ||
        noted->held < lowest || noted->held < best ||
        this->membership.StateOf(name) == MemberState::Dead) {
      continue;
    }
    if (noted->held > best) {
      best = noted->held;
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
DesiredStateSpread::PeerFor(const std::string& aName) const
{
  return this->membership.PeerOf(aName).value_or(Peer{ aName, "" });
}

void
DesiredStateSpread::RequestFrom(const std::string& aName)
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
DesiredStateSpread::Tick()
{
  if (this->pending && this->now() >= this->pending->deadline) {
    this->lastFailed = this->pending->peer;
    this->pending.reset();
  }
  if (this->pending || this->newestSeen <= this->status.held ||
      (this->status.held == 0 && !this->exchanger.HasBroadView())) {
    return;
  }
  if (const auto holder = this->ChooseHolder()) {
    this->RequestFrom(*holder);
  } else {
    // The last peer may be the only holder: it is asked again.
    this->lastFailed.clear();
  }
}

void
DesiredStateSpread::Refer(const std::string& aTo,
                          const DesiredRequest& aRequest,
                          std::string aInstead)
{
  DesiredResponse response;
  response.kind = this->kind;
  response.requestId = aRequest.requestId;
  if (aInstead != aTo) {
    response.askInstead = std::move(aInstead);
  }
  this->send(this->PeerFor(aTo), response);
}

void
DesiredStateSpread::Respond(const std::string& aTo,
                            const DesiredRequest& aRequest)
{
  DesiredResponse response;
  response.kind = this->kind;
  response.requestId = aRequest.requestId;
  response.version = this->status.held;
  response.document = this->document;
  response.documentHash = core::HashOf(this->document);
  this->served.push_back({ aTo, this->now() });
  this->send(this->PeerFor(aTo), response);
}

bool
DesiredStateSpread::RespondWithPatch(const std::string& aTo,
                                     const DesiredRequest& aRequest)
{
  if (!this->settings.sendsPatches || aRequest.haveVersion == 0 ||
      aRequest.haveVersion != this->previousVersion) {
    return false;
  }
  if (!this->patch) {
    this->patch = DocumentPatch::Make(this->previousDocument, this->document);
  }
  if (DocumentPatch::EncodedSize(*this->patch) > kSmallPatch) {
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
DesiredStateSpread::DocumentOf(const DesiredResponse& aResponse) const
{
  std::optional<std::string> made;
  if (aResponse.patchBase == 0) {
    made = aResponse.document;
  } else if (aResponse.patchBase == this->status.held) {
    made =
      DocumentPatch::Apply(this->document, aResponse.patch, kMaxDocumentSize);
  }
  if (made && core::HashOf(*made) != aResponse.documentHash) {
    made.reset();
  }
  return made;
}

void
DesiredStateSpread::Receive(const std::string& aFrom,
                            const DesiredRequest& aRequest)
{
  if (this->status.held < aRequest.version) {
    if (!this->pending) {
      this->Refer(aFrom, aRequest, "");
    } else if (this->waiting.size() < this->settings.documentServeLimit) {
      this->waiting.push_back({ aFrom, aRequest });
    } else {
      this->Refer(aFrom,
                  aRequest,
                  this->waiting[this->referTurn++ % this->waiting.size()].name);
    }
    return;
  }
  if (this->RespondWithPatch(aFrom, aRequest)) {
    return;
  }
  const core::TimePoint current = this->now();
  std::erase_if(this->served, [&](const Served& aServed) {
    return current - aServed.at > kServePeriod;
  });
  if (this->served.size() < this->settings.documentServeLimit ||
      aRequest.insist) {
    this->Respond(aFrom, aRequest);
    return;
  }
  this->Refer(aFrom,
              aRequest,
              this->served[this->referTurn++ % this->served.size()].name);
}

void
DesiredStateSpread::Receive(const std::string& aFrom,
                            const DesiredResponse& aResponse)
{
  const bool isAwaited =
    this->pending && this->pending->id == aResponse.requestId;
  if (aResponse.version > this->status.held &&
      (this->status.held != 0 || aResponse.version >= this->newestSeen)) {
    if (auto document = this->DocumentOf(aResponse)) {
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
    this->lastFailed = aFrom;
  }
}

} // namespace fireflytrail::gossip
