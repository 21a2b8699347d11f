#include "store/ObjectWatcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::store {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

// The store answers in milliseconds, and in a quarter of a second when it is
// slow; a call without an answer after this is lost.
constexpr milliseconds kCallTimeout = 1500ms;

// Time beyond its wait that the answer to a watch may take: a slow store
// answers in a quarter of a second.
constexpr milliseconds kWatchSlack = 400ms;

// Time after which a watch that ends without an answer counts as cut off, which
// says nothing of the store: a store that is away answers or resets at once.
constexpr milliseconds kCutTime = 100ms;

// Wait of the next watch after one that was cut off. The store may have dropped
// its history, and says so only at the end of a wait.
constexpr milliseconds kWaitAfterCut = 50ms;

// Time between the answer of a watch and the next one. Changes come in series;
// this brings several in one call and is a sixth of the shortest bound, 2 s.
constexpr milliseconds kCoalesceTime = 300ms;

// A silent store is noticed within the sum of these, half of the shortest
// bound, 2 s. A slow store answers in a quarter of a second.
constexpr milliseconds kPingInterval = 500ms;
constexpr milliseconds kPingTimeout = 500ms;

// Times between tests of a store that does not answer. The longest is half of
// the shortest bound that starts when the store is back, 2 s.
constexpr milliseconds kFirstRetry = 150ms;
constexpr milliseconds kLongestRetry = 1000ms;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusGone = 410;

} // namespace

ObjectWatcher::ObjectWatcher(std::vector<WatchedKind> aKinds,
                             ObjectDialect aDialect,
                             WatcherHooks aHooks)
  : kinds(std::move(aKinds))
  , dialect(std::move(aDialect))
  , hooks(std::move(aHooks))
{
  assert(!this->kinds.empty());
  assert(this->hooks.now && this->hooks.random && this->hooks.send);
  assert(this->hooks.after && this->hooks.onList && this->hooks.onChanges);
  assert(this->hooks.onContact && this->hooks.onCall);
  for (const WatchedKind& kind : this->kinds) {
    this->progress[kind.name].wait = kind.wait;
  }
}

void
ObjectWatcher::Start()
{
  for (const WatchedKind& kind : this->kinds) {
    this->Continue(kind.name);
  }
  this->SchedulePing(kPingInterval);
}

void
ObjectWatcher::SetActive(bool aIsActive)
{
  if (aIsActive == this->isActive) {
    return;
  }
  this->isActive = aIsActive;
  for (const WatchedKind& kind : this->kinds) {
    this->Continue(kind.name);
  }
  this->SchedulePing(kPingInterval);
}

void
ObjectWatcher::NoteRevision(const std::string& aKind, std::uint64_t aRevision)
{
  Progress& state = this->progress.at(aKind);
  state.revision = std::max(state.revision, aRevision);
}

void
ObjectWatcher::Continue(const std::string& aKind)
{
  Progress& state = this->progress.at(aKind);
  if (this->isStopped || state.isBusy ||
      (!this->isActive && state.revision != 0)) {
    return;
  }
  if (this->isLost) {
    return;
  }
  if (state.revision == 0) {
    this->List(aKind);
  } else {
    this->Watch(aKind);
  }
}

void
ObjectWatcher::List(const std::string& aKind)
{
  const Progress& state = this->progress.at(aKind);
  this->Send(aKind,
             this->dialect.listTarget(aKind, state.after, !state.mustBeNew),
             kCallTimeout,
             [this, aKind](const StoreResponse& aResponse) {
               this->OnListed(aKind, aResponse);
             });
}

void
ObjectWatcher::Watch(const std::string& aKind)
{
  const Progress& state = this->progress.at(aKind);
  const milliseconds wait = state.isCut ? kWaitAfterCut : state.wait;
  this->Send(
    aKind,
    this->dialect.watchTarget(aKind, this->progress.at(aKind).revision, wait),
    wait + kWatchSlack,
    [this, aKind](const StoreResponse& aResponse) {
      this->OnChanged(aKind, aResponse);
    });
}

void
ObjectWatcher::Send(const std::string& aKind,
                    std::string aTarget,
                    milliseconds aTimeout,
                    std::function<void(const StoreResponse&)> aOnAnswer)
{
  Progress& state = this->progress.at(aKind);
  state.isBusy = true;
  const bool isWatch = state.revision != 0;
  const core::TimePoint begin = this->hooks.now();
  ++this->callCount;
  StoreRequest request;
  request.kind = StoreRequestKind::RawRead;
  request.target = std::move(aTarget);
  request.timeout = aTimeout;
  this->hooks.send(
    request,
    [this, aKind, request, isWatch, begin, onAnswer = std::move(aOnAnswer)](
      const StoreResponse& aResponse) {
      this->hooks.onCall(request, aResponse);
      Progress& ended = this->progress.at(aKind);
      ended.isBusy = false;
      const auto elapsed = this->hooks.now() - begin;
      const bool isCut = isWatch && !ended.isCut &&
                         aResponse.delivery == StoreDelivery::Lost &&
                         elapsed > kCutTime && elapsed < request.timeout;
      ended.isCut = isCut;
      if (isCut) {
        this->Continue(aKind);
        return;
      }
      if (aResponse.delivery != StoreDelivery::Answered) {
        this->NoteFailure(aResponse.detail);
        return;
      }
      if (aResponse.status != kStatusOk && aResponse.status != kStatusGone) {
        this->NoteFailure(fmt::format("status {}", aResponse.status));
        return;
      }
      onAnswer(aResponse);
    });
}

void
ObjectWatcher::OnListed(const std::string& aKind,
                        const StoreResponse& aResponse)
{
  auto page = this->dialect.readList(aKind, aResponse.body);
  if (!page) {
    this->NoteFailure(page.error().detail);
    return;
  }
  Progress& state = this->progress.at(aKind);
  for (ObjectRecord& object : page.value().objects) {
    state.after = object.name;
    state.listed.push_back(std::move(object));
  }
  // Changes between two pages are in none of them, so the kind is complete only
  // up to the oldest.
  state.listRevision = state.listRevision == 0
                         ? page.value().revision
                         : std::min(state.listRevision, page.value().revision);
  if (page.value().hasMore && !state.after.empty()) {
    this->NoteContact();
    this->Continue(aKind);
    return;
  }
  state.after.clear();
  state.revision = std::exchange(state.listRevision, 0);
  state.mustBeNew = false;
  this->failures = 0;
  this->hooks.onList(aKind, state.revision, std::exchange(state.listed, {}));
  this->NoteContact();
  this->Continue(aKind);
}

void
ObjectWatcher::OnChanged(const std::string& aKind,
                         const StoreResponse& aResponse)
{
  Progress& state = this->progress.at(aKind);
  if (aResponse.status == kStatusGone) {
    state.revision = 0;
    state.after.clear();
    state.listed.clear();
    state.listRevision = 0;
    state.mustBeNew = true;
    this->NoteContact();
    this->Continue(aKind);
    return;
  }
  auto page = this->dialect.readChanges(aKind, aResponse.body);
  if (!page) {
    this->NoteFailure(page.error().detail);
    return;
  }
  state.revision = std::max(state.revision, page.value().revision);
  const bool hasChanges = !page.value().objects.empty();
  this->failures = 0;
  // Contact is told first: who receives the changes may want to know that the
  // store was away.
  this->NoteContact();
  this->hooks.onChanges(aKind, std::move(page.value().objects));
  if (!hasChanges) {
    this->Continue(aKind);
    return;
  }
  this->hooks.after(kCoalesceTime, [this, aKind] { this->Continue(aKind); });
}

bool
ObjectWatcher::HasWork() const
{
  return !this->isStopped &&
         (this->isActive ||
          std::ranges::any_of(this->progress, [](const auto& aProgress) {
            return aProgress.second.revision == 0;
          }));
}

void
ObjectWatcher::SchedulePing(milliseconds aDelay)
{
  if (this->isPingDue || !this->HasWork()) {
    return;
  }
  this->isPingDue = true;
  this->hooks.after(aDelay, [this] { this->Ping(); });
}

void
ObjectWatcher::Ping()
{
  if (!this->HasWork()) {
    this->isPingDue = false;
    return;
  }
  ++this->callCount;
  StoreRequest request;
  request.kind = StoreRequestKind::RawRead;
  request.target = this->dialect.pingTarget(this->kinds.back().name);
  request.timeout = kPingTimeout;
  this->hooks.send(request, [this, request](const StoreResponse& aResponse) {
    this->isPingDue = false;
    this->hooks.onCall(request, aResponse);
    const bool isAnswered = aResponse.delivery == StoreDelivery::Answered;
    if (isAnswered && aResponse.status == kStatusOk) {
      this->TakePing(aResponse);
    } else {
      this->NoteFailure(isAnswered ? fmt::format("status {}", aResponse.status)
                                   : aResponse.detail);
    }
  });
}

void
ObjectWatcher::TakePing(const StoreResponse& aResponse)
{
  const std::string& kind = this->kinds.back().name;
  const Progress& state = this->progress.at(kind);
  auto page = this->dialect.readList(kind, aResponse.body);
  if (!page) {
    this->NoteFailure(page.error().detail);
    return;
  }
  this->NoteContact();
  this->SchedulePing(kPingInterval);
  if (state.revision == 0) {
    return;
  }
  // A watch may have gone silent. What is gone is left to the watch, since the
  // answer may be old.
  std::vector<ObjectRecord>& objects = page.value().objects;
  std::erase_if(objects, [&state](const ObjectRecord& aObject) {
    return aObject.revision <= state.revision;
  });
  if (!objects.empty()) {
    this->hooks.onChanges(kind, std::move(objects));
  }
}

void
ObjectWatcher::NoteContact()
{
  this->lastContact = this->hooks.now();
  if (!this->isLost) {
    return;
  }
  this->isLost = false;
  this->hooks.onContact(false, "");
  for (const WatchedKind& kind : this->kinds) {
    this->Continue(kind.name);
  }
}

void
ObjectWatcher::NoteFailure(const std::string& aDetail)
{
  if (!this->isLost) {
    this->isLost = true;
    this->hooks.onContact(true, aDetail);
  }
  const milliseconds longest =
    std::min(kFirstRetry * (1U << std::min(this->failures, 8U)), kLongestRetry);
  ++this->failures;
  // Jitter spreads the calls of hosts that lost the store together.
  const milliseconds delay =
    longest / 2 + milliseconds(static_cast<milliseconds::rep>(
                    this->hooks.random() %
                    static_cast<std::uint64_t>(longest.count() / 2 + 1)));
  this->SchedulePing(delay);
}

} // namespace fireflytrail::store
