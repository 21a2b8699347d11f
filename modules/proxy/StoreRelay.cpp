#include "proxy/StoreRelay.h"

#include "core/Hash.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::proxy {

using store::ObjectRecord;

namespace {

// Whole kinds are some 10 KB; an answer takes a few milliseconds.
constexpr std::chrono::milliseconds kRequestInterval{ 200 };

/** Position of a daemon in the order of watchers: greater comes first. */
std::pair<std::uint64_t, std::string_view>
RankOf(std::string_view aName)
{
  return { core::RendezvousWeight("store", aName), aName };
}

} // namespace

StoreRelay::StoreRelay(std::string aSelf,
                       std::vector<std::string> aKinds,
                       StoreRelayHooks aHooks)
  : self(std::move(aSelf))
  , kinds(std::move(aKinds))
  , hooks(std::move(aHooks))
{
  assert(this->hooks.now && this->hooks.broadcast && this->hooks.reply);
  assert(this->hooks.request && this->hooks.onObjects);
  assert(this->hooks.onRevision && this->hooks.lastContact);
}

void
StoreRelay::OnListed(const std::string& aKind,
                     std::uint64_t aRevision,
                     std::vector<ObjectRecord> aObjects)
{
  const std::uint64_t base = this->replica.LastChange(aKind);
  const auto changed =
    this->replica.ReplaceAll(aKind, aRevision, std::move(aObjects));
  this->listed.insert(aKind);
  if (base != 0 && !changed.empty() && this->ShouldWatch()) {
    this->hooks.broadcast({ { this->NewsOf(aKind, base, changed) } });
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
  this->hooks.broadcast({ { this->NewsOf(aKind, base, changed) } });
  this->hooks.onObjects(aKind, changed);
}

void
StoreRelay::OnNews(const std::string& aFrom, const wire::StoreNews& aNews)
{
  this->watchers[aFrom].heardAt = this->hooks.now();
  std::vector<std::string> missing;
  for (const wire::KindNews& part : aNews.kinds) {
    this->TakeKind(aFrom, part, missing);
  }
  const core::TimePoint now = this->hooks.now();
  if (!missing.empty() && now - this->requestedAt >= kRequestInterval) {
    this->requestedAt = now;
    this->hooks.request(aFrom, { std::move(missing) });
  }
}

void
StoreRelay::TakeKind(const std::string& aFrom,
                     const wire::KindNews& aNews,
                     std::vector<std::string>& aMissing)
{
  if (std::ranges::find(this->kinds, aNews.kind) == this->kinds.end()) {
    return;
  }
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
        aMissing.push_back(aNews.kind);
        return;
      }
    }
    objects.push_back(std::move(object));
  }
  const bool isWhole = aNews.isWhole;
  const auto changed =
    isWhole
      ? this->replica.ReplaceAll(
          aNews.kind, aNews.revision, std::move(objects))
      : this->replica.Apply(aNews.kind, aNews.base, std::move(objects));
  if (isWhole) {
    this->replica.NoteComplete(aNews.kind, aNews.revision);
    this->listed.insert(aNews.kind);
  }
  const std::uint64_t known = this->replica.LastChange(aNews.kind);
  if (known < aNews.revision || !this->listed.contains(aNews.kind)) {
    aMissing.push_back(aNews.kind);
  } else {
    this->hooks.onRevision(aNews.kind, known);
  }
  if (!changed.empty()) {
    this->hooks.onObjects(aNews.kind, changed);
  }
}

void
StoreRelay::OnRequest(const std::string& aFrom,
                      const wire::StoreNewsRequest& aRequest)
{
  wire::StoreNews news;
  for (const std::string& kind : aRequest.kinds) {
    if (this->listed.contains(kind)) {
      news.kinds.push_back(
        this->NewsOf(kind, 0, this->replica.Objects(kind)));
      news.kinds.back().isWhole = true;
    }
  }
  if (!news.kinds.empty()) {
    this->hooks.reply(aFrom, news);
  }
}

void
StoreRelay::Tick()
{
  const core::TimePoint now = this->hooks.now();
  std::erase_if(this->watchers, [now](const auto& aWatcher) {
    return now - aWatcher.second.heardAt > kBeatLimit;
  });
  if (!this->ShouldWatch() || !this->IsInContact()) {
    return;
  }
  wire::StoreNews beat;
  for (const std::string& kind : this->kinds) {
    if (this->listed.contains(kind)) {
      const std::uint64_t last = this->replica.LastChange(kind);
      beat.kinds.push_back({ kind, last, last, false, {} });
    }
  }
  this->hooks.broadcast(beat);
}

bool
StoreRelay::ShouldWatch() const
{
  const core::TimePoint now = this->hooks.now();
  const auto own = RankOf(this->self);
  const auto before =
    std::ranges::count_if(this->watchers, [&](const auto& aWatcher) {
      return now - aWatcher.second.heardAt <= kBeatLimit &&
             RankOf(aWatcher.first) > own;
    });
  return static_cast<std::size_t>(before) < kWatcherCount;
}

std::optional<std::chrono::nanoseconds>
StoreRelay::Age() const
{
  std::optional<core::TimePoint> latest = this->hooks.lastContact();
  for (const auto& [name, watcher] : this->watchers) {
    latest = latest ? std::max(*latest, watcher.heardAt) : watcher.heardAt;
  }
  if (!latest) {
    return std::nullopt;
  }
  return this->hooks.now() - *latest;
}

bool
StoreRelay::IsInContact() const
{
  const auto contact = this->hooks.lastContact();
  return contact && this->hooks.now() - *contact <= kContactLimit;
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
    news.objects.push_back(
      { object.name,
        object.revision,
        object.isDeleted,
        object.isDeleted ? std::string()
                         : boost::json::serialize(object.content) });
  }
  return news;
}

} // namespace fireflytrail::proxy
