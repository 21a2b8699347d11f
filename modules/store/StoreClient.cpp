#include "store/StoreClient.h"

#include "store/WriterTag.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

namespace fireflytrail::store {

using std::chrono::milliseconds;

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotModified = 304;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kLimited = 429;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kUnavailable = 503;

// The transport times out first, because it knows whether bytes were sent.
constexpr milliseconds kTransportMargin{ 100 };

// Time beyond the watch time for the platform to answer an ended watch.
constexpr milliseconds kWatchMargin{ 5000 };

bool
IsFailure(const StoreResponse& aResponse)
{
  return aResponse.delivery != StoreDelivery::Answered ||
         aResponse.status == kLimited || aResponse.status >= kFirstServerError;
}

// With 429 and 503 the platform states that it did not write.
bool
MayHaveWritten(const StoreResponse& aResponse)
{
  return aResponse.delivery == StoreDelivery::Lost ||
         (aResponse.delivery == StoreDelivery::Answered &&
          aResponse.status != kLimited && aResponse.status != kUnavailable);
}

std::string
DescriptionOf(const StoreResponse& aResponse)
{
  if (aResponse.delivery != StoreDelivery::Answered) {
    return aResponse.detail.empty() ? "no answer" : aResponse.detail;
  }
  return fmt::format("store answered {}", aResponse.status);
}

} // namespace

struct StoreClient::Operation
{
  StoreRequestKind kind = StoreRequestKind::Read;
  StoreRequest request;
  ResultFunction done;
  HostsFunction hostsDone;
  core::TimePoint deadline;
  core::TimePoint sentAt;
  std::uint64_t attempt = 0;
  bool isUnderWay = false;
  std::optional<WriterTag> tag;
  bool mayHaveWritten = false;
  bool readsBack = false;
  unsigned staleAnswers = 0;
  std::string lastFailure = "call budget used up";
};

StoreClient::StoreClient(StoreClientSettings aSettings, StoreHooks aHooks)
  : settings(aSettings)
  , hooks(std::move(aHooks))
  , tokens(aSettings.burst)
  , alive(std::make_shared<bool>(true))
{
  assert(this->hooks.now && this->hooks.random && this->hooks.schedule &&
         this->hooks.send);
  assert(aSettings.callsPerSecond > 0 && aSettings.burst >= 1);
  this->tokensAt = this->hooks.now();
  this->notBefore = this->tokensAt;
  this->lastFailure = this->tokensAt;
}

StoreClient::~StoreClient() = default;

void
StoreClient::Read(std::string aKey, ResultFunction aDone)
{
  assert(!aKey.empty() && aDone);
  auto operation = std::make_shared<Operation>();
  operation->request.key = std::move(aKey);
  operation->done = std::move(aDone);
  this->Begin(std::move(operation));
}

void
StoreClient::Write(std::string aKey,
                   std::string aBody,
                   std::uint64_t aExpected,
                   ResultFunction aDone)
{
  assert(!aKey.empty() && aBody.starts_with('{') && aDone);
  auto operation = std::make_shared<Operation>();
  operation->kind = StoreRequestKind::Write;
  operation->tag.emplace(this->hooks.random());
  operation->request.key = std::move(aKey);
  operation->request.body = operation->tag->AddTo(aBody);
  operation->request.version = aExpected;
  operation->done = std::move(aDone);
  this->Begin(std::move(operation));
}

void
StoreClient::Watch(std::string aKey,
                   std::uint64_t aVersion,
                   ResultFunction aDone)
{
  assert(!aKey.empty() && aDone);
  auto operation = std::make_shared<Operation>();
  operation->kind = StoreRequestKind::Watch;
  operation->request.key = std::move(aKey);
  operation->request.version = aVersion;
  operation->done = std::move(aDone);
  this->Begin(std::move(operation));
}

void
StoreClient::Hosts(std::uint64_t aKnown, HostsFunction aDone)
{
  assert(aDone);
  auto operation = std::make_shared<Operation>();
  operation->kind = StoreRequestKind::Hosts;
  operation->request.version = aKnown;
  operation->hostsDone = std::move(aDone);
  this->Begin(std::move(operation));
}

void
StoreClient::NoteVersion(std::string_view aKey, std::uint64_t aVersion)
{
  auto& newest = this->newestVersions[std::string(aKey)];
  newest = std::max(newest, aVersion);
}

bool
StoreClient::IsFailing() const
{
  return this->failures > 0;
}

std::uint64_t
StoreClient::RequestCount() const
{
  return this->requestCount;
}

void
StoreClient::Begin(OperationPointer aOperation)
{
  aOperation->deadline = this->hooks.now() + this->settings.operationLimit;
  this->waiting.push_back(std::move(aOperation));
  this->Pump();
}

void
StoreClient::Pump()
{
  const core::TimePoint now = this->hooks.now();
  // A completion function may end the client.
  const std::weak_ptr<bool> guard = this->alive;
  this->ExpireWaiting(now);
  if (guard.expired()) {
    return;
  }
  this->RefillTokens(now);
  while (!this->waiting.empty()) {
    const bool waitsForProbe = this->failures > 0 && this->underWay > 0;
    if (waitsForProbe || now < this->notBefore || this->tokens < 1) {
      break;
    }
    this->tokens -= 1;
    const OperationPointer operation = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->Send(operation);
    if (guard.expired()) {
      return;
    }
  }
  if (this->waiting.empty()) {
    return;
  }
  core::TimePoint wake = core::TimePoint::max();
  for (const OperationPointer& operation : this->waiting) {
    wake = std::min(wake, operation->deadline);
  }
  if (this->failures == 0 || this->underWay == 0) {
    const double missing = std::max(0.0, 1 - this->tokens);
    const auto refilled =
      now + std::chrono::ceil<milliseconds>(std::chrono::duration<double>(
              missing / this->settings.callsPerSecond));
    wake = std::min(wake, std::max(this->notBefore, refilled));
  }
  this->ScheduleWake(wake);
}

void
StoreClient::ExpireWaiting(core::TimePoint aNow)
{
  std::deque<OperationPointer> expired;
  std::erase_if(this->waiting, [&](const OperationPointer& aOperation) {
    if (aNow < aOperation->deadline) {
      return false;
    }
    expired.push_back(aOperation);
    return true;
  });
  const std::weak_ptr<bool> guard = this->alive;
  for (const OperationPointer& operation : expired) {
    this->GiveUp(operation);
    if (guard.expired()) {
      return;
    }
  }
}

void
StoreClient::ScheduleWake(core::TimePoint aTime)
{
  if (this->wakeAt <= aTime) {
    return;
  }
  this->wakeAt = aTime;
  const auto delay =
    std::max(milliseconds(1),
             std::chrono::ceil<milliseconds>(aTime - this->hooks.now()));
  this->hooks.schedule(
    delay, [this, aTime, guard = std::weak_ptr<bool>(this->alive)]() {
      if (guard.expired()) {
        return;
      }
      if (this->wakeAt == aTime) {
        this->wakeAt = core::TimePoint::max();
      }
      this->Pump();
    });
}

void
StoreClient::Send(const OperationPointer& aOperation)
{
  StoreRequest request = aOperation->request;
  request.kind =
    aOperation->readsBack ? StoreRequestKind::Read : aOperation->kind;
  request.timeout = this->settings.requestTimeout;
  if (request.kind == StoreRequestKind::Watch) {
    request.watchTime = this->settings.watchTime;
    request.timeout = this->settings.watchTime + kWatchMargin;
  } else {
    ++this->underWay;
  }
  if (request.kind == StoreRequestKind::Read) {
    request.body.clear();
  }
  aOperation->sentAt = this->hooks.now();
  aOperation->isUnderWay = true;
  const std::uint64_t attempt = ++aOperation->attempt;
  ++this->requestCount;
  const std::weak_ptr<bool> guard = this->alive;
  this->hooks.schedule(request.timeout + kTransportMargin,
                       [this, guard, aOperation, attempt]() {
                         if (!guard.expired()) {
                           StoreResponse response;
                           response.delivery = StoreDelivery::Lost;
                           response.detail = "no answer in time";
                           this->Receive(aOperation, attempt, response);
                         }
                       });
  this->hooks.send(
    std::move(request),
    [this, guard, aOperation, attempt](const StoreResponse& aResponse) {
      if (!guard.expired()) {
        this->Receive(aOperation, attempt, aResponse);
      }
    });
}

void
StoreClient::Receive(const OperationPointer& aOperation,
                     std::uint64_t aAttempt,
                     const StoreResponse& aResponse)
{
  // An answer after the timeout belongs to an attempt that was given up.
  if (!aOperation->isUnderWay || aOperation->attempt != aAttempt) {
    return;
  }
  aOperation->isUnderWay = false;
  if (aOperation->kind != StoreRequestKind::Watch) {
    --this->underWay;
  }
  const std::weak_ptr<bool> guard = this->alive;
  if (IsFailure(aResponse)) {
    this->ReceiveFailure(aOperation, aResponse);
  } else {
    this->failures = 0;
    if (aOperation->readsBack) {
      this->ReceiveReadBack(aOperation, aResponse);
    } else if (aOperation->kind == StoreRequestKind::Read) {
      this->ReceiveRead(aOperation, aResponse);
    } else if (aOperation->kind == StoreRequestKind::Write) {
      this->ReceiveWrite(aOperation, aResponse);
    } else if (aOperation->kind == StoreRequestKind::Watch) {
      this->ReceiveWatch(aOperation, aResponse);
    } else {
      this->ReceiveHosts(aOperation, aResponse);
    }
  }
  if (!guard.expired()) {
    this->Pump();
  }
}

void
StoreClient::ReceiveFailure(const OperationPointer& aOperation,
                            const StoreResponse& aResponse)
{
  // Requests that were sent together fail together: they count as one failure.
  if (this->failures == 0 || aOperation->sentAt >= this->lastFailure) {
    ++this->failures;
    this->lastFailure = this->hooks.now();
    this->notBefore = this->lastFailure + this->DrawBackoff();
  }
  aOperation->lastFailure = DescriptionOf(aResponse);
  if (aOperation->kind == StoreRequestKind::Write && !aOperation->readsBack &&
      MayHaveWritten(aResponse)) {
    aOperation->mayHaveWritten = true;
    aOperation->readsBack = true;
  }
  this->Retry(aOperation);
}

void
StoreClient::ReceiveRead(const OperationPointer& aOperation,
                         const StoreResponse& aResponse)
{
  const std::uint64_t newest = this->NewestVersion(aOperation->request.key);
  if (aResponse.status == kOk && aResponse.version > 0) {
    if (aResponse.version < newest) {
      this->ReceiveStale(aOperation, aResponse.version);
      return;
    }
    this->NoteVersion(aOperation->request.key, aResponse.version);
    this->Finish(aOperation,
                 { StoreStatus::Ok,
                   { WriterTag::RemoveFrom(aResponse.body), aResponse.version },
                   {} });
  } else if (aResponse.status == kNotFound) {
    if (newest > 0) {
      this->ReceiveStale(aOperation, 0);
      return;
    }
    this->Finish(aOperation, { StoreStatus::NotFound, {}, "no such object" });
  } else {
    this->Finish(aOperation,
                 { StoreStatus::Refused, {}, DescriptionOf(aResponse) });
  }
}

void
StoreClient::ReceiveReadBack(const OperationPointer& aOperation,
                             const StoreResponse& aResponse)
{
  const std::uint64_t expected = aOperation->request.version;
  const std::uint64_t version = aResponse.status == kOk ? aResponse.version : 0;
  if (version <
      std::max(expected, this->NewestVersion(aOperation->request.key))) {
    this->ReceiveStale(aOperation, version);
    return;
  }
  this->NoteVersion(aOperation->request.key, version);
  if (version == expected) {
    // The write has not taken effect yet. Sending it again is safe: of the two
    // at most one can meet the expected version, and both carry the same tag.
    aOperation->readsBack = false;
    this->Retry(aOperation);
  } else if (aOperation->tag->IsIn(aResponse.body)) {
    this->Finish(aOperation, { StoreStatus::Ok, { {}, version }, {} });
  } else if (version == expected + 1) {
    this->Finish(aOperation,
                 { StoreStatus::Conflict,
                   { {}, version },
                   fmt::format("version is {}, not {}", version, expected) });
  } else {
    // The write may be among the versions that were replaced since.
    this->Finish(aOperation,
                 { StoreStatus::Unknown,
                   { {}, version },
                   fmt::format("answer lost; version is {} by now", version) });
  }
}

void
StoreClient::ReceiveWrite(const OperationPointer& aOperation,
                          const StoreResponse& aResponse)
{
  if (aResponse.status == kOk) {
    this->NoteVersion(aOperation->request.key, aResponse.version);
    this->Finish(aOperation,
                 { StoreStatus::Ok, { {}, aResponse.version }, {} });
  } else if (aResponse.status == kConflict) {
    if (aOperation->mayHaveWritten) {
      // The version may be that of this operation's own earlier request.
      aOperation->readsBack = true;
      this->Retry(aOperation);
      return;
    }
    this->Finish(aOperation,
                 { StoreStatus::Conflict,
                   { {}, aResponse.version },
                   fmt::format("version is {}, not {}",
                               aResponse.version,
                               aOperation->request.version) });
  } else {
    this->Finish(aOperation,
                 { aOperation->mayHaveWritten ? StoreStatus::Unknown
                                              : StoreStatus::Refused,
                   {},
                   DescriptionOf(aResponse) });
  }
}

void
StoreClient::ReceiveWatch(const OperationPointer& aOperation,
                          const StoreResponse& aResponse)
{
  const std::string& key = aOperation->request.key;
  const std::uint64_t least =
    std::max(aOperation->request.version + 1, this->NewestVersion(key));
  if (aResponse.status == kOk && aResponse.version >= least) {
    this->NoteVersion(key, aResponse.version);
    this->Finish(aOperation,
                 { StoreStatus::Ok,
                   { WriterTag::RemoveFrom(aResponse.body), aResponse.version },
                   {} });
  } else if (aResponse.status == kOk || aResponse.status == kNotModified) {
    this->Finish(aOperation, { StoreStatus::NotModified, {}, "nothing newer" });
  } else {
    this->Finish(aOperation,
                 { StoreStatus::Refused, {}, DescriptionOf(aResponse) });
  }
}

void
StoreClient::ReceiveHosts(const OperationPointer& aOperation,
                          const StoreResponse& aResponse)
{
  HostsResult result;
  if (aResponse.status == kNotModified) {
    result.status = StoreStatus::NotModified;
  } else if (aResponse.status != kOk) {
    result.status = StoreStatus::Refused;
    result.detail = DescriptionOf(aResponse);
  } else if (auto list = HostList::Parse(aResponse.body); !list) {
    result.status = StoreStatus::Refused;
    result.detail = list.error().detail;
  } else if (list.value().version < this->newestHosts) {
    result.status = StoreStatus::Stale;
    result.detail = fmt::format("host list version {} is older than {}",
                                list.value().version,
                                this->newestHosts);
  } else {
    this->newestHosts = list.value().version;
    result.status = StoreStatus::Ok;
    result.list = std::move(list).value();
    result.text = aResponse.body;
  }
  std::exchange(aOperation->hostsDone, nullptr)(std::move(result));
}

void
StoreClient::ReceiveStale(const OperationPointer& aOperation,
                          std::uint64_t aVersion)
{
  aOperation->lastFailure =
    fmt::format("version {} is older than {}",
                aVersion,
                this->NewestVersion(aOperation->request.key));
  if (++aOperation->staleAnswers <= this->settings.staleReads) {
    this->Retry(aOperation);
    return;
  }
  this->Finish(
    aOperation,
    { aOperation->mayHaveWritten ? StoreStatus::Unknown : StoreStatus::Stale,
      { {}, aVersion },
      aOperation->lastFailure });
}

void
StoreClient::Retry(const OperationPointer& aOperation)
{
  if (this->hooks.now() >= aOperation->deadline) {
    this->GiveUp(aOperation);
    return;
  }
  this->waiting.push_front(aOperation);
}

void
StoreClient::Finish(const OperationPointer& aOperation, StoreResult aResult)
{
  std::exchange(aOperation->done, nullptr)(std::move(aResult));
}

void
StoreClient::GiveUp(const OperationPointer& aOperation)
{
  if (aOperation->kind == StoreRequestKind::Hosts) {
    HostsResult result;
    result.detail = aOperation->lastFailure;
    std::exchange(aOperation->hostsDone, nullptr)(std::move(result));
    return;
  }
  this->Finish(aOperation,
               { aOperation->mayHaveWritten ? StoreStatus::Unknown
                                            : StoreStatus::Unavailable,
                 {},
                 aOperation->lastFailure });
}

void
StoreClient::RefillTokens(core::TimePoint aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - this->tokensAt).count();
  this->tokensAt = aNow;
  this->tokens =
    std::min(this->settings.burst,
             this->tokens + seconds * this->settings.callsPerSecond);
}

std::uint64_t
StoreClient::NewestVersion(const std::string& aKey) const
{
  const auto found = this->newestVersions.find(aKey);
  return found == this->newestVersions.end() ? 0 : found->second;
}

milliseconds
StoreClient::DrawBackoff()
{
  // Doublings above this reach any sensible longest delay.
  constexpr unsigned kMaxDoublings = 20;
  const unsigned doublings = std::min(this->failures - 1, kMaxDoublings);
  const milliseconds delay =
    std::min(this->settings.longestBackoff,
             this->settings.firstBackoff * (std::int64_t{ 1 } << doublings));
  const auto half = static_cast<std::uint64_t>(delay.count() / 2);
  return milliseconds(delay.count() - static_cast<std::int64_t>(
                                        this->hooks.random() % (half + 1)));
}

} // namespace fireflytrail::store
