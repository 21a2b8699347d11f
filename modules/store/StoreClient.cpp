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
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kServiceUnavailable = 503;

// Added to the request timeout, so that the transport times out first: it knows
// whether bytes were sent.
constexpr milliseconds kTransportMargin{ 100 };

// Time beyond the watch time for the platform to answer that the watch ended.
constexpr milliseconds kWatchMargin{ 5000 };

bool
IsFailure(const StoreResponse& aResponse)
{
  return aResponse.delivery != StoreDelivery::Answered ||
         aResponse.status == kTooManyRequests ||
         aResponse.status >= kFirstServerError;
}

// Status 429 and 503 mean that the platform has not written.
bool
MayHaveWritten(const StoreResponse& aResponse)
{
  return aResponse.delivery == StoreDelivery::Lost ||
         (aResponse.delivery == StoreDelivery::Answered &&
          aResponse.status != kTooManyRequests &&
          aResponse.status != kServiceUnavailable);
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
  bool isInFlight = false;
  std::optional<WriterTag> tag;
  /** Whether an earlier attempt of a write may have taken effect. */
  bool mayHaveWritten = false;
  /** Whether the next request reads the object back. */
  bool isReadingBack = false;
  unsigned staleAnswers = 0;
  /** Why the operation has not succeeded so far, for its result. */
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
  assert(aSettings.requestsPerSecond > 0 && aSettings.burst >= 1);
  this->tokensUpdatedAt = this->hooks.now();
  this->earliestSendTime = this->tokensUpdatedAt;
  this->lastFailure = this->tokensUpdatedAt;
}

StoreClient::~StoreClient() = default;

void
StoreClient::Read(std::string aKey, ResultFunction aDone)
{
  assert(!aKey.empty() && aDone);
  auto operation = std::make_shared<Operation>();
  operation->request.key = std::move(aKey);
  operation->done = std::move(aDone);
  this->Enqueue(std::move(operation));
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
  this->Enqueue(std::move(operation));
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
  this->Enqueue(std::move(operation));
}

void
StoreClient::Hosts(std::uint64_t aKnown, HostsFunction aDone)
{
  assert(aDone);
  auto operation = std::make_shared<Operation>();
  operation->kind = StoreRequestKind::Hosts;
  operation->request.version = aKnown;
  operation->hostsDone = std::move(aDone);
  this->Enqueue(std::move(operation));
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
StoreClient::Enqueue(OperationPointer aOperation)
{
  aOperation->deadline = this->hooks.now() + this->settings.operationLimit;
  this->waiting.push_back(std::move(aOperation));
  this->ProcessWaiting();
}

void
StoreClient::ProcessWaiting()
{
  const core::TimePoint now = this->hooks.now();
  // A completion function may destroy the client.
  const std::weak_ptr<bool> guard = this->alive;
  this->ExpireWaiting(now);
  if (guard.expired()) {
    return;
  }
  this->RefillTokens(now);
  while (!this->waiting.empty()) {
    const bool waitsForProbe = this->failures > 0 && this->inFlight > 0;
    if (waitsForProbe || now < this->earliestSendTime || this->tokens < 1) {
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
  if (this->failures == 0 || this->inFlight == 0) {
    const double missingTokens = std::max(0.0, 1 - this->tokens);
    const auto tokenAvailableAt =
      now + std::chrono::ceil<milliseconds>(std::chrono::duration<double>(
              missingTokens / this->settings.requestsPerSecond));
    wake = std::min(wake, std::max(this->earliestSendTime, tokenAvailableAt));
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
    this->FinishExpired(operation);
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
      this->ProcessWaiting();
    });
}

void
StoreClient::Send(const OperationPointer& aOperation)
{
  StoreRequest request = aOperation->request;
  request.kind =
    aOperation->isReadingBack ? StoreRequestKind::Read : aOperation->kind;
  request.timeout = this->settings.requestTimeout;
  if (request.kind == StoreRequestKind::Watch) {
    request.watchTime = this->settings.watchTime;
    request.timeout = this->settings.watchTime + kWatchMargin;
  } else {
    ++this->inFlight;
  }
  if (request.kind == StoreRequestKind::Read) {
    request.body.clear();
  }
  aOperation->sentAt = this->hooks.now();
  aOperation->isInFlight = true;
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
  // Ignores an answer that arrives after the timeout of its attempt.
  if (!aOperation->isInFlight || aOperation->attempt != aAttempt) {
    return;
  }
  aOperation->isInFlight = false;
  if (aOperation->kind != StoreRequestKind::Watch) {
    --this->inFlight;
  }
  const std::weak_ptr<bool> guard = this->alive;
  if (IsFailure(aResponse)) {
    this->ReceiveFailure(aOperation, aResponse);
  } else {
    this->failures = 0;
    if (aOperation->isReadingBack) {
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
    this->ProcessWaiting();
  }
}

void
StoreClient::ReceiveFailure(const OperationPointer& aOperation,
                            const StoreResponse& aResponse)
{
  // Requests sent before the last failure fail for the same reason, so they
  // count as one failure with it.
  if (this->failures == 0 || aOperation->sentAt >= this->lastFailure) {
    ++this->failures;
    this->lastFailure = this->hooks.now();
    this->earliestSendTime = this->lastFailure + this->DrawBackoff();
  }
  aOperation->lastFailure = DescriptionOf(aResponse);
  if (aOperation->kind == StoreRequestKind::Write &&
      !aOperation->isReadingBack && MayHaveWritten(aResponse)) {
    aOperation->mayHaveWritten = true;
    aOperation->isReadingBack = true;
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
    // The write has not taken effect yet. Sending it again is safe: at most one
    // of the two can match the expected version, and both have the same tag.
    aOperation->isReadingBack = false;
    this->Retry(aOperation);
  } else if (aOperation->tag->IsIn(aResponse.body)) {
    this->Finish(aOperation, { StoreStatus::Ok, { {}, version }, {} });
  } else if (version == expected + 1) {
    this->Finish(aOperation,
                 { StoreStatus::Conflict,
                   { {}, version },
                   fmt::format("version is {}, not {}", version, expected) });
  } else {
    // The write may have taken effect and been replaced since.
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
      // The version may come from an earlier attempt of this operation.
      aOperation->isReadingBack = true;
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
  const std::uint64_t minVersion =
    std::max(aOperation->request.version + 1, this->NewestVersion(key));
  if (aResponse.status == kOk && aResponse.version >= minVersion) {
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
  } else if (list.value().version < this->newestHostListVersion) {
    result.status = StoreStatus::Stale;
    result.detail = fmt::format("host list version {} is older than {}",
                                list.value().version,
                                this->newestHostListVersion);
  } else {
    this->newestHostListVersion = list.value().version;
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
  if (++aOperation->staleAnswers <= this->settings.maxStaleRetries) {
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
    this->FinishExpired(aOperation);
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
StoreClient::FinishExpired(const OperationPointer& aOperation)
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
    std::chrono::duration<double>(aNow - this->tokensUpdatedAt).count();
  this->tokensUpdatedAt = aNow;
  this->tokens =
    std::min(this->settings.burst,
             this->tokens + seconds * this->settings.requestsPerSecond);
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
  // This many doublings exceed any reasonable longest backoff.
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
