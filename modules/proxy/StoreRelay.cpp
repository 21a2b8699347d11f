#include "proxy/StoreRelay.h"

#include "core/Hash.h"
#include "store/StoreRevision.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <functional>
#include <limits>
#include <tuple>
#include <utility>

namespace fireflytrail::proxy {

using store::ObjectRecord;

namespace {

// Time after which a request without an answer is repeated. The slowest links
// take 0.3 s for the whole of a large object, and each repetition would add
// another copy to the queue.
constexpr std::chrono::milliseconds kRequestTimeout{ 500 };

// Time by which a push may arrive later than the heartbeat of another daemon
// that already has the same change.
constexpr std::chrono::milliseconds kPushLagAllowance{ 100 };

// Time for which a daemon that lost the store is not expected to take over.
constexpr std::chrono::seconds kLostStoreTime{ 10 };

// Interval at which kinds that are held back after the start are checked.
constexpr std::chrono::milliseconds kHoldCheckInterval{ 50 };

// Shortest time between two calls of `Tick` that are asked for.
constexpr std::chrono::milliseconds kShortestTick{ 10 };

// Time for which the objects of a kind may differ from those of a watching
// daemon at the same revision: the update with a deletion may come later than
// the heartbeat of a daemon that knows it. Two daemons that watch read it at
// different times.
constexpr std::chrono::milliseconds kDifferenceAllowance{ 150 };
constexpr std::chrono::milliseconds kWatcherDifferenceAllowance{ 1000 };

// Time between two lists of a kind whose objects differ between daemons that
// watch. It doubles, like that between two requests for all objects, while the
// difference lasts.
constexpr std::chrono::milliseconds kRelistInterval{ 5000 };
constexpr unsigned kMaxDoublings = 5;

// Time in which a newly started daemon waits for its own lists before it
// requests all objects from others, which are up to 100 KB.
constexpr std::chrono::milliseconds kOwnListGracePeriod{ 1000 };

// Daemons of each other failure domain that forward a change there: one may
// have stopped unnoticed. A change that both miss is requested after the next
// heartbeat.
constexpr std::size_t kForwardersPerDomain = 2;

// Updates above this size are forwarded by strong hosts only: a weak one would
// need seconds to send them to the thirty hosts of its domain.
constexpr std::size_t kLargeUpdateBytes = std::size_t{ 16 } << 10;

// Requests for the same missing change of which the last goes to the daemon
// that is known to have it, if the strong hosts of the failure domain do not
// deliver.
constexpr unsigned kRequestsPerFarOne = 3;

// Time after its start before which a daemon does not begin to watch. Strong
// hosts know of each other by then, and the first of them have begun before
// weak ones, which learn of them later.
constexpr std::chrono::milliseconds kStrongStartDelay{ 600 };
constexpr std::chrono::milliseconds kWeakStartDelay{ 2500 };

// Base of an update of which an object could not be read, so that it does not
// count as complete.
constexpr std::uint64_t kUnknownBase =
  std::numeric_limits<std::uint64_t>::max();

/** Returns the approximate size of an update in bytes. */
std::size_t
SizeOf(const wire::StoreNews& aUpdate)
{
  std::size_t size = 0;
  for (const wire::KindNews& part : aUpdate.kinds) {
    for (const wire::NewsObject& object : part.objects) {
      size += object.name.size() + object.content.size() +
              gossip::DocumentPatch::EncodedSize(object.patch);
    }
  }
  return size;
}

/** Rank of a daemon in the order of watchers: greater comes first. */
std::tuple<bool, std::uint64_t, std::string_view>
RankOf(std::string_view aName, bool aIsStrong)
{
  return { aIsStrong, core::RendezvousWeight("store", aName), aName };
}

} // namespace

StoreRelay::StoreRelay(PeerHost aSelf,
                       std::vector<std::string> aKinds,
                       StoreRelayHooks aHooks)
  : self(std::move(aSelf))
  , kinds(std::move(aKinds))
  , hooks(std::move(aHooks))
  , hold(this->hooks.now, this->kinds)
{
  assert(this->hooks.peers);
  assert(this->hooks.now && this->hooks.broadcast && this->hooks.send);
  assert(this->hooks.onObjects && this->hooks.onRevision);
  assert(this->hooks.lastAnswerTime && this->hooks.onOutageEnded);
  this->startedAt = this->hooks.now();
  this->lastContact = this->startedAt;
  this->takeoverDelayStart = this->startedAt;
}

void
StoreRelay::Start(const std::vector<std::string>& aPeers)
{
  this->hold.Start();
  if (aPeers.empty()) {
    this->hold.OnNoWatchers();
  }
  this->unanswered.insert(aPeers.begin(), aPeers.end());
  for (const std::string& peer : aPeers) {
    this->hooks.send(peer, this->MakeQuestion());
  }
}

void
StoreRelay::OnListed(const std::string& aKind,
                     std::uint64_t aRevision,
                     std::vector<ObjectRecord> aObjects)
{
  const std::uint64_t base = this->replica.CompleteRevision(aKind);
  this->OnListApplied(
    aKind,
    base,
    this->replica.ReplaceAll(aKind, aRevision, std::move(aObjects)));
}

void
StoreRelay::OnPartlyListed(const std::string& aKind,
                           std::uint64_t aRevision,
                           std::vector<ObjectRecord> aObjects)
{
  const std::uint64_t base = this->replica.CompleteRevision(aKind);
  this->OnListApplied(
    aKind,
    base,
    this->replica.AddListed(aKind, aRevision, std::move(aObjects)));
}

void
StoreRelay::OnListApplied(const std::string& aKind,
                          std::uint64_t aBase,
                          const std::vector<ObjectRecord>& aChanged)
{
  // After a return of the store from an older copy, the changes alone do not
  // make the kind of another daemon complete: it requests the whole.
  if (aBase != 0 && store::EraOf(aBase) == this->KnownEra(aKind)) {
    this->Push(aKind, aBase, aChanged);
  }
  this->KeepContents(aChanged);
  this->Deliver(aKind, aChanged);
}

void
StoreRelay::OnWatched(const std::string& aKind,
                      std::vector<ObjectRecord> aObjects)
{
  // This daemon's own watch misses nothing, so the changes follow the last
  // known one.
  const std::uint64_t base = this->replica.CompleteRevision(aKind);
  const auto changed = this->replica.Apply(aKind, base, std::move(aObjects));
  if (changed.empty()) {
    return;
  }
  if (std::ranges::all_of(changed, [base](const ObjectRecord& aObject) {
        return store::EraOf(aObject.revision) == store::EraOf(base);
      })) {
    this->Push(aKind, base, changed);
  }
  this->KeepContents(changed);
  this->Deliver(aKind, changed);
}

void
StoreRelay::OnConfirmed(const std::string& aKind, std::uint64_t aRevision)
{
  this->hold.OnConfirmed(aKind);
  Agreement& agreement = this->agreements[aKind];
  agreement.isComplete = true;
  agreement.completeUpTo = std::max(agreement.completeUpTo, aRevision);
  this->replica.NoteReadUpTo(aKind, aRevision);
  this->TryRelease(aKind);
}

void
StoreRelay::Deliver(const std::string& aKind,
                    const std::vector<ObjectRecord>& aChanged)
{
  if (!this->hold.IsHeld(aKind)) {
    std::uint64_t era = this->KnownEra(aKind);
    for (const ObjectRecord& object : aChanged) {
      era = std::max(era, store::EraOf(object.revision));
    }
    const auto [delivered, isFirst] =
      this->deliveredEras.try_emplace(aKind, era);
    if (std::exchange(delivered->second, era) < era && !isFirst &&
        this->hooks.onOlderCopy) {
      this->hooks.onOlderCopy(aKind, era);
    }
    this->hooks.onObjects(aKind, aChanged);
    return;
  }
  this->TryRelease(aKind);
  const std::string& source = this->hold.SourceOf(aKind);
  if (this->hold.IsHeld(aKind) && !source.empty()) {
    this->RequestIfBehind(source, aKind, this->hold.HighestRevision(aKind));
  }
}

void
StoreRelay::TryRelease(const std::string& aKind)
{
  if (!this->replica.IsListed(aKind) ||
      !this->hold.TryRelease(aKind, this->KnownOf(aKind))) {
    return;
  }
  if (this->hooks.onReleased) {
    this->hooks.onReleased(aKind, this->hold.IsConfirmed(aKind));
  }
  this->deliveredEras[aKind] = this->KnownEra(aKind);
  this->hooks.onObjects(aKind, this->replica.Objects(aKind));
}

StartupHold::Known
StoreRelay::KnownOf(const std::string& aKind) const
{
  return { this->replica.CompleteRevision(aKind), this->replica.Digest(aKind) };
}

void
StoreRelay::OnUpdate(const std::string& aFrom, const wire::StoreNews& aUpdate)
{
  if (aUpdate.isForwardRequested) {
    wire::StoreNews update = aUpdate;
    update.isForwardRequested = false;
    this->SendInDomain(update, aFrom);
  }
  for (const wire::KindNews& part : aUpdate.kinds) {
    if (this->IsKnownKind(part.kind)) {
      this->ApplyKindUpdate(aFrom, part);
    }
  }
}

void
StoreRelay::OnHeartbeat(const std::string& aFrom,
                        const wire::StoreBeat& aHeartbeat)
{
  if (aHeartbeat.isAsking && aHeartbeat.isReferral) {
    this->OnReferral(aFrom, aHeartbeat);
    return;
  }
  if (aHeartbeat.isAsking) {
    this->listeners[aFrom] = this->hooks.now();
    if (this->hasReportedStoreAvailable) {
      this->hooks.send(aFrom, this->MakeHeartbeat());
    } else if (aHeartbeat.wantsReferral) {
      this->hooks.send(aFrom, this->MakeReferral());
    }
    return;
  }
  this->UpdateTakeoverDelay();
  if (this->IsOfEarlierEra(aHeartbeat)) {
    return;
  }
  this->watchers[aFrom] = { this->hooks.now(),
                            aHeartbeat.isLost,
                            aHeartbeat.isStrong };
  if (aHeartbeat.isLost) {
    this->isOutageReported = true;
    this->lostStoreAt[aFrom] = this->hooks.now();
  } else {
    this->lostStoreAt.erase(aFrom);
    this->NoteContact(this->hooks.now());
  }
  this->UpdateTakeoverDelay();
  this->AlignHeartbeat(aFrom);
  this->AskUnheardWatchers(aHeartbeat.watching);
  this->CompareRevisions(aFrom, aHeartbeat, !aHeartbeat.isLost);
}

void
StoreRelay::OnReferral(const std::string& aFrom,
                       const wire::StoreBeat& aReferral)
{
  this->AskUnheardWatchers(aReferral.watching);
  this->CompareRevisions(aFrom, aReferral, false);
  if (aReferral.watching.empty() && this->unanswered.erase(aFrom) > 0 &&
      this->unanswered.empty()) {
    this->hold.OnNoWatchers();
    for (const std::string& kind : this->kinds) {
      this->TryRelease(kind);
    }
  }
}

bool
StoreRelay::IsOfEarlierEra(const wire::StoreBeat& aHeartbeat) const
{
  const std::size_t count =
    std::min(aHeartbeat.lastRevisions.size(), this->kinds.size());
  for (std::size_t index = 0; index < count; ++index) {
    const std::uint64_t revision = aHeartbeat.lastRevisions[index];
    // A daemon that has not listed a kind yet may watch.
    if (revision != 0 &&
        store::EraOf(revision) < this->KnownEra(this->kinds[index])) {
      return true;
    }
  }
  return false;
}

std::uint64_t
StoreRelay::KnownEra(const std::string& aKind) const
{
  return store::EraOf(this->replica.CompleteRevision(aKind));
}

void
StoreRelay::CompareRevisions(const std::string& aFrom,
                             const wire::StoreBeat& aHeartbeat,
                             bool aIsWatching)
{
  const std::size_t count =
    std::min(aHeartbeat.lastRevisions.size(), this->kinds.size());
  for (std::size_t index = 0; index < count; ++index) {
    const std::string& kind = this->kinds[index];
    const std::uint64_t revision = aHeartbeat.lastRevisions[index];
    std::optional<std::uint64_t> digest;
    if (index < aHeartbeat.digests.size()) {
      digest = aHeartbeat.digests[index];
    }
    if (aIsWatching && digest != 0) {
      this->hold.OnWatcherState(kind, aFrom, revision, digest);
    } else {
      this->hold.OnOtherRevision(kind, aFrom, revision);
    }
    this->TryRelease(kind);
    this->RequestIfBehind(aFrom, kind, revision);
    if (aIsWatching && digest && *digest != 0) {
      this->CompareDigest(aFrom, kind, revision, *digest);
    }
  }
}

void
StoreRelay::CompareDigest(const std::string& aFrom,
                          const std::string& aKind,
                          std::uint64_t aRevision,
                          std::uint64_t aDigest)
{
  const std::uint64_t known = this->replica.CompleteRevision(aKind);
  // What is newer here than at the sender may have been deleted.
  if (!this->replica.IsListed(aKind) || known < aRevision ||
      store::EraOf(known) != store::EraOf(aRevision)) {
    return;
  }
  const core::TimePoint now = this->hooks.now();
  Agreement& agreement = this->agreements[aKind];
  const bool isWatching = this->hasReportedStoreAvailable;
  if (this->replica.Digest(aKind) == aDigest) {
    agreement.isComplete = true;
    agreement.requests = 0;
    if (isWatching) {
      agreement.differentSince.erase(aFrom);
    } else {
      // The watching daemons that differ from each other list again.
      agreement.differentSince.clear();
    }
    if (this->hooks.onComplete) {
      this->hooks.onComplete(aKind);
    }
    return;
  }
  const auto since =
    agreement.differentSince.try_emplace(aFrom, now).first->second;
  const auto allowance =
    isWatching ? kWatcherDifferenceAllowance : kDifferenceAllowance;
  if (now - since >= allowance && now >= agreement.retryAt) {
    this->OnDifference(aFrom, aKind);
  }
}

void
StoreRelay::OnDifference(const std::string& aFrom, const std::string& aKind)
{
  const core::TimePoint now = this->hooks.now();
  Agreement& agreement = this->agreements[aKind];
  agreement.isComplete = false;
  const bool mustList = this->hasReportedStoreAvailable;
  const unsigned doublings = std::min(agreement.requests, kMaxDoublings);
  ++agreement.requests;
  agreement.retryAt =
    now + (mustList ? kRelistInterval : kRequestTimeout) * (1 << doublings);
  if (!mustList) {
    this->hooks.send(
      this->SourceFor(aFrom, agreement.requests),
      wire::StoreNewsRequest{ .kind = aKind,
                              .since = this->replica.CompleteRevision(aKind),
                              .mustBeComplete = true });
  }
  if (this->hooks.onDifference) {
    this->hooks.onDifference(aKind, mustList);
  }
}

void
StoreRelay::OnUpdateRequest(const std::string& aFrom,
                            const wire::StoreNewsRequest& aRequest)
{
  // The sender asks others, too, some of which follow a later era already.
  if (!this->replica.IsListed(aRequest.kind) ||
      store::EraOf(aRequest.since) > this->KnownEra(aRequest.kind)) {
    return;
  }
  const Agreement& agreement = this->agreements[aRequest.kind];
  if (aRequest.mustBeComplete &&
      (!agreement.isComplete || this->replica.IsPartial(aRequest.kind) ||
       agreement.completeUpTo < aRequest.since)) {
    return;
  }
  // Changes do not tell which objects of an earlier era are gone.
  const bool isSnapshot =
    aRequest.since == 0 || aRequest.mustBeComplete ||
    store::EraOf(aRequest.since) != this->KnownEra(aRequest.kind);
  wire::KindNews update = this->MakeKindUpdate(aRequest.kind, aRequest.since);
  update.isSnapshot = isSnapshot;
  if (aRequest.mustBeComplete) {
    // The receiver may know what is newer than the last change, and gone.
    update.revision = std::max(update.revision, agreement.completeUpTo);
  }
  for (const ObjectRecord& object :
       isSnapshot ? this->replica.Objects(aRequest.kind)
                  : this->replica.ChangesSince(aRequest.kind, aRequest.since)) {
    update.objects.push_back(this->contents.Write(object));
  }
  this->hooks.send(aFrom, wire::StoreNews{ { std::move(update) } });
}

void
StoreRelay::Tick()
{
  this->UpdateTakeoverDelay();
  const core::TimePoint now = this->hooks.now();
  for (const std::string& kind : this->kinds) {
    this->TryRelease(kind);
  }
  this->RequestOverdueChanges();
  std::erase_if(this->watchers, [now](const auto& aWatcher) {
    return now - aWatcher.second.lastHeartbeatAt > kHeartbeatTimeout;
  });
  std::erase_if(this->lostStoreAt, [now](const auto& aEntry) {
    return now - aEntry.second > kLostStoreTime;
  });
  const bool isStoreAvailable = this->IsStoreAvailable();
  if (isStoreAvailable) {
    this->NoteContact(*this->hooks.lastAnswerTime());
  }
  const bool wasReported = this->hasReportedStoreAvailable;
  const bool isNewlyLost = !isStoreAvailable && wasReported;
  this->hasReportedStoreAvailable = isStoreAvailable && this->ShouldWatch();
  const bool isDue = this->hasReportedStoreAvailable &&
                     (!wasReported || now >= this->nextHeartbeatAt);
  if (isDue || isNewlyLost) {
    this->nextHeartbeatAt = now + kHeartbeatInterval;
    this->SendHeartbeat(this->MakeHeartbeat());
  }
  // A daemon may be missing in the lists of the watching daemons for as long as
  // it takes the fleet to learn of it. The first of them that it hears names
  // the others.
  if (this->watchers.empty() && !this->hasReportedStoreAvailable &&
      !isNewlyLost && now - this->startedAt >= kAskDelay &&
      now >= this->nextQuestionAt) {
    this->nextQuestionAt = now + kHeartbeatInterval;
    this->AskForHeartbeats();
  }
}

core::TimePoint
StoreRelay::NextDue() const
{
  const core::TimePoint now = this->hooks.now();
  core::TimePoint due = now + kHeartbeatInterval;
  if (this->hasReportedStoreAvailable) {
    due = std::min(due, this->nextHeartbeatAt);
  } else if (!this->ShouldWatch() && !this->hadEnoughWatchers) {
    due = std::min(due,
                   std::max(this->StartOfWatching(),
                            this->takeoverDelayStart + this->TakeoverDelay()));
  }
  if (const core::TimePoint silenceDue = this->SilenceDue(); silenceDue > now) {
    due = std::min(due, silenceDue);
  }
  if (this->hold.IsAnyHeld()) {
    due = std::min(due, now + kHoldCheckInterval);
  }
  for (const auto& [kind, gap] : this->gaps) {
    if (gap.missingRevision > this->replica.CompleteRevision(kind)) {
      due = std::min(due, this->RequestDue(kind, gap));
    }
  }
  return std::max(due, now + kShortestTick);
}

core::TimePoint
StoreRelay::RequestDue(const std::string& aKind, const Gap& aGap) const
{
  const core::TimePoint due = aGap.since + kPushLagAllowance;
  const auto requested = this->requestedAt.find(aKind);
  return requested == this->requestedAt.end()
           ? due
           : std::max(due, requested->second + kRequestTimeout);
}

void
StoreRelay::RequestOverdueChanges()
{
  const core::TimePoint now = this->hooks.now();
  std::erase_if(this->gaps, [this](const auto& aEntry) {
    return aEntry.second.missingRevision <=
           this->replica.CompleteRevision(aEntry.first);
  });
  for (const auto& [kind, gap] : this->gaps) {
    if (!this->hold.IsHeld(kind) && now >= this->RequestDue(kind, gap)) {
      this->RequestIfBehind(std::string(gap.source), kind, gap.missingRevision);
    }
  }
}

wire::StoreBeat
StoreRelay::MakeHeartbeat() const
{
  wire::StoreBeat heartbeat;
  heartbeat.isLost = !this->IsStoreAvailable();
  heartbeat.isStrong = this->self.isStrong;
  for (const std::string& kind : this->kinds) {
    heartbeat.lastRevisions.push_back(this->replica.CompleteRevision(kind));
    const auto agreement = this->agreements.find(kind);
    const bool isComplete = agreement != this->agreements.end() &&
                            agreement->second.isComplete &&
                            !this->replica.IsPartial(kind);
    heartbeat.digests.push_back(isComplete ? this->replica.Digest(kind) : 0);
  }
  for (const auto& [name, watcher] : this->watchers) {
    if (!watcher.isStoreUnavailable &&
        heartbeat.watching.size() < kWatcherCount) {
      heartbeat.watching.push_back(name);
    }
  }
  return heartbeat;
}

void
StoreRelay::AskUnheardWatchers(const std::vector<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    if (name != this->self.name && !this->watchers.contains(name)) {
      this->hooks.send(name, this->MakeQuestion());
    }
  }
}

wire::StoreBeat
StoreRelay::MakeQuestion() const
{
  wire::StoreBeat question;
  // Daemons of an older version take the question for a heartbeat.
  question.isLost = true;
  question.isAsking = true;
  question.wantsReferral =
    this->hold.IsAnyHeld() ||
    !std::ranges::all_of(this->kinds, [this](const std::string& aKind) {
      return this->replica.IsListed(aKind);
    });
  return question;
}

wire::StoreBeat
StoreRelay::MakeReferral() const
{
  wire::StoreBeat referral = this->MakeHeartbeat();
  referral.isLost = true;
  // Daemons of an older version take the referral for a question.
  referral.isAsking = true;
  referral.isReferral = true;
  referral.digests.clear();
  return referral;
}

void
StoreRelay::SendHeartbeat(const wire::StoreBeat& aHeartbeat)
{
  this->hooks.broadcast(aHeartbeat);
  const core::TimePoint now = this->hooks.now();
  std::erase_if(this->listeners, [now](const auto& aListener) {
    return now - aListener.second > kListenerTime;
  });
  if (this->listeners.empty()) {
    return;
  }
  const std::vector<PeerHost> peers = this->hooks.peers();
  for (const auto& [name, askedAt] : this->listeners) {
    if (std::ranges::find(peers, name, &PeerHost::name) == peers.end()) {
      this->hooks.send(name, aHeartbeat);
    }
  }
}

void
StoreRelay::AskForHeartbeats()
{
  std::vector<PeerHost> peers = this->hooks.peers();
  const std::size_t count = std::min(kAskedDaemons, peers.size());
  std::ranges::partial_sort(
    peers,
    peers.begin() + static_cast<std::ptrdiff_t>(count),
    std::ranges::greater(),
    [](const PeerHost& aPeer) { return RankOf(aPeer.name, aPeer.isStrong); });
  for (std::size_t index = 0; index < count; ++index) {
    this->hooks.send(peers[index].name, this->MakeQuestion());
  }
}

bool
StoreRelay::ShouldWatch() const
{
  const core::TimePoint now = this->hooks.now();
  return now >= this->StartOfWatching() && !this->hadEnoughWatchers &&
         this->CountWatchersAhead() < kWatcherCount &&
         now - this->takeoverDelayStart >= this->TakeoverDelay();
}

core::TimePoint
StoreRelay::StartOfWatching() const
{
  constexpr double kRange =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const auto rank = RankOf(this->self.name, this->self.isStrong);
  // The first of the order begin first.
  const double position = static_cast<double>(std::get<1>(rank)) / kRange;
  const std::chrono::duration<double> firstDelay =
    this->self.isStrong ? kStrongStartDelay : kWeakStartDelay;
  return this->startedAt +
         std::chrono::duration_cast<core::TimePoint::duration>(
           firstDelay +
           std::chrono::duration<double>(kStartSpread) * (1 - position));
}

void
StoreRelay::OnStoreLost()
{
  this->isOutageReported = true;
}

void
StoreRelay::OnStoreRegained()
{
  this->takeoverDelayStart = this->hooks.now();
  this->NoteContact(this->hooks.now());
}

void
StoreRelay::NoteContact(core::TimePoint aTime)
{
  if (aTime < this->lastContact) {
    return;
  }
  const auto outage = aTime - std::exchange(this->lastContact, aTime);
  if (std::exchange(this->isOutageReported, false)) {
    this->hooks.onOutageEnded(outage);
  }
}

std::optional<std::chrono::nanoseconds>
StoreRelay::Staleness() const
{
  std::optional<core::TimePoint> latest = this->hooks.lastAnswerTime();
  for (const auto& [name, watcher] : this->watchers) {
    if (!watcher.isStoreUnavailable) {
      latest = latest ? std::max(*latest, watcher.lastHeartbeatAt)
                      : watcher.lastHeartbeatAt;
    }
  }
  if (!latest) {
    return std::nullopt;
  }
  return this->hooks.now() - *latest;
}

std::size_t
StoreRelay::CountWatchersAhead() const
{
  return this->hooks.now() >= this->SilenceDue()
           ? 0
           : this->LastHeardAhead().second;
}

std::pair<core::TimePoint, std::size_t>
StoreRelay::LastHeardAhead() const
{
  const core::TimePoint now = this->hooks.now();
  const auto ownRank = RankOf(this->self.name, this->self.isStrong);
  std::pair<core::TimePoint, std::size_t> heard{ core::TimePoint{}, 0 };
  for (const auto& [name, watcher] : this->watchers) {
    if (!watcher.isStoreUnavailable &&
        now - watcher.lastHeartbeatAt <= kHeartbeatTimeout &&
        RankOf(name, watcher.isStrong) > ownRank) {
      heard.first = std::max(heard.first, watcher.lastHeartbeatAt);
      ++heard.second;
    }
  }
  return heard;
}

core::TimePoint
StoreRelay::SilenceDue() const
{
  const auto [lastHeardAt, count] = this->LastHeardAhead();
  // The heartbeats of several daemons are spread evenly; see `AlignHeartbeat`.
  return count == 0 ? core::TimePoint{}
                    : lastHeardAt + kSilenceMargin +
                        kHeartbeatInterval / static_cast<int>(count);
}

std::size_t
StoreRelay::CountCandidatesAhead() const
{
  const auto ownRank = RankOf(this->self.name, this->self.isStrong);
  const std::vector<PeerHost> peers = this->hooks.peers();
  return static_cast<std::size_t>(
    std::ranges::count_if(peers, [&](const PeerHost& aPeer) {
      // Those that were heard watch already, do not reach the store or are as
      // silent as the rest.
      return RankOf(aPeer.name, aPeer.isStrong) > ownRank &&
             !this->watchers.contains(aPeer.name) &&
             !this->lostStoreAt.contains(aPeer.name);
    }));
}

std::chrono::nanoseconds
StoreRelay::TakeoverDelay() const
{
  const std::size_t ahead = this->CountCandidatesAhead();
  if (!this->IsAfterLoss()) {
    return static_cast<int>(ahead) * kTakeoverInterval;
  }
  // The candidates may have been lost together with the watching daemons. Only
  // the first of them hurry: the store may not answer any.
  const std::size_t hurrying = std::min(ahead, kHurryingCandidates);
  const double doublings = std::log2(1 + static_cast<double>(hurrying));
  return std::chrono::duration_cast<std::chrono::nanoseconds>(doublings *
                                                              kTakeoverStep) +
         static_cast<int>(ahead - hurrying) * kTakeoverInterval;
}

void
StoreRelay::UpdateTakeoverDelay()
{
  const core::TimePoint now = this->hooks.now();
  const bool isSilent =
    this->LastHeardAhead().second > 0 && now >= this->SilenceDue();
  const bool hasEnough = this->CountWatchersAhead() >= kWatcherCount;
  if (hasEnough || this->hadEnoughWatchers) {
    this->takeoverDelayStart = now;
  }
  if (isSilent && !this->wasSilent) {
    this->takeoverDelayStart = now;
    const auto ownRank = RankOf(this->self.name, this->self.isStrong);
    const bool isLowerHeard =
      std::ranges::any_of(this->watchers, [&](const auto& aEntry) {
        const auto& [name, watcher] = aEntry;
        return !watcher.isStoreUnavailable &&
               now - watcher.lastHeartbeatAt <
                 kHeartbeatInterval + kSilenceMargin &&
               RankOf(name, watcher.isStrong) < ownRank;
      });
    if (!isLowerHeard) {
      this->lossAt = now;
    }
  }
  this->hadEnoughWatchers = hasEnough;
  this->wasSilent = isSilent;
}

bool
StoreRelay::IsAfterLoss() const
{
  return this->lossAt && this->hooks.now() - *this->lossAt < kLossTime;
}

void
StoreRelay::AlignHeartbeat(const std::string& aFrom)
{
  if (!this->hasReportedStoreAvailable) {
    return;
  }
  const auto rank = RankOf(aFrom, this->watchers.at(aFrom).isStrong);
  const bool isFirst =
    std::ranges::none_of(this->watchers, [&rank](const auto& aWatcher) {
      return !aWatcher.second.isStoreUnavailable &&
             RankOf(aWatcher.first, aWatcher.second.isStrong) > rank;
    });
  const std::size_t ahead = this->CountWatchersAhead();
  if (isFirst && ahead > 0 && ahead < kWatcherCount) {
    this->nextHeartbeatAt =
      this->hooks.now() + static_cast<int>(ahead) * kHeartbeatInterval /
                            static_cast<int>(kWatcherCount);
  }
}

bool
StoreRelay::IsStoreAvailable() const
{
  const auto contact = this->hooks.lastAnswerTime();
  return contact && this->hooks.now() - *contact <= kStoreTimeout;
}

bool
StoreRelay::IsKnownKind(const std::string& aKind) const
{
  return std::ranges::find(this->kinds, aKind) != this->kinds.end();
}

void
StoreRelay::Push(const std::string& aKind,
                 std::uint64_t aBase,
                 const std::vector<ObjectRecord>& aChanged)
{
  if (aChanged.empty() || !this->ShouldWatch() ||
      this->CountWatchersAhead() > 0) {
    return;
  }
  wire::KindNews part = this->MakeKindUpdate(aKind, aBase);
  for (const ObjectRecord& object : aChanged) {
    part.objects.push_back(this->contents.WriteChange(object));
  }
  wire::StoreNews update{ { std::move(part) } };
  if (this->watchers.size() + 1 < kWatcherCount || this->IsAfterLoss()) {
    // No heartbeat of another daemon soon tells those that the update misses.
    this->nextHeartbeatAt =
      std::min(this->nextHeartbeatAt, this->hooks.now() + kPushLagAllowance);
  }
  if (this->IsAfterLoss() && SizeOf(update) <= kLargeUpdateBytes) {
    for (const PeerHost& peer : this->hooks.peers()) {
      this->hooks.send(peer.name, update);
    }
    return;
  }
  this->SendInDomain(update, {});
  this->SendToOtherDomains(std::move(update));
}

void
StoreRelay::KeepContents(const std::vector<ObjectRecord>& aObjects)
{
  for (const ObjectRecord& object : aObjects) {
    this->contents.Keep(object);
  }
}

void
StoreRelay::SendInDomain(const wire::StoreNews& aUpdate,
                         const std::string& aExcept)
{
  for (const PeerHost& peer : this->hooks.peers()) {
    if (peer.failureDomain == this->self.failureDomain &&
        peer.name != aExcept) {
      this->hooks.send(peer.name, aUpdate);
    }
  }
}

void
StoreRelay::SendToOtherDomains(wire::StoreNews aUpdate)
{
  aUpdate.isForwardRequested = true;
  // The order differs for each change, so that a daemon that has stopped
  // unnoticed is not chosen each time.
  const std::string key = std::to_string(aUpdate.kinds.front().revision);
  std::map<std::string, std::vector<PeerHost>> domains;
  for (PeerHost& peer : this->hooks.peers()) {
    if (peer.failureDomain != this->self.failureDomain) {
      domains[peer.failureDomain].push_back(std::move(peer));
    }
  }
  const bool isLarge = SizeOf(aUpdate) > kLargeUpdateBytes;
  for (auto& [domain, peers] : domains) {
    if (isLarge && std::ranges::any_of(peers, &PeerHost::isStrong)) {
      std::erase_if(peers,
                    [](const PeerHost& aPeer) { return !aPeer.isStrong; });
    }
    const std::size_t count = std::min(kForwardersPerDomain, peers.size());
    std::ranges::partial_sort(
      peers,
      peers.begin() + static_cast<std::ptrdiff_t>(count),
      std::ranges::greater(),
      [&key](const PeerHost& aPeer) {
        return std::pair(aPeer.isStrong,
                         core::RendezvousWeight(key, aPeer.name));
      });
    for (std::size_t index = 0; index < count; ++index) {
      this->hooks.send(peers[index].name, aUpdate);
    }
  }
}

wire::KindNews
StoreRelay::MakeKindUpdate(const std::string& aKind, std::uint64_t aBase) const
{
  return { aKind, aBase, this->replica.CompleteRevision(aKind), false, {} };
}

void
StoreRelay::ApplyKindUpdate(const std::string& aFrom,
                            const wire::KindNews& aUpdate)
{
  const bool isOfKnownEra =
    store::EraOf(aUpdate.revision) == this->KnownEra(aUpdate.kind);
  if (!aUpdate.isSnapshot && !isOfKnownEra &&
      this->replica.IsListed(aUpdate.kind)) {
    this->RequestIfBehind(aFrom, aUpdate.kind, aUpdate.revision);
    return;
  }
  std::vector<ObjectRecord> objects;
  objects.reserve(aUpdate.objects.size());
  bool isReadable = true;
  for (const wire::NewsObject& sent : aUpdate.objects) {
    // Forwarded changes arrive more than once.
    if (!aUpdate.isSnapshot && !sent.isDeleted &&
        this->replica.RevisionOf(aUpdate.kind, sent.name) >= sent.revision) {
      continue;
    }
    ObjectRecord object{
      aUpdate.kind, sent.name, sent.revision, sent.isDeleted, {}
    };
    if (!sent.isDeleted) {
      auto content = this->contents.Read(aUpdate.kind, sent);
      if (!content) {
        isReadable = false;
        continue;
      }
      object.content = std::move(*content);
    }
    objects.push_back(std::move(object));
  }
  if (aUpdate.isSnapshot && !isReadable) {
    // Daemons send only content that they have parsed, so the sender runs
    // another version of the program. The objects are still available from the
    // store.
    return;
  }
  const bool isComplete =
    aUpdate.isSnapshot ||
    (isReadable && this->replica.IsListed(aUpdate.kind) &&
     aUpdate.base <= this->replica.CompleteRevision(aUpdate.kind));
  const auto changed =
    aUpdate.isSnapshot
      ? this->replica.ReplaceAll(
          aUpdate.kind, aUpdate.revision, std::move(objects))
      : this->replica.Apply(aUpdate.kind,
                            isReadable ? aUpdate.base : kUnknownBase,
                            std::move(objects));
  if (aUpdate.isSnapshot) {
    Agreement& agreement = this->agreements[aUpdate.kind];
    agreement.completeUpTo = std::max(agreement.completeUpTo, aUpdate.revision);
  }
  if (isComplete) {
    this->replica.NoteComplete(aUpdate.kind, aUpdate.revision);
    this->requestedAt.erase(aUpdate.kind);
    this->hooks.onRevision(aUpdate.kind,
                           this->replica.CompleteRevision(aUpdate.kind));
  } else {
    this->RequestIfBehind(aFrom, aUpdate.kind, aUpdate.revision);
  }
  if (this->hold.IsHeld(aUpdate.kind) || !changed.empty()) {
    this->Deliver(aUpdate.kind, changed);
  }
}

void
StoreRelay::RequestIfBehind(const std::string& aFrom,
                            const std::string& aKind,
                            std::uint64_t aPeerRevision)
{
  const std::uint64_t known = this->replica.CompleteRevision(aKind);
  const bool isListed = this->replica.IsListed(aKind);
  const core::TimePoint now = this->hooks.now();
  const bool isHeld = this->hold.IsHeld(aKind);
  const bool isDifferent =
    isHeld && this->hold.IsDifferent(aKind, this->KnownOf(aKind));
  // A newly started daemon lists the kinds itself.
  const bool isStarting =
    !isListed && now - this->startedAt < kOwnListGracePeriod;
  if ((isListed && known >= aPeerRevision && !isDifferent) || isStarting) {
    return;
  }
  // Heartbeats of daemons without the change may arrive in between and do not
  // end the gap.
  Gap& gap = this->gaps[aKind];
  if (gap.missingRevision <= known) {
    gap = { aPeerRevision, now, 0, aFrom };
  }
  // Nobody pushes changes to a daemon that has just started.
  if ((!isHeld && now - gap.since < kPushLagAllowance) ||
      this->IsRequestPending(aKind, now)) {
    return;
  }
  this->requestedAt.insert_or_assign(aKind, now);
  const bool isChangesOnly = isListed && !isDifferent;
  ++gap.requests;
  // A few changes come from the daemon that has them; other daemons may have
  // just started, too. All objects may be large.
  this->hooks.send(
    isHeld && isChangesOnly ? aFrom : this->SourceFor(aFrom, gap.requests),
    wire::StoreNewsRequest{ aKind, isChangesOnly ? known : 0 });
}

std::string
StoreRelay::SourceFor(const std::string& aFrom, unsigned aRequest) const
{
  if (this->self.isStrong || aRequest % kRequestsPerFarOne == 0) {
    return aFrom;
  }
  // The strong hosts of the failure domain share its requests.
  const std::string key = this->self.name + std::to_string(aRequest);
  std::string source;
  std::uint64_t highestWeight = 0;
  for (const PeerHost& peer : this->hooks.peers()) {
    if (peer.failureDomain != this->self.failureDomain || !peer.isStrong) {
      continue;
    }
    if (peer.name == aFrom) {
      return aFrom;
    }
    const std::uint64_t weight = core::RendezvousWeight(key, peer.name);
    if (source.empty() || weight > highestWeight) {
      source = peer.name;
      highestWeight = weight;
    }
  }
  return source.empty() ? aFrom : source;
}

bool
StoreRelay::IsRequestPending(const std::string& aKind,
                             core::TimePoint aNow) const
{
  const auto requested = this->requestedAt.find(aKind);
  return requested != this->requestedAt.end() &&
         aNow - requested->second < kRequestTimeout;
}

} // namespace fireflytrail::proxy
