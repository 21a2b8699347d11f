#include "gossip/GossipExchanger.h"

#include "gossip/GossipState.h"
#include "gossip/Membership.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::gossip {

using namespace std::chrono_literals;

namespace {

// A push round goes to the next host by name (the ring successor) and to this
// many other hosts at random. The successor covers hosts that random selection
// misses.
constexpr std::size_t kRandomPushTargets = 2;
constexpr int kPushRounds = 3;
constexpr auto kPushRoundInterval = 250ms;

// Bytes of records that one daemon may send in one message.
constexpr double kRecordBytesPerExchange = 8.0 * 1024;

// Every fourth exchange is attempted with a host that is considered dead, so
// that the two sides of a healed partition find each other within seconds.
constexpr unsigned kExchangesPerDeadPeer = 4;

// Every fourth exchange is with a far peer. Heartbeats then become hardly older
// than without near peers: at most 7 intervals with 470 daemons in five failure
// domains, 8 with every eighth exchange. A daemon is suspect above 8.
constexpr unsigned kExchangesPerFarPeer = 4;

constexpr std::chrono::milliseconds kMinPacedInterval{ 1000 };

// See `GossipExchanger::HasEnoughReplies`.
constexpr std::size_t kEnoughReplies = 3;
constexpr auto kReplyWait = 3s;

bool
IsReachable(const Member& aMember)
{
  return aMember.state != MemberState::Dead && !aMember.peer.address.empty();
}

} // namespace

GossipExchanger::GossipExchanger(GossipState& aState,
                                 Membership& aMembership,
                                 core::NowFunction aNow,
                                 core::RandomFunction aRandom,
                                 SendFunction aSend,
                                 const GossipSettings& aSettings)
  : state(aState)
  , membership(aMembership)
  , now(std::move(aNow))
  , random(std::move(aRandom))
  , send(std::move(aSend))
  , settings(aSettings)
  , byteTokens(aSettings.recordBytesBurst)
{
  assert(this->now);
  assert(this->random);
  assert(this->send);
  this->started = this->now();
  this->lastActivity = this->started;
  this->nextExchange = this->started;
  this->tokensUpdated = this->started;
}

void
GossipExchanger::SetNearness(std::function<bool(std::string_view)> aIsNear)
{
  this->isNear = std::move(aIsNear);
}

bool
GossipExchanger::IsFarExchange() const
{
  return !this->isNear || this->selectionCount % kExchangesPerFarPeer == 0;
}

void
GossipExchanger::Tick()
{
  this->CheckPause();
  const core::TimePoint current = this->now();
  this->WriteDuePaced();
  this->SendDuePushes();
  if (current < this->nextExchange) {
    return;
  }
  const auto interval =
    this->settings.IntervalFor(this->state.Origins().size());
  // Jitter of a tenth of the interval prevents hosts that started together from
  // staying synchronized.
  const auto jitter = interval / 10;
  this->nextExchange =
    current + interval - jitter / 2 +
    std::chrono::milliseconds(this->random() %
                              static_cast<std::uint64_t>(jitter.count()));
  this->membership.RemoveDead();
  this->state.IncrementHeartbeat();
  this->StartExchange();
}

void
GossipExchanger::CheckPause()
{
  const core::TimePoint current = this->now();
  if (current - this->lastActivity > kPauseThreshold) {
    this->stale = true;
    this->firstValidExchange = this->exchange + 1;
    this->repliedSinceResume.clear();
    this->membership.ResetHeartbeatAges();
    this->state.EndJoinWindow();
    this->nextExchange = current;
  }
  this->lastActivity = current;
}

bool
GossipExchanger::IsStale() const
{
  return this->stale || this->now() - this->lastActivity > kPauseThreshold;
}

std::optional<Peer>
GossipExchanger::NextPeer()
{
  const std::vector<Member> members = this->membership.Members();
  ++this->selectionCount;
  std::vector<Peer> dead;
  std::map<std::string_view, const Peer*> reachable;
  for (const Member& member : members) {
    if (member.peer.name == this->state.Self().name) {
      continue;
    }
    if (IsReachable(member)) {
      reachable.emplace(member.peer.name, &member.peer);
    } else if (!member.peer.address.empty()) {
      dead.push_back(member.peer);
    }
  }
  if (!dead.empty() && (reachable.empty() ||
                        this->selectionCount % kExchangesPerDeadPeer == 0)) {
    return dead[this->random() % dead.size()];
  }
  if (this->isNear) {
    std::vector<const Peer*> far;
    for (const auto& [name, peer] : reachable) {
      if (!this->isNear(name)) {
        far.push_back(peer);
      }
    }
    const bool hasNear = far.size() < reachable.size();
    if (!far.empty() && (this->IsFarExchange() || !hasNear)) {
      return *far[this->random() % far.size()];
    }
    for (const Peer* peer : far) {
      reachable.erase(peer->name);
    }
  }
  // Each reachable peer is selected once before any is selected again.
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!this->shuffledPeers.empty()) {
      const std::string name = std::move(this->shuffledPeers.back());
      this->shuffledPeers.pop_back();
      const auto position = reachable.find(name);
      if (position != reachable.end()) {
        return *position->second;
      }
    }
    for (const auto& [name, peer] : reachable) {
      this->shuffledPeers.emplace_back(name);
    }
    for (std::size_t left = this->shuffledPeers.size(); left > 1; --left) {
      std::swap(this->shuffledPeers[left - 1],
                this->shuffledPeers[this->random() % left]);
    }
  }
  return std::nullopt;
}

void
GossipExchanger::StartExchange()
{
  const std::optional<Peer> peer = this->NextPeer();
  if (!peer) {
    return;
  }
  this->send(*peer, this->state.MakeDigest(++this->exchange));
}

std::size_t
GossipExchanger::RefillByteTokens()
{
  const core::TimePoint current = this->now();
  const std::chrono::duration<double> elapsed = current - this->tokensUpdated;
  this->tokensUpdated = current;
  this->byteTokens = std::min(
    this->settings.recordBytesBurst,
    this->byteTokens + elapsed.count() * this->settings.recordBytesPerSecond);
  return static_cast<std::size_t>(
    std::clamp(this->byteTokens, 0.0, kRecordBytesPerExchange));
}

void
GossipExchanger::ConsumeByteTokens(const Delta& aDelta)
{
  for (const OriginDelta& origin : aDelta.origins) {
    for (const Record& record : origin.records) {
      this->byteTokens -= static_cast<double>(GossipState::EncodedSize(record));
    }
  }
}

bool
GossipExchanger::IsViewReliable() const
{
  return !this->stale && this->HasEnoughReplies();
}

void
GossipExchanger::Receive(const std::string& aFrom, const Digest& aDigest)
{
  this->CheckPause();
  Delta reply = this->state.ReplyToDigest(aDigest, this->RefillByteTokens());
  reply.senderIsStale = !this->IsViewReliable();
  this->ConsumeByteTokens(reply);
  if (const std::optional<Peer> peer = this->membership.PeerOf(aFrom)) {
    this->send(*peer, reply);
  } else {
    // The address of a new sender is unknown; the transport finds its
    // connection by name.
    this->send(Peer{ aFrom, "" }, reply);
  }
}

void
GossipExchanger::Receive(const std::string& aFrom, const Delta& aDelta)
{
  this->CheckPause();
  const auto changed = this->state.Apply(aDelta);
  switch (aDelta.kind) {
    case DeltaKind::Push:
      if (changed.empty()) {
        this->HandleDuplicatePush(aDelta);
      }
      for (const auto& [name, key] : changed) {
        this->StartPush(name, key);
      }
      return;
    case DeltaKind::Final:
      return;
    case DeltaKind::Reply:
      break;
  }
  if (!aDelta.wanted.empty()) {
    Delta answer = this->state.MakeFinal(aDelta, this->RefillByteTokens());
    answer.senderIsStale = !this->IsViewReliable();
    this->ConsumeByteTokens(answer);
    if (!answer.origins.empty()) {
      this->send(this->membership.PeerOf(aFrom).value_or(Peer{ aFrom, "" }),
                 answer);
    }
  }
  if (aDelta.exchange < this->firstValidExchange ||
      aDelta.exchange > this->exchange) {
    return;
  }
  this->lastExchange = this->now();
  this->repliedSinceResume.insert(aFrom);
  if (!aDelta.senderIsStale || 2 * this->repliedSinceResume.size() >=
                                 this->membership.ConservativeHostCount()) {
    this->stale = false;
  }
}

bool
GossipExchanger::HasEnoughReplies() const
{
  return this->repliedSinceResume.size() >= kEnoughReplies ||
         (this->lastExchange && this->now() - this->started >= kReplyWait);
}

bool
GossipExchanger::PublishUrgent(std::string_view aKey, std::string_view aValue)
{
  if (!this->state.SetRecord(aKey, aValue)) {
    return false;
  }
  this->StartPush(this->state.Self().name, std::string(aKey));
  return true;
}

void
GossipExchanger::StartPush(const std::string& aName, const std::string& aKey)
{
  const Origin* origin = this->state.FindOrigin(aName);
  if (origin == nullptr) {
    return;
  }
  const std::uint32_t version = origin->records.find(aKey)->second.version;
  for (Push& push : this->pushes) {
    if (push.name == aName && push.key == aKey) {
      // The record is already being pushed: the new value waits for the next
      // round, which bounds the cost of a record that changes frequently.
      push.version = version;
      push.roundsLeft = kPushRounds;
      return;
    }
  }
  Push push;
  push.name = aName;
  push.key = aKey;
  push.version = version;
  push.roundsLeft = kPushRounds;
  this->SendPushRound(push);
  this->pushes.push_back(std::move(push));
}

void
GossipExchanger::HandleDuplicatePush(const Delta& aDelta)
{
  // Each copy received from a peer makes one of the remaining rounds redundant.
  for (Push& push : this->pushes) {
    for (const OriginDelta& delta : aDelta.origins) {
      if (delta.id.name == push.name && push.roundsLeft > 0 &&
          !delta.records.empty() && delta.records.front().key == push.key &&
          delta.records.front().version == push.version) {
        --push.roundsLeft;
      }
    }
  }
}

void
GossipExchanger::SendPushRound(Push& aPush)
{
  --aPush.roundsLeft;
  aPush.due = this->now() + kPushRoundInterval;
  std::vector<Peer> targets;
  std::optional<Peer> successor;
  for (const Member& member : this->membership.Members()) {
    if (member.peer.name == this->state.Self().name ||
        member.peer.name == aPush.name || !IsReachable(member)) {
      continue;
    }
    targets.push_back(member.peer);
    if (!successor && member.peer.name > this->state.Self().name) {
      successor = member.peer;
    }
  }
  if (targets.empty()) {
    return;
  }
  const Delta push = this->state.MakePush(aPush.name, aPush.key);
  const Peer ringSuccessor = successor.value_or(targets.front());
  this->send(ringSuccessor, push);
  std::erase(targets, ringSuccessor);
  for (std::size_t sent = 0; sent < kRandomPushTargets && !targets.empty();
       ++sent) {
    const auto index =
      static_cast<std::ptrdiff_t>(this->random() % targets.size());
    this->send(targets[static_cast<std::size_t>(index)], push);
    targets.erase(targets.begin() + index);
  }
}

void
GossipExchanger::SendDuePushes()
{
  const core::TimePoint current = this->now();
  std::erase_if(this->pushes, [&](Push& aPush) {
    const Origin* origin = this->state.FindOrigin(aPush.name);
    if (origin == nullptr) {
      return true;
    }
    // A value that has replaced the urgent one spreads through exchanges.
    const auto record = origin->records.find(aPush.key);
    if (record == origin->records.end() ||
        record->second.version != aPush.version) {
      return true;
    }
    if (current < aPush.due) {
      return false;
    }
    // The entry is kept for one interval after the last round, so that
    // StartPush delays a new value.
    if (aPush.roundsLeft == 0) {
      return true;
    }
    this->SendPushRound(aPush);
    return false;
  });
}

std::chrono::milliseconds
GossipExchanger::PacedInterval() const
{
  const std::size_t hostCount = this->membership.ConservativeHostCount();
  std::size_t size = 0;
  for (const auto& [key, record] : this->paced) {
    size += GossipState::EncodedSize(Record{ key, record.value, 0, false });
  }
  const double total = static_cast<double>(size * hostCount);
  return std::max(kMinPacedInterval,
                  std::chrono::milliseconds(static_cast<std::int64_t>(
                    1000 * total / this->settings.PacedRateFor(hostCount))));
}

void
GossipExchanger::PublishPaced(std::string_view aKey, std::string_view aValue)
{
  auto position = this->paced.find(aKey);
  if (position == this->paced.end()) {
    position = this->paced.emplace(std::string(aKey), Paced{}).first;
    position->second.value = aValue;
    // Random delay, since all hosts tend to publish their first record at the
    // same time: written at once, 100 records of 2 KB took 200 s to spread.
    const auto maxDelay = this->PacedInterval() - kMinPacedInterval;
    position->second.nextWrite =
      this->now() +
      std::chrono::milliseconds(
        this->random() % static_cast<std::uint64_t>(maxDelay.count() + 1));
  }
  position->second.value = aValue;
  position->second.isPending = true;
  this->WriteDuePaced();
}

void
GossipExchanger::WithdrawPaced(std::string_view aKey)
{
  const auto position = this->paced.find(aKey);
  if (position == this->paced.end()) {
    return;
  }
  this->paced.erase(position);
  this->state.RemoveRecord(aKey);
}

void
GossipExchanger::WriteDuePaced()
{
  const core::TimePoint current = this->now();
  for (auto& [key, record] : this->paced) {
    if (record.isPending && current >= record.nextWrite) {
      record.isPending = false;
      // Jitter prevents the hosts from writing at the same time.
      const auto interval = this->PacedInterval();
      record.nextWrite =
        current + interval * 3 / 4 +
        std::chrono::milliseconds(
          this->random() % static_cast<std::uint64_t>(interval.count() / 2));
      this->state.SetRecord(key, record.value);
    }
  }
}

} // namespace fireflytrail::gossip
