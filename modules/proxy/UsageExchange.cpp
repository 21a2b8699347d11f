#include "proxy/UsageExchange.h"

#include "core/Hash.h"
#include "usage/WindowTimes.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace fireflytrail::proxy {

using usage::WindowNumber;

namespace {

// Share of the time in which a report is due after which a window is complete.
// Requests count when they have ended; few run longer than this. It must be
// below the share after which the holder collects.
constexpr double kCompleteShare = 0.25;

constexpr WindowNumber kAllWindows = std::numeric_limits<WindowNumber>::max();

using Rank = std::tuple<bool, std::uint64_t, std::string_view>;

/** Rank of a daemon as keeper or holder: greater comes first. */
Rank
RankOf(const PeerHost& aHost)
{
  return { aHost.isStrong,
           core::RendezvousWeight("usage", aHost.name),
           aHost.name };
}

std::chrono::microseconds
MicrosecondsOf(core::WallTimePoint aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
    aTime.time_since_epoch());
}

} // namespace

UsageExchange::UsageExchange(PeerHost aSelf,
                             std::uint64_t aStart,
                             std::chrono::milliseconds aWindow,
                             std::chrono::milliseconds aLate,
                             UsageExchangeHooks aHooks)
  : self(std::move(aSelf))
  , start(aStart)
  , window(aWindow)
  , late(aLate)
  , hooks(std::move(aHooks))
  , clock(this->hooks.now, this->hooks.wallNow)
{
}

usage::UsageCounters&
UsageExchange::Own()
{
  // The first lifetime in the ledger always has room.
  return *this->ledger.Of(this->start, core::HashOf(this->self.name));
}

bool
UsageExchange::Count(std::string_view aOrganisation, core::BootTime aSentAt)
{
  const WindowNumber number =
    usage::WindowAt(this->clock.At(aSentAt), this->window);
  if (!this->Own().Add(number, aOrganisation)) {
    return false;
  }
  this->changed[number].emplace(aOrganisation);
  return true;
}

//==============================================================================
void
UsageExchange::Tick()
{
  this->clock.Poll();
  this->MarkCompleteWindows();
  const std::vector<PeerHost> peers = this->hooks.peers();
  const auto current = this->Keepers(peers, this->self.failureDomain);
  if (current != this->keepers) {
    this->keepers = current;
    this->changed.clear();
    this->SendToKeepers(current, this->Everything(0, kAllWindows, true));
    if (this->IsKeeper(current)) {
      // The others also know daemons that have ended.
      this->SendToKeepers(
        current, wire::UsageRequest{ .first = 0, .last = kAllWindows });
    }
    return;
  }
  const wire::UsageNews news = this->TakeChanges();
  if (!news.lifetimes.empty()) {
    this->SendToKeepers(this->keepers, news);
  }
}

void
UsageExchange::HandOver()
{
  const auto current =
    this->Keepers(this->hooks.peers(), this->self.failureDomain);
  this->SendToKeepers(
    current, this->Everything(0, kAllWindows, !this->IsKeeper(this->keepers)));
}

void
UsageExchange::MarkCompleteWindows()
{
  const core::WallTimePoint time =
    this->clock.Now() -
    std::chrono::duration_cast<core::WallTimePoint::duration>(this->late *
                                                              kCompleteShare);
  const WindowNumber last = usage::WindowAt(time, this->window) - 1;
  usage::UsageCounters& own = this->Own();
  WindowNumber next = std::max(
    this->lastComplete + 1,
    last - std::min<WindowNumber>(last, usage::UsageCounters::kMaxWindows));
  for (; next <= last; ++next) {
    own.MarkComplete(next);
    // The whole window is sent again, in case a message was lost.
    this->changed[next];
    this->lastComplete = next;
  }
}

wire::UsageNews
UsageExchange::TakeChanges()
{
  wire::UsageNews news;
  if (this->changed.empty()) {
    return news;
  }
  const usage::UsageCounters& own = this->Own();
  wire::UsageLifetime& lifetime = news.lifetimes.emplace_back();
  lifetime.start = this->start;
  lifetime.host = core::HashOf(this->self.name);
  for (const auto& [number, names] : this->changed) {
    const auto found = own.Windows().find(number);
    if (found == own.Windows().end()) {
      continue;
    }
    wire::UsageWindow& part = lifetime.windows.emplace_back();
    part.window = number;
    part.isComplete = own.IsComplete(number);
    if (part.isComplete) {
      part.counts = found->second;
      continue;
    }
    for (const std::string& name : names) {
      const auto count = found->second.find(name);
      if (count != found->second.end()) {
        part.counts.insert(*count);
      }
    }
  }
  this->changed.clear();
  news.time = MicrosecondsOf(this->clock.Now());
  return news;
}

wire::UsageNews
UsageExchange::Everything(WindowNumber aFirst,
                          WindowNumber aLast,
                          bool aIsOwnOnly) const
{
  wire::UsageNews news;
  news.time = MicrosecondsOf(this->clock.Now());
  for (const auto& [number, entry] : this->ledger.Lifetimes()) {
    if (aIsOwnOnly && number != this->start) {
      continue;
    }
    wire::UsageLifetime lifetime;
    lifetime.start = number;
    lifetime.host = entry.host;
    for (const auto& [window, counts] : entry.counters.Windows()) {
      if (window >= aFirst && window <= aLast) {
        lifetime.windows.push_back(
          { window, counts, entry.counters.IsComplete(window) });
      }
    }
    if (!lifetime.windows.empty()) {
      news.lifetimes.push_back(std::move(lifetime));
    }
  }
  return news;
}

void
UsageExchange::SendToKeepers(const std::vector<std::string>& aKeepers,
                             const wire::WireMessage& aMessage)
{
  for (const std::string& keeper : aKeepers) {
    if (keeper != this->self.name) {
      this->hooks.send(keeper, aMessage);
    }
  }
}

//==============================================================================
void
UsageExchange::OnNews(const core::DaemonId& aFrom, const wire::UsageNews& aNews)
{
  bool hasOwnCompletion = false;
  for (const wire::UsageLifetime& lifetime : aNews.lifetimes) {
    if (lifetime.start == this->start) {
      continue;
    }
    usage::UsageCounters* counters =
      this->ledger.Of(lifetime.start, lifetime.host);
    if (counters == nullptr) {
      continue;
    }
    for (const wire::UsageWindow& part : lifetime.windows) {
      for (const auto& [organisation, count] : part.counts) {
        counters->Raise(part.window, organisation, count);
      }
      if (part.isComplete) {
        counters->MarkComplete(part.window);
        hasOwnCompletion = hasOwnCompletion || lifetime.start == aFrom.start;
      }
    }
  }
  this->clock.OnPeerTime(
    aFrom.start,
    core::WallTimePoint(
      std::chrono::duration_cast<core::WallTimePoint::duration>(aNews.time)));
  if (hasOwnCompletion && this->IsKeeper(this->keepers)) {
    // Once a window, tells the daemon the median of the clocks.
    if (const auto time = this->clock.FleetTime()) {
      this->hooks.send(
        aFrom.name,
        wire::UsageRequest{ 1, 0, this->fixedThrough, MicrosecondsOf(*time) });
    }
  }
}

void
UsageExchange::OnRequest(const core::DaemonId& aFrom,
                         const wire::UsageRequest& aRequest)
{
  this->Forget(aRequest.fixedThrough);
  if (aRequest.time.count() > 0) {
    this->clock.Adopt(core::WallTimePoint(
      std::chrono::duration_cast<core::WallTimePoint::duration>(
        aRequest.time)));
  }
  if (aRequest.first <= aRequest.last) {
    this->hooks.send(aFrom.name,
                     this->Everything(aRequest.first, aRequest.last, false));
  }
}

std::optional<usage::Figures>
UsageExchange::Collect(WindowNumber aWindow, bool aIsLast)
{
  const std::vector<PeerHost> peers = this->hooks.peers();
  auto complete = this->ledger.CompleteHosts(aWindow);
  this->missingHosts = static_cast<std::size_t>(
    std::ranges::count_if(peers, [&](const PeerHost& aPeer) {
      return !complete.contains(core::HashOf(aPeer.name));
    }));
  if (this->missingHosts == 0 || aIsLast) {
    return this->ledger.SumOf(aWindow);
  }
  if (this->requestedWindow != aWindow) {
    this->requestedWindow = aWindow;
    this->nextRequest = core::BootTime{};
    this->requests = 0;
  }
  if (this->hooks.now() >= this->nextRequest) {
    this->nextRequest = this->hooks.now() + kRequestInterval;
    this->RequestMissing(aWindow, peers, complete);
    ++this->requests;
  }
  return std::nullopt;
}

void
UsageExchange::RequestMissing(WindowNumber aWindow,
                              const std::vector<PeerHost>& aPeers,
                              const std::set<std::uint64_t>& aComplete)
{
  std::set<std::string> asked;
  std::set<std::string> domains;
  for (const PeerHost& peer : aPeers) {
    if (aComplete.contains(core::HashOf(peer.name))) {
      continue;
    }
    if (this->requests > 0) {
      asked.insert(peer.name);
    } else if (domains.insert(peer.failureDomain).second) {
      const auto found = this->Keepers(aPeers, peer.failureDomain);
      if (!found.empty() && found.front() != this->self.name) {
        asked.insert(found.front());
      } else if (found.size() > 1) {
        asked.insert(found[1]);
      }
    }
    if (asked.size() >= kMaxRequests) {
      break;
    }
  }
  const auto time = this->clock.FleetTime();
  const wire::UsageRequest request{ aWindow,
                                    aWindow,
                                    this->fixedThrough,
                                    time ? MicrosecondsOf(*time)
                                         : std::chrono::microseconds(0) };
  for (const std::string& name : asked) {
    this->hooks.send(name, request);
  }
}

void
UsageExchange::Forget(WindowNumber aWindow)
{
  if (aWindow > this->fixedThrough) {
    this->fixedThrough = aWindow;
    this->ledger.Forget(aWindow);
  }
}

//==============================================================================
std::vector<std::string>
UsageExchange::Keepers(const std::vector<PeerHost>& aPeers,
                       std::string_view aDomain) const
{
  std::vector<const PeerHost*> hosts;
  if (this->self.failureDomain == aDomain) {
    hosts.push_back(&this->self);
  }
  for (const PeerHost& peer : aPeers) {
    if (peer.failureDomain == aDomain) {
      hosts.push_back(&peer);
    }
  }
  std::ranges::sort(hosts, std::greater<>(), [](const PeerHost* aHost) {
    return RankOf(*aHost);
  });
  std::vector<std::string> names;
  for (const PeerHost* host : hosts) {
    if (names.size() < kKeeperCount) {
      names.push_back(host->name);
    }
  }
  return names;
}

bool
UsageExchange::IsKeeper(const std::vector<std::string>& aKeepers) const
{
  return std::ranges::find(aKeepers, this->self.name) != aKeepers.end();
}

std::size_t
UsageExchange::DutyRank() const
{
  const auto own = RankOf(this->self);
  return static_cast<std::size_t>(
    std::ranges::count_if(this->hooks.peers(), [&](const PeerHost& aPeer) {
      return RankOf(aPeer) > own;
    }));
}

std::vector<std::string>
UsageExchange::DutyCandidates(std::size_t aCount) const
{
  std::vector<PeerHost> peers = this->hooks.peers();
  std::ranges::sort(peers, std::greater<>(), RankOf);
  std::vector<std::string> names;
  for (const PeerHost& peer : peers) {
    if (names.size() < aCount) {
      names.push_back(peer.name);
    }
  }
  return names;
}

} // namespace fireflytrail::proxy
