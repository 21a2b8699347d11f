#include "gossip/GossipState.h"

#include <algorithm>
#include <cassert>
#include <unordered_set>
#include <utility>

namespace fireflytrail::gossip {

using namespace std::chrono_literals;

namespace {

// Within this time of its start, a daemon reaches every peer that knows an
// earlier process of its name. A higher incarnation that is seen later means
// that the daemon was replaced while it was partitioned.
constexpr auto kJoinWindow = 30s;

// Replaced processes are not requested from peers for this time. They are
// requested again afterwards, because a daemon whose clock was set back raises
// its incarnation only after it was first seen.
constexpr auto kReplacedStartBackoff = 10s;

// A peer that was partitioned for less than this cannot reintroduce a removed
// origin. 100 hosts a day are restarted or replaced, so there are few
// tombstones.
constexpr auto kTombstoneLifetime = 24h;

// Unknown processes that no peer has announced for this time have stopped and
// are no longer counted.
constexpr auto kUnresolvedLifetime = 30s;

// Bounds of the number of origins that one reply requests. During a backlog of
// large records, a long list costs more bytes than the records that the peer
// may send: 400 B/s at 100 hosts with a fixed limit of 32.
constexpr std::size_t kMinWanted = 4;
constexpr std::size_t kMaxWanted = 64;

std::vector<const Record*>
RecordsAbove(const Origin& aOrigin, std::uint32_t aVersion)
{
  std::vector<const Record*> records;
  for (const auto& [key, record] : aOrigin.records) {
    if (record.version > aVersion && record.version <= aOrigin.version) {
      records.push_back(&record);
    }
  }
  std::sort(records.begin(),
            records.end(),
            [](const Record* aLeft, const Record* aRight) {
              return aLeft->version < aRight->version;
            });
  return records;
}

OriginDelta
HeaderOf(const Origin& aOrigin, bool aIsKnown)
{
  OriginDelta delta;
  delta.id.start = aOrigin.id.start;
  delta.heartbeat = aOrigin.heartbeat;
  if (!aIsKnown) {
    delta.id.name = aOrigin.id.name;
    delta.incarnation = aOrigin.incarnation;
  }
  return delta;
}

} // namespace

GossipState::GossipState(core::DaemonId aSelf,
                         std::uint64_t aIncarnation,
                         core::NowFunction aNow)
  : self(std::move(aSelf))
  , now(std::move(aNow))
  , wantedLimit(kMaxWanted)
{
  assert(this->now);
  assert(!this->self.name.empty());
  this->started = this->now();
  Origin own;
  own.id = this->self;
  own.incarnation = aIncarnation;
  own.heartbeat = 1;
  own.lastHeartbeatAt = this->started;
  this->origins.emplace(this->self.name, std::move(own));
  this->nameByStart.emplace(this->self.start, this->self.name);
}

void
GossipState::OnRecordChanged(RecordChangedFunction aFunction)
{
  this->recordChanged = std::move(aFunction);
}

void
GossipState::SetPreference(std::function<bool(const Origin&)> aIsPreferred)
{
  this->isPreferred = std::move(aIsPreferred);
}

void
GossipState::IncrementHeartbeat()
{
  Origin& own = this->OwnOrigin();
  ++own.heartbeat;
  own.lastHeartbeatAt = this->now();
  this->RemoveExpired();
}

bool
GossipState::SetRecord(std::string_view aKey, std::string_view aValue)
{
  assert(!aKey.empty());
  Origin& own = this->OwnOrigin();
  auto position = own.records.find(aKey);
  if (aValue.size() > kMaxValueSize ||
      (position == own.records.end() &&
       own.records.size() >= kMaxRecordsPerOrigin)) {
    return false;
  }
  if (position == own.records.end()) {
    position = own.records.emplace(std::string(aKey), Record{}).first;
    position->second.key = position->first;
  }
  Record& record = position->second;
  record.value = aValue;
  record.removed = false;
  record.version = ++own.version;
  return true;
}

void
GossipState::RemoveRecord(std::string_view aKey)
{
  Origin& own = this->OwnOrigin();
  const auto position = own.records.find(aKey);
  if (position == own.records.end() || position->second.removed) {
    return;
  }
  position->second.value.clear();
  position->second.removed = true;
  position->second.version = ++own.version;
}

const Record*
GossipState::FindRecord(std::string_view aName, std::string_view aKey) const
{
  const Origin* origin = this->FindOrigin(aName);
  if (origin == nullptr) {
    return nullptr;
  }
  const auto position = origin->records.find(aKey);
  return position == origin->records.end() || position->second.removed
           ? nullptr
           : &position->second;
}

const Origin*
GossipState::FindOrigin(std::string_view aName) const
{
  const auto position = this->origins.find(aName);
  return position == this->origins.end() ? nullptr : &position->second;
}

Origin*
GossipState::FindByStart(std::uint64_t aStart)
{
  const auto position = this->nameByStart.find(aStart);
  return position == this->nameByStart.end()
           ? nullptr
           : &this->origins.find(position->second)->second;
}

Digest
GossipState::MakeDigest(std::uint32_t aExchange) const
{
  Digest digest;
  digest.exchange = aExchange;
  digest.entries.reserve(this->origins.size());
  for (const auto& [name, origin] : this->origins) {
    digest.entries.push_back(
      { origin.id.start, origin.heartbeat, origin.version });
  }
  return digest;
}

bool
GossipState::IsWanted(const DigestEntry& aEntry) const
{
  const auto replaced = this->replacedStarts.find(aEntry.start);
  if (replaced != this->replacedStarts.end() &&
      this->now() < replaced->second) {
    return false;
  }
  return std::none_of(this->tombstones.begin(),
                      this->tombstones.end(),
                      [&](const auto& aTombstone) {
                        return aTombstone.second.start == aEntry.start &&
                               aTombstone.second.heartbeat >= aEntry.heartbeat;
                      });
}

void
GossipState::AddUnresolved(std::uint64_t aStart)
{
  if (this->unresolved.size() < kMaxOrigins) {
    this->unresolved[aStart] = this->now();
  }
}

void
GossipState::UpdateHeartbeat(Origin& aOrigin, std::uint32_t aHeartbeat) const
{
  if (aHeartbeat > aOrigin.heartbeat && aOrigin.id != this->self) {
    aOrigin.heartbeat = aHeartbeat;
    aOrigin.lastHeartbeatAt = this->now();
  }
}

Delta
GossipState::ReplyToDigest(const Digest& aDigest, std::size_t aByteLimit)
{
  Delta reply;
  reply.kind = DeltaKind::Reply;
  reply.exchange = aDigest.exchange;
  std::unordered_map<std::uint64_t, const DigestEntry*> peerEntries;

  for (const DigestEntry& entry : aDigest.entries) {
    peerEntries.emplace(entry.start, &entry);
    Origin* origin = this->FindByStart(entry.start);
    if (origin == nullptr) {
      if (this->IsWanted(entry)) {
        this->AddUnresolved(entry.start);
        reply.wanted.push_back({ entry.start, 0, 0 });
      }
      continue;
    }
    if (origin->heartbeat > entry.heartbeat) {
      reply.heartbeats.push_back({ entry.start, origin->heartbeat });
    }
    this->UpdateHeartbeat(*origin, entry.heartbeat);
    if (entry.version > origin->version && origin->id != this->self) {
      reply.wanted.push_back(
        { entry.start, origin->heartbeat, origin->version });
    }
  }

  if (reply.wanted.size() > this->wantedLimit) {
    // Requests a different part of the list each time. AppendRecords advances
    // the offset.
    std::rotate(reply.wanted.begin(),
                reply.wanted.begin() +
                  static_cast<std::ptrdiff_t>(this->roundRobinOffset %
                                              reply.wanted.size()),
                reply.wanted.end());
    reply.wanted.resize(this->wantedLimit);
  }
  // Halved with each request; `Apply` raises it when a peer sends records.
  if (!reply.wanted.empty()) {
    this->wantedLimit = std::max(kMinWanted, this->wantedLimit / 2);
  }
  std::vector<DigestEntry> outdatedEntries;
  for (const auto& [name, origin] : this->origins) {
    const auto position = peerEntries.find(origin.id.start);
    if (position == peerEntries.end()) {
      outdatedEntries.push_back({ origin.id.start, 0, 0 });
    } else if (origin.version > position->second->version) {
      outdatedEntries.push_back(*position->second);
    }
  }
  this->AppendRecords(reply, outdatedEntries, aByteLimit);
  // Announces the origins that did not fit into the byte limit, so that the
  // peer includes them in its host count.
  std::unordered_set<std::uint64_t> included;
  for (const OriginDelta& origin : reply.origins) {
    included.insert(origin.id.start);
  }
  for (const DigestEntry& entry : outdatedEntries) {
    if (entry.heartbeat == 0 && !included.contains(entry.start)) {
      reply.heartbeats.push_back({ entry.start, 0 });
    }
  }
  return reply;
}

Delta
GossipState::MakeFinal(const Delta& aReply, std::size_t aByteLimit)
{
  Delta answer;
  answer.kind = DeltaKind::Final;
  answer.exchange = aReply.exchange;
  this->AppendRecords(answer, aReply.wanted, aByteLimit);
  return answer;
}

std::vector<DigestEntry>
GossipState::SendOrderOf(std::span<const DigestEntry> aKnown) const
{
  std::vector<DigestEntry> order(aKnown.begin(), aKnown.end());
  if (order.empty()) {
    return order;
  }
  // The ranges' versions are not accepted by the linter's standard library.
  std::rotate(order.begin(),
              order.begin() + static_cast<std::ptrdiff_t>(
                                this->roundRobinOffset % order.size()),
              order.end());
  if (this->isPreferred) {
    std::stable_partition(
      order.begin(), order.end(), [this](const DigestEntry& aEntry) {
        const auto name = this->nameByStart.find(aEntry.start);
        return name != this->nameByStart.end() &&
               this->isPreferred(this->origins.find(name->second)->second);
      });
  }
  return order;
}

void
GossipState::AppendRecords(Delta& aDelta,
                           std::span<const DigestEntry> aKnown,
                           std::size_t aByteLimit)
{
  // Starts with a different origin each time, so that a few origins with large
  // records do not starve the others when the byte limit is reached.
  ++this->roundRobinOffset;
  std::size_t used = 0;
  for (const DigestEntry& known : this->SendOrderOf(aKnown)) {
    const Origin* origin = this->FindByStart(known.start);
    if (origin == nullptr ||
        (known.heartbeat != 0 && origin->version <= known.version)) {
      continue;
    }
    used += kOriginOverhead + origin->id.name.size();
    if (used > aByteLimit) {
      return;
    }
    OriginDelta delta = HeaderOf(*origin, known.heartbeat != 0);
    delta.from = known.version;
    delta.upTo = origin->version;
    for (const Record* record : RecordsAbove(*origin, known.version)) {
      used += EncodedSize(*record);
      // The first record is sent even if it exceeds the limit; otherwise a
      // record larger than the limit would never be sent.
      const bool isFirst = aDelta.origins.empty() && delta.records.empty();
      if (used > aByteLimit && !isFirst) {
        delta.upTo = record->version - 1;
        break;
      }
      delta.records.push_back(*record);
    }
    if (!delta.records.empty() || delta.upTo > delta.from ||
        known.heartbeat == 0) {
      aDelta.origins.push_back(std::move(delta));
    }
  }
}

Delta
GossipState::MakePush(std::string_view aName, std::string_view aKey) const
{
  const Origin* origin = this->FindOrigin(aName);
  assert(origin != nullptr);
  const auto position = origin->records.find(aKey);
  assert(position != origin->records.end());
  const Record& record = position->second;
  Delta push;
  push.kind = DeltaKind::Push;
  OriginDelta delta = HeaderOf(*origin, false);
  delta.upTo = record.version;
  delta.from = record.version;
  // `from` is the version of the preceding record, up to which the receiver
  // must be complete to advance its version. It is known only if this daemon
  // has all records up to the pushed one.
  if (record.version <= origin->version) {
    delta.from = 0;
    for (const auto& [key, other] : origin->records) {
      if (other.version < record.version) {
        delta.from = std::max(delta.from, other.version);
      }
    }
  }
  delta.records.push_back(record);
  push.origins.push_back(std::move(delta));
  return push;
}

void
GossipState::HandleOwnNameConflict(const OriginDelta& aDelta)
{
  Origin& own = this->OwnOrigin();
  if (aDelta.id.start == this->self.start ||
      std::pair(aDelta.incarnation, aDelta.id.start) <
        std::pair(own.incarnation, own.id.start)) {
    return;
  }
  if (!this->joinWindowOpen || this->now() - this->started > kJoinWindow) {
    this->superseded = true;
    return;
  }
  own.incarnation = aDelta.incarnation + 1;
  // A new version makes peers that know the lower incarnation request the
  // origin again.
  ++own.version;
}

Origin*
GossipState::ResolveOrigin(const OriginDelta& aDelta)
{
  if (aDelta.id.name.empty()) {
    Origin* known = this->FindByStart(aDelta.id.start);
    return known == nullptr || known->id == this->self ? nullptr : known;
  }
  if (aDelta.id.name == this->self.name) {
    this->HandleOwnNameConflict(aDelta);
    return nullptr;
  }
  this->unresolved.erase(aDelta.id.start);
  const auto incoming = std::pair(aDelta.incarnation, aDelta.id.start);
  const auto position = this->origins.find(aDelta.id.name);
  if (position != this->origins.end()) {
    Origin& known = position->second;
    if (known.id == aDelta.id) {
      known.incarnation = std::max(known.incarnation, aDelta.incarnation);
      return &known;
    }
    if (incoming < std::pair(known.incarnation, known.id.start)) {
      return nullptr;
    }
    this->nameByStart.erase(known.id.start);
    this->replacedStarts[known.id.start] = this->now() + kReplacedStartBackoff;
    this->origins.erase(position);
  }
  const auto tombstone = this->tombstones.find(aDelta.id.name);
  if (tombstone != this->tombstones.end()) {
    const Tombstone& last = tombstone->second;
    const bool isSame = last.start == aDelta.id.start;
    if (isSame ? aDelta.heartbeat <= last.heartbeat
               : incoming < std::pair(last.incarnation, last.start)) {
      return nullptr;
    }
    this->tombstones.erase(tombstone);
  }
  // A start identity that appears under two names is forged or due to a fault.
  if (this->origins.size() >= kMaxOrigins ||
      this->nameByStart.contains(aDelta.id.start)) {
    return nullptr;
  }
  Origin origin;
  origin.id = aDelta.id;
  origin.incarnation = aDelta.incarnation;
  origin.heartbeat = aDelta.heartbeat;
  origin.lastHeartbeatAt = this->now();
  this->nameByStart.emplace(origin.id.start, origin.id.name);
  return &this->origins.emplace(origin.id.name, std::move(origin))
            .first->second;
}

std::vector<std::pair<std::string, std::string>>
GossipState::Apply(const Delta& aDelta)
{
  for (const HeartbeatEntry& entry : aDelta.heartbeats) {
    if (Origin* origin = this->FindByStart(entry.start)) {
      this->UpdateHeartbeat(*origin, entry.heartbeat);
    } else if (this->IsWanted({ entry.start, entry.heartbeat, 0 })) {
      this->AddUnresolved(entry.start);
    }
  }
  if (aDelta.kind == DeltaKind::Final) {
    this->wantedLimit = std::min(
      kMaxWanted,
      std::max(this->wantedLimit, 2 * aDelta.origins.size() + kMinWanted));
  }
  std::vector<std::pair<std::string, std::string>> changed;
  std::vector<std::pair<core::DaemonId, Record>> reports;
  for (const OriginDelta& delta : aDelta.origins) {
    Origin* origin = this->ResolveOrigin(delta);
    if (origin == nullptr) {
      continue;
    }
    this->UpdateHeartbeat(*origin, delta.heartbeat);
    for (const Record& record : delta.records) {
      const auto position = origin->records.find(record.key);
      const bool isKnown = position != origin->records.end();
      if (record.value.size() > kMaxValueSize ||
          (isKnown && position->second.version >= record.version) ||
          (!isKnown && origin->records.size() >= kMaxRecordsPerOrigin)) {
        continue;
      }
      origin->records.insert_or_assign(record.key, record);
      changed.emplace_back(origin->id.name, record.key);
      reports.emplace_back(origin->id, record);
    }
    if (delta.from <= origin->version) {
      origin->version = std::max(origin->version, delta.upTo);
    }
  }
  if (this->recordChanged) {
    for (const auto& [id, record] : reports) {
      this->recordChanged(id, record);
    }
  }
  return changed;
}

void
GossipState::RemoveOrigin(std::string_view aName)
{
  assert(aName != this->self.name);
  const auto position = this->origins.find(aName);
  if (position == this->origins.end()) {
    return;
  }
  const Origin& origin = position->second;
  this->tombstones.insert_or_assign(
    origin.id.name,
    Tombstone{
      origin.id.start, origin.incarnation, origin.heartbeat, this->now() });
  this->nameByStart.erase(origin.id.start);
  this->origins.erase(position);
}

void
GossipState::RemoveExpired()
{
  const core::TimePoint current = this->now();
  std::erase_if(this->tombstones, [&](const auto& aTombstone) {
    return current - aTombstone.second.created > kTombstoneLifetime;
  });
  std::erase_if(this->unresolved, [&](const auto& aUnresolved) {
    return current - aUnresolved.second > kUnresolvedLifetime;
  });
  std::erase_if(this->replacedStarts, [&](const auto& aReplaced) {
    return current > aReplaced.second;
  });
}

std::size_t
GossipState::EncodedSize(const Record& aRecord)
{
  return kRecordOverhead + aRecord.key.size() + aRecord.value.size();
}

} // namespace fireflytrail::gossip
