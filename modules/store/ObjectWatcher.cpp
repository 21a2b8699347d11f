#include "store/ObjectWatcher.h"

#include "store/StoreRevision.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

namespace fireflytrail::store {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

// The store answers within milliseconds, or within a quarter of a second when
// it is slow; a list without an answer for this long is treated as lost.
constexpr milliseconds kListTimeout = 1500ms;

// Time that a watch is given for its answer beyond its wait: a slow store
// answers within a quarter of a second.
constexpr milliseconds kWatchMargin = 400ms;

// A watch that loses its connection later than this, and before its timeout,
// counts as interrupted. That says nothing about the store: while the store is
// unavailable, a request is refused or its connection is reset at once.
constexpr milliseconds kInterruptThreshold = 100ms;

// Wait of the first watch and of one that follows an interrupted one. The store
// may have dropped its history of changes, and reports that only at the end of
// a wait.
constexpr milliseconds kShortWait = 50ms;

// Time between the answers to two watches with changes and the next watch,
// which collects the changes of a series in one request. The first change after
// a pause is followed by a watch at once: a second one may come just before
// this host and all others that read it are lost.
constexpr milliseconds kCoalesceTime = 300ms;

// The same on a host that is not the first to pass changes on: it hears of them
// from the first one meanwhile, and takes over from it within a second.
constexpr milliseconds kBackupCoalesceTime = 500ms;

// A silent store is detected within the sum of these, which is half of the
// shortest time limit, 2 s. A slow store answers within a quarter of a second.
constexpr milliseconds kPingInterval = 500ms;
constexpr milliseconds kPingTimeout = 500ms;

// Backoff between pings while the store is unavailable. The maximum is half of
// the shortest time limit that starts when the store is available again, 2 s.
constexpr milliseconds kFirstRetryDelay = 150ms;
constexpr milliseconds kMaxRetryDelay = 1000ms;

// Time after which a kind whose list was partial is listed again; it doubles
// with each further one. The store may return the other pages by then, since
// the object that hindered it is gone.
constexpr milliseconds kFirstRelistDelay = 5'000ms;
constexpr milliseconds kMaxRelistDelay = 60'000ms;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusRequestTimeout = 408;
constexpr unsigned kStatusGone = 410;
constexpr unsigned kStatusTooManyRequests = 429;

/** Whether the store has read a request and does not accept it as it is. */
bool
IsRefusal(unsigned aStatus)
{
  constexpr unsigned kFirstRefusal = 400;
  constexpr unsigned kFirstServerError = 500;
  return aStatus >= kFirstRefusal && aStatus < kFirstServerError &&
         aStatus != kStatusRequestTimeout && aStatus != kStatusTooManyRequests;
}

std::string
FailureOf(const StoreResponse& aResponse)
{
  return aResponse.delivery == StoreDelivery::Answered
           ? fmt::format("status {}", aResponse.status)
           : aResponse.detail;
}

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
  assert(this->hooks.onAvailabilityChange && this->hooks.onRequestEnded);
  assert(this->hooks.onConfirmed && this->hooks.onPartialList);
  assert(this->hooks.onRefused);
  for (const WatchedKind& kind : this->kinds) {
    Progress& state = this->progress[kind.name];
    state.wait = kind.wait;
    state.listAt = this->hooks.now() + kind.listDelay;
  }
}

void
ObjectWatcher::Start()
{
  for (const WatchedKind& kind : this->kinds) {
    this->RequestNext(kind.name);
    if (kind.listDelay.count() > 0) {
      this->hooks.after(kind.listDelay, [this, name = kind.name] {
        this->RequestNext(name);
        this->SchedulePing(kPingInterval);
      });
    }
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
    this->progress.at(kind.name).isUnconfirmed = true;
    this->RequestNext(kind.name);
  }
  // Others wait for the word that the store answers this host.
  this->SchedulePing(aIsActive ? 0ms : kPingInterval);
}

void
ObjectWatcher::NoteRevision(const std::string& aKind, std::uint64_t aRevision)
{
  Progress& state = this->progress.at(aKind);
  if (aRevision > state.revision) {
    state.revision = aRevision;
    state.isContinuedElsewhere = !state.isComplete;
  }
  const std::uint64_t previous = this->era.Current();
  if (!this->era.Raise(EraOf(aRevision))) {
    return;
  }
  if (this->hooks.onEraRaised) {
    this->hooks.onEraRaised(this->era.Current(), previous);
  }
  this->AbandonRequests();
  for (const WatchedKind& kind : this->kinds) {
    this->RequestNext(kind.name);
  }
}

void
ObjectWatcher::NoteComplete(const std::string& aKind)
{
  Progress& state = this->progress.at(aKind);
  state.isComplete = true;
  state.isContinuedElsewhere = false;
}

void
ObjectWatcher::Doubt(const std::string& aKind)
{
  Progress& state = this->progress.at(aKind);
  state.isComplete = false;
  state.isContinuedElsewhere = true;
  if (this->isActive && state.revision != 0) {
    // The answer to the watch under way is not used.
    ++state.requestNumber;
    state.isRequestInFlight = false;
    this->RequestNext(aKind);
  }
}

void
ObjectWatcher::RequestNext(const std::string& aKind)
{
  Progress& state = this->progress.at(aKind);
  if (this->isStopped || state.isRequestInFlight ||
      (!this->isActive && state.revision != 0)) {
    return;
  }
  if (this->isStoreUnavailable || this->IsListDeferred(state) ||
      this->hooks.now() < state.retryAt) {
    return;
  }
  if (state.revision != 0 && (EraOf(state.revision) < this->era.Current() ||
                              state.isContinuedElsewhere)) {
    RestartList(state);
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
             this->dialect.listTarget(
               aKind, state.listing.Cursor(), !state.requiresFreshList),
             kListTimeout,
             [this, aKind](const StoreRequest& aRequest,
                           const StoreResponse& aResponse) {
               this->OnListResponse(aKind, aRequest, aResponse);
             });
}

void
ObjectWatcher::RestartList(Progress& aProgress)
{
  aProgress.revision = 0;
  aProgress.listing = {};
  aProgress.requiresFreshList = true;
  aProgress.isComplete = false;
  aProgress.isContinuedElsewhere = false;
}

void
ObjectWatcher::RestartListIfDue(Progress& aProgress) const
{
  if (aProgress.relistAt && this->hooks.now() >= *aProgress.relistAt) {
    aProgress.relistAt.reset();
    RestartList(aProgress);
  }
}

void
ObjectWatcher::Watch(const std::string& aKind)
{
  const Progress& state = this->progress.at(aKind);
  const milliseconds wait =
    state.wasInterrupted || state.isUnconfirmed ? kShortWait : state.wait;
  this->Send(
    aKind,
    this->dialect.watchTarget(aKind, StatedRevision(state.revision), wait),
    wait + kWatchMargin,
    [this, aKind](const StoreRequest& aRequest,
                  const StoreResponse& aResponse) {
      this->OnWatchResponse(aKind, aRequest, aResponse);
    });
}

void
ObjectWatcher::Send(
  const std::string& aKind,
  std::string aTarget,
  milliseconds aTimeout,
  std::function<void(const StoreRequest&, const StoreResponse&)> aOnAnswer)
{
  Progress& state = this->progress.at(aKind);
  state.isRequestInFlight = true;
  const bool isWatch = state.revision != 0;
  const core::TimePoint sentAt = this->hooks.now();
  ++this->requestCount;
  StoreRequest request;
  request.kind = StoreRequestKind::RawRead;
  request.target = std::move(aTarget);
  request.timeout = aTimeout;
  this->hooks.send(
    request,
    [this,
     aKind,
     request,
     isWatch,
     sentAt,
     number = ++state.requestNumber,
     onAnswer = std::move(aOnAnswer)](const StoreResponse& aResponse) {
      this->hooks.onRequestEnded(request, aResponse);
      Progress& kindProgress = this->progress.at(aKind);
      if (kindProgress.requestNumber != number) {
        return;
      }
      kindProgress.isRequestInFlight = false;
      const auto elapsed = this->hooks.now() - sentAt;
      const bool wasInterrupted = isWatch && !kindProgress.wasInterrupted &&
                                  aResponse.delivery == StoreDelivery::Lost &&
                                  elapsed > kInterruptThreshold &&
                                  elapsed < request.timeout;
      kindProgress.wasInterrupted = wasInterrupted;
      if (wasInterrupted) {
        this->RequestNext(aKind);
        return;
      }
      this->OnResponse(aKind, request, isWatch, aResponse, onAnswer);
    });
}

void
ObjectWatcher::OnResponse(
  const std::string& aKind,
  const StoreRequest& aRequest,
  bool aIsWatch,
  const StoreResponse& aResponse,
  const std::function<void(const StoreRequest&, const StoreResponse&)>&
    aOnAnswer)
{
  if (!this->IsOfCurrentEra(
        aRequest, aResponse, [this, &aKind] { this->RequestNext(aKind); })) {
    return;
  }
  const bool isAnswered = aResponse.delivery == StoreDelivery::Answered;
  const bool isHistoryGone = aIsWatch && aResponse.status == kStatusGone;
  if (isAnswered && (aResponse.status == kStatusOk || isHistoryGone)) {
    aOnAnswer(aRequest, aResponse);
  } else if (isAnswered && IsRefusal(aResponse.status)) {
    this->OnRefused(aKind, aRequest, aIsWatch, aResponse.status);
  } else {
    this->MarkUnavailable(aRequest, FailureOf(aResponse));
  }
}

bool
ObjectWatcher::IsOfCurrentEra(const StoreRequest& aRequest,
                              const StoreResponse& aResponse,
                              const std::function<void()>& aRepeat)
{
  const std::uint64_t previous = this->era.Current();
  switch (this->era.Judge(aResponse)) {
    case StoreEra::Standing::Current:
      return true;
    case StoreEra::Standing::Older:
      this->MarkUnavailable(
        aRequest,
        fmt::format("answer of era {}, {} is known", aResponse.era, previous));
      return false;
    case StoreEra::Standing::Unconfirmed:
      aRepeat();
      return false;
    case StoreEra::Standing::Raised:
      break;
  }
  if (this->hooks.onEraRaised) {
    this->hooks.onEraRaised(this->era.Current(), previous);
  }
  this->AbandonRequests();
  this->failures = 0;
  this->MarkAvailable();
  for (const WatchedKind& kind : this->kinds) {
    this->RequestNext(kind.name);
  }
  this->SchedulePing(kPingInterval);
  return false;
}

void
ObjectWatcher::AbandonRequests()
{
  for (auto& [kind, state] : this->progress) {
    ++state.requestNumber;
    state.isRequestInFlight = false;
    if (state.revision == 0) {
      RestartList(state);
    }
  }
}

ObjectPage
ObjectWatcher::Joined(ObjectPage aPage) const
{
  const std::uint64_t current = this->era.Current();
  aPage.revision = JoinRevision(current, aPage.revision);
  for (ObjectRecord& object : aPage.objects) {
    object.revision = JoinRevision(current, object.revision);
  }
  return aPage;
}

void
ObjectWatcher::OnListResponse(const std::string& aKind,
                              const StoreRequest& aRequest,
                              const StoreResponse& aResponse)
{
  auto page = this->dialect.readList(aKind, aResponse.body);
  if (!page) {
    this->MarkUnavailable(aRequest, page.error().detail);
    return;
  }
  this->AdvanceList(aKind,
                    this->progress.at(aKind).listing.Add(
                      this->Joined(std::move(page).value())));
}

void
ObjectWatcher::AdvanceList(const std::string& aKind,
                           ObjectListing::Progress aProgress)
{
  switch (aProgress) {
    case ObjectListing::Progress::Continues:
      this->MarkAvailable();
      this->RequestNext(aKind);
      break;
    case ObjectListing::Progress::Complete:
      this->EndList(aKind, true);
      break;
    case ObjectListing::Progress::Incomplete:
      this->EndList(aKind, false);
      break;
  }
}

void
ObjectWatcher::EndList(const std::string& aKind, bool aIsComplete)
{
  Progress& state = this->progress.at(aKind);
  ObjectListing listing = std::exchange(state.listing, {});
  state.revision = listing.Revision();
  state.isUnconfirmed = !std::exchange(state.requiresFreshList, false);
  state.isComplete = !state.isUnconfirmed;
  state.isContinuedElsewhere = false;
  this->failures = 0;
  if (aIsComplete) {
    state.relistAt.reset();
    state.partialLists = 0;
    this->hooks.onList(aKind, state.revision, listing.TakeObjects());
  } else {
    const milliseconds delay =
      std::min(kFirstRelistDelay * (1U << std::min(state.partialLists, 8U)),
               kMaxRelistDelay);
    ++state.partialLists;
    state.relistAt = this->hooks.now() + delay;
    this->hooks.after(delay, [this, aKind] {
      Progress& waiting = this->progress.at(aKind);
      if (!waiting.isRequestInFlight) {
        this->RestartListIfDue(waiting);
        this->RequestNext(aKind);
      }
    });
    this->hooks.onPartialList(
      aKind, state.revision, listing.TakeObjects(), listing.StuckAfter());
  }
  if (!state.isUnconfirmed) {
    this->hooks.onConfirmed(aKind, state.revision);
  }
  this->MarkAvailable();
  this->RequestNext(aKind);
}

void
ObjectWatcher::OnWatchResponse(const std::string& aKind,
                               const StoreRequest& aRequest,
                               const StoreResponse& aResponse)
{
  Progress& state = this->progress.at(aKind);
  if (aResponse.status == kStatusGone) {
    RestartList(state);
    this->MarkAvailable();
    this->RequestNext(aKind);
    return;
  }
  auto page = this->dialect.readChanges(aKind, aResponse.body);
  if (!page) {
    this->MarkUnavailable(aRequest, page.error().detail);
    return;
  }
  ObjectPage changes = this->Joined(std::move(page).value());
  state.revision = std::max(state.revision, changes.revision);
  state.isUnconfirmed = false;
  state.isComplete = !state.isContinuedElsewhere;
  state.refusals = 0;
  const bool hasChanges = !changes.objects.empty();
  this->RestartListIfDue(state);
  this->failures = 0;
  // `onAvailabilityChange` is called before `onChanges`, because the receiver
  // of the changes may need to know that the store was unavailable.
  this->MarkAvailable();
  this->hooks.onChanges(aKind, std::move(changes.objects));
  if (state.isComplete) {
    this->hooks.onConfirmed(aKind, state.revision);
  }
  if (!hasChanges) {
    this->RequestNext(aKind);
    return;
  }
  const core::TimePoint now = this->hooks.now();
  const core::TimePoint previous = std::exchange(state.changedAt, now);
  const core::TimePoint due =
    this->isBackup ? now + kBackupCoalesceTime : previous + kCoalesceTime;
  if (now >= due) {
    this->RequestNext(aKind);
    return;
  }
  this->hooks.after(std::chrono::ceil<milliseconds>(due - now),
                    [this, aKind] { this->RequestNext(aKind); });
}

void
ObjectWatcher::OnRefused(const std::string& aKind,
                         const StoreRequest& aRequest,
                         bool aIsWatch,
                         unsigned aStatus)
{
  Progress& state = this->progress.at(aKind);
  const milliseconds delay = this->DrawDelay(state.refusals);
  this->ReportRefusal(aKind, aRequest, aStatus, state.refusals);
  if (!aIsWatch && !state.listing.Cursor().empty()) {
    this->AdvanceList(aKind, state.listing.OnPageRefused());
    return;
  }
  if (aIsWatch) {
    RestartList(state);
  }
  state.retryAt = this->hooks.now() + delay;
  this->hooks.after(delay, [this, aKind] { this->RequestNext(aKind); });
}

void
ObjectWatcher::ReportRefusal(const std::string& aKind,
                             const StoreRequest& aRequest,
                             unsigned aStatus,
                             unsigned& aCount) const
{
  ++aCount;
  if (std::has_single_bit(aCount)) {
    this->hooks.onRefused(aKind, aRequest, aStatus);
  }
}

bool
ObjectWatcher::IsListDeferred(const Progress& aProgress) const
{
  return !this->isActive && this->hooks.now() < aProgress.listAt;
}

bool
ObjectWatcher::HasWork() const
{
  return !this->isStopped &&
         (this->isActive ||
          std::ranges::any_of(this->progress, [this](const auto& aProgress) {
            return aProgress.second.revision == 0 &&
                   !this->IsListDeferred(aProgress.second);
          }));
}

void
ObjectWatcher::SchedulePing(milliseconds aDelay)
{
  if (this->isPingPending || !this->HasWork()) {
    return;
  }
  this->isPingPending = true;
  this->hooks.after(aDelay, [this] { this->Ping(); });
}

void
ObjectWatcher::Ping()
{
  if (!this->HasWork()) {
    this->isPingPending = false;
    return;
  }
  ++this->requestCount;
  StoreRequest request;
  request.kind = StoreRequestKind::RawRead;
  request.target = this->dialect.pingTarget(this->kinds.back().name);
  request.timeout = kPingTimeout;
  this->hooks.send(request, [this, request](const StoreResponse& aResponse) {
    this->isPingPending = false;
    this->hooks.onRequestEnded(request, aResponse);
    if (!this->isStoreUnavailable && this->era.IsOlder(aResponse)) {
      // Answers to pings may be stale, and then state an earlier era.
      this->lastAnswerTime = this->hooks.now();
      this->SchedulePing(kPingInterval);
      return;
    }
    if (!this->IsOfCurrentEra(
          request, aResponse, [this] { this->SchedulePing(kShortWait); })) {
      return;
    }
    const bool isAnswered = aResponse.delivery == StoreDelivery::Answered;
    if (isAnswered && aResponse.status == kStatusOk) {
      this->pingRefusals = 0;
      this->OnPingResponse(request, aResponse);
    } else if (isAnswered && IsRefusal(aResponse.status)) {
      this->ReportRefusal(
        this->kinds.back().name, request, aResponse.status, this->pingRefusals);
      this->MarkAvailable();
      this->SchedulePing(kPingInterval);
    } else {
      this->MarkUnavailable(request, FailureOf(aResponse));
    }
  });
}

void
ObjectWatcher::OnPingResponse(const StoreRequest& aRequest,
                              const StoreResponse& aResponse)
{
  const std::string& kind = this->kinds.back().name;
  const Progress& state = this->progress.at(kind);
  auto page = this->dialect.readList(kind, aResponse.body);
  if (!page) {
    this->MarkUnavailable(aRequest, page.error().detail);
    return;
  }
  this->MarkAvailable();
  this->SchedulePing(kPingInterval);
  // A kind of an earlier era is listed first.
  if (state.revision == 0 || EraOf(state.revision) < this->era.Current()) {
    return;
  }
  // New objects are reported from the ping because the watch may have gone
  // silent. Deletions are left to the watch, since this list may be stale.
  std::vector<ObjectRecord> objects =
    this->Joined(std::move(page).value()).objects;
  std::erase_if(objects, [&state](const ObjectRecord& aObject) {
    return aObject.revision <= state.revision;
  });
  if (!objects.empty()) {
    this->hooks.onChanges(kind, std::move(objects));
  }
}

void
ObjectWatcher::MarkAvailable()
{
  this->lastAnswerTime = this->hooks.now();
  if (this->hooks.onAnswered) {
    this->hooks.onAnswered();
  }
  if (!this->isStoreUnavailable) {
    return;
  }
  this->isStoreUnavailable = false;
  this->hooks.onAvailabilityChange(false, "");
  for (const WatchedKind& kind : this->kinds) {
    this->RequestNext(kind.name);
  }
}

milliseconds
ObjectWatcher::DrawDelay(unsigned aFailures) const
{
  const milliseconds maxDelay = std::min(
    kFirstRetryDelay * (1U << std::min(aFailures, 8U)), kMaxRetryDelay);
  // Jitter spreads the requests of hosts that failed at the same time.
  return maxDelay / 2 + milliseconds(static_cast<milliseconds::rep>(
                          this->hooks.random() % static_cast<std::uint64_t>(
                                                   maxDelay.count() / 2 + 1)));
}

void
ObjectWatcher::MarkUnavailable(const StoreRequest& aRequest,
                               const std::string& aDetail)
{
  if (!this->isStoreUnavailable) {
    this->isStoreUnavailable = true;
    this->hooks.onAvailabilityChange(
      true, fmt::format("{}: {}", aRequest.target, aDetail));
  }
  const milliseconds delay = this->DrawDelay(this->failures);
  ++this->failures;
  this->SchedulePing(delay);
}

} // namespace fireflytrail::store
