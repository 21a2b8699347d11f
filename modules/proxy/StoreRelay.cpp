#include "proxy/StoreRelay.h"

#include "core/Hash.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cassert>
#include <functional>
#include <limits>
#include <tuple>
#include <utility>

namespace fireflytrail::proxy {

using store::ObjectRecord;

namespace {

// An answer takes a few milliseconds; a lost request is made up for by the next
// beat.
constexpr std::chrono::milliseconds kRequestInterval{ 200 };

// Time that a push may take longer than the beat of another daemon that knows
// the same change.
constexpr std::chrono::milliseconds kPushTime{ 100 };

// Time that a daemon that has just started leaves to its own lists before it
// asks others for all objects, which are up to 100 KB.
constexpr std::chrono::milliseconds kOwnListTime{ 1000 };

// Daemons of another failure domain that pass a change on there: one may have
// stopped unnoticed. What both miss is asked for after the next beat.
constexpr std::size_t kPassingOn = 2;

/** Position of a daemon in the order of watchers: greater comes first. */
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
{
  assert(this->hooks.peers);
  assert(this->hooks.now && this->hooks.broadcast && this->hooks.send);
  assert(this->hooks.onObjects && this->hooks.onRevision);
  assert(this->hooks.lastContact);
  this->startedAt = this->hooks.now();
  this->turnSince = this->startedAt;
}

void
StoreRelay::OnListed(const std::string& aKind,
                     std::uint64_t aRevision,
                     std::vector<ObjectRecord> aObjects)
{
  const std::uint64_t base = this->replica.LastChange(aKind);
  const auto changed =
    this->replica.ReplaceAll(aKind, aRevision, std::move(aObjects));
  if (base != 0) {
    this->Push(aKind, base, changed);
  }
  this->hooks.onObjects(aKind, changed);
}

void
StoreRelay::OnWatched(const std::string& aKind,
                      std::vector<ObjectRecord> aObjects)
{
  // The own watch misses nothing, so it goes on from what is known.
  const std::uint64_t base = this->replica.LastChange(aKind);
  const auto changed = this->replica.Apply(aKind, base, std::move(aObjects));
  if (changed.empty()) {
    return;
  }
  this->Push(aKind, base, changed);
  this->hooks.onObjects(aKind, changed);
}

void
StoreRelay::OnNews(const std::string& aFrom, const wire::StoreNews& aNews)
{
  if (aNews.isToPassOn) {
    wire::StoreNews news = aNews;
    news.isToPassOn = false;
    this->SendInDomain(news, aFrom);
  }
  for (const wire::KindNews& part : aNews.kinds) {
    if (this->IsKnownKind(part.kind)) {
      this->TakeKind(aFrom, part);
    }
  }
}

void
StoreRelay::OnBeat(const std::string& aFrom, const wire::StoreBeat& aBeat)
{
  this->NoteEnoughWatchers();
  this->watchers[aFrom] = { this->hooks.now(), aBeat.isLost, aBeat.isStrong };
  const std::size_t count =
    std::min(aBeat.lastChanges.size(), this->kinds.size());
  for (std::size_t index = 0; index < count; ++index) {
    this->RequestIfBehind(aFrom, this->kinds[index], aBeat.lastChanges[index]);
  }
}

void
StoreRelay::OnRequest(const std::string& aFrom,
                      const wire::StoreNewsRequest& aRequest)
{
  if (!this->replica.IsListed(aRequest.kind)) {
    return;
  }
  const bool isWhole = aRequest.since == 0;
  wire::KindNews news = this->NewsOf(
    aRequest.kind,
    aRequest.since,
    isWhole ? this->replica.Objects(aRequest.kind)
            : this->replica.ChangesSince(aRequest.kind, aRequest.since));
  news.isWhole = isWhole;
  this->hooks.send(aFrom, wire::StoreNews{ { std::move(news) } });
}

void
StoreRelay::Tick()
{
  this->NoteEnoughWatchers();
  const core::TimePoint now = this->hooks.now();
  std::erase_if(this->watchers, [now](const auto& aWatcher) {
    return now - aWatcher.second.heardAt > kBeatLimit;
  });
  const bool isInContact = this->IsInContact();
  const bool isNewlyLost = !isInContact && this->hasSaidInContact;
  this->hasSaidInContact = isInContact && this->ShouldWatch();
  if (!this->hasSaidInContact && !isNewlyLost) {
    return;
  }
  wire::StoreBeat beat;
  beat.isLost = !isInContact;
  beat.isStrong = this->self.isStrong;
  for (const std::string& kind : this->kinds) {
    beat.lastChanges.push_back(this->replica.LastChange(kind));
  }
  this->hooks.broadcast(beat);
}

bool
StoreRelay::ShouldWatch() const
{
  constexpr double kRange =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const auto rank = RankOf(this->self.name, this->self.isStrong);
  // Strong hosts take the first half of the spread.
  const double place = static_cast<double>(std::get<1>(rank)) / kRange;
  const auto turn = std::chrono::duration<double>(kStartSpread) *
                    ((this->self.isStrong ? 0.5 : 1) - place / 2);
  if (this->hooks.now() - this->startedAt < turn) {
    return false;
  }
  return this->WatchersBefore() < kWatcherCount &&
         this->hooks.now() - this->turnSince >=
           this->CandidatesBefore() * kTurn;
}

void
StoreRelay::NoteContactRegained()
{
  this->turnSince = this->hooks.now();
}

std::optional<std::chrono::nanoseconds>
StoreRelay::Age() const
{
  std::optional<core::TimePoint> latest = this->hooks.lastContact();
  for (const auto& [name, watcher] : this->watchers) {
    if (!watcher.isLost) {
      latest = latest ? std::max(*latest, watcher.heardAt) : watcher.heardAt;
    }
  }
  if (!latest) {
    return std::nullopt;
  }
  return this->hooks.now() - *latest;
}

std::size_t
StoreRelay::WatchersBefore() const
{
  const core::TimePoint now = this->hooks.now();
  const auto own = RankOf(this->self.name, this->self.isStrong);
  return static_cast<std::size_t>(
    std::ranges::count_if(this->watchers, [&](const auto& aWatcher) {
      const auto& [name, watcher] = aWatcher;
      return !watcher.isLost && now - watcher.heardAt <= kBeatLimit &&
             RankOf(name, watcher.isStrong) > own;
    }));
}

std::size_t
StoreRelay::CandidatesBefore() const
{
  const auto own = RankOf(this->self.name, this->self.isStrong);
  const std::vector<PeerHost> peers = this->hooks.peers();
  const auto before = std::ranges::count_if(peers, [&](const PeerHost& aPeer) {
    return RankOf(aPeer.name, aPeer.isStrong) > own;
  });
  const std::size_t watching = this->WatchersBefore();
  const auto count = static_cast<std::size_t>(before);
  return count > watching ? count - watching : 0;
}

void
StoreRelay::NoteEnoughWatchers()
{
  if (this->WatchersBefore() >= kWatcherCount) {
    this->turnSince = this->hooks.now();
  }
}

bool
StoreRelay::IsInContact() const
{
  const auto contact = this->hooks.lastContact();
  return contact && this->hooks.now() - *contact <= kContactLimit;
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
  if (aChanged.empty() || !this->ShouldWatch() || this->WatchersBefore() > 0) {
    return;
  }
  wire::StoreNews news{ { this->NewsOf(aKind, aBase, aChanged) } };
  this->SendInDomain(news, {});
  this->SendToOtherDomains(std::move(news));
}

void
StoreRelay::SendInDomain(const wire::StoreNews& aNews,
                         const std::string& aExcept)
{
  for (const PeerHost& peer : this->hooks.peers()) {
    if (peer.failureDomain == this->self.failureDomain &&
        peer.name != aExcept) {
      this->hooks.send(peer.name, aNews);
    }
  }
}

void
StoreRelay::SendToOtherDomains(wire::StoreNews aNews)
{
  aNews.isToPassOn = true;
  // The order differs from change to change, so that a daemon which has stopped
  // unnoticed is not chosen each time.
  const std::string key = std::to_string(aNews.kinds.front().revision);
  std::map<std::string, std::vector<PeerHost>> domains;
  for (PeerHost& peer : this->hooks.peers()) {
    if (peer.failureDomain != this->self.failureDomain) {
      domains[peer.failureDomain].push_back(std::move(peer));
    }
  }
  for (auto& [domain, peers] : domains) {
    const std::size_t count = std::min(kPassingOn, peers.size());
    std::ranges::partial_sort(
      peers,
      peers.begin() + static_cast<std::ptrdiff_t>(count),
      std::ranges::greater(),
      [&key](const PeerHost& aPeer) {
        return std::pair(aPeer.isStrong,
                         core::RendezvousWeight(key, aPeer.name));
      });
    for (std::size_t index = 0; index < count; ++index) {
      this->hooks.send(peers[index].name, aNews);
    }
  }
}

wire::KindNews
StoreRelay::NewsOf(const std::string& aKind,
                   std::uint64_t aBase,
                   const std::vector<ObjectRecord>& aObjects) const
{
  wire::KindNews news{
    aKind, aBase, this->replica.LastChange(aKind), false, {}
  };
  news.objects.reserve(aObjects.size());
  for (const ObjectRecord& object : aObjects) {
    news.objects.push_back({ object.name,
                             object.revision,
                             object.isDeleted,
                             object.isDeleted
                               ? std::string()
                               : boost::json::serialize(object.content) });
  }
  return news;
}

void
StoreRelay::TakeKind(const std::string& aFrom, const wire::KindNews& aNews)
{
  std::vector<ObjectRecord> objects;
  objects.reserve(aNews.objects.size());
  for (const wire::NewsObject& sent : aNews.objects) {
    ObjectRecord object{
      aNews.kind, sent.name, sent.revision, sent.isDeleted, {}
    };
    if (!sent.isDeleted) {
      boost::system::error_code error;
      object.content = boost::json::parse(sent.content, error);
      if (error) {
        // Daemons send only what they have parsed, so this is another version
        // of the program; the store remains as the source.
        return;
      }
    }
    objects.push_back(std::move(object));
  }
  const auto changed =
    aNews.isWhole
      ? this->replica.ReplaceAll(aNews.kind, aNews.revision, std::move(objects))
      : this->replica.Apply(aNews.kind, aNews.base, std::move(objects));
  const bool isComplete =
    aNews.isWhole || (this->replica.IsListed(aNews.kind) &&
                      aNews.base <= this->replica.LastChange(aNews.kind));
  if (isComplete) {
    this->replica.NoteComplete(aNews.kind, aNews.revision);
    this->hooks.onRevision(aNews.kind, this->replica.LastChange(aNews.kind));
  } else {
    this->RequestIfBehind(aFrom, aNews.kind, aNews.revision);
  }
  if (!changed.empty()) {
    this->hooks.onObjects(aNews.kind, changed);
  }
}

void
StoreRelay::RequestIfBehind(const std::string& aFrom,
                            const std::string& aKind,
                            std::uint64_t aLastChange)
{
  const std::uint64_t known = this->replica.LastChange(aKind);
  const bool isListed = this->replica.IsListed(aKind);
  const core::TimePoint now = this->hooks.now();
  // A daemon that has just started lists the kinds itself.
  const bool isStarting = !isListed && now - this->startedAt < kOwnListTime;
  if ((isListed && known >= aLastChange) || isStarting) {
    return;
  }
  // Beats of daemons that know less come in between and say nothing about it.
  Gap& gap = this->gaps[aKind];
  if (gap.lastChange <= known) {
    gap = { aLastChange, now };
  }
  if (now - gap.since < kPushTime ||
      now - this->requestedAt[aKind] < kRequestInterval) {
    return;
  }
  this->requestedAt[aKind] = now;
  this->hooks.send(aFrom,
                   wire::StoreNewsRequest{ aKind, isListed ? known : 0 });
}

} // namespace fireflytrail::proxy
