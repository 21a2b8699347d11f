#pragma once

#include "core/Hooks.h"
#include "store/HostsResult.h"
#include "store/StoreClientSettings.h"
#include "store/StoreHooks.h"
#include "store/StoreResult.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace fireflytrail::store {

/**
 * Decides when requests are sent to the platform and interprets the answers.
 * Operations wait for the request budget and, after failures, for the backoff.
 * During an outage only one request at a time is sent, to probe whether the
 * store is available again; watches in flight do not count. Not thread-safe:
 * all methods and hooks run on one thread. Completion functions may start
 * further operations and may destroy the client.
 */
class StoreClient
{
public:
  using ResultFunction = std::function<void(StoreResult)>;
  using HostsFunction = std::function<void(HostsResult)>;

  StoreClient(StoreClientSettings aSettings, StoreHooks aHooks);

  /** Pending operations are dropped; their functions are not called. */
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  /**
   * Reads an object: `Ok`, `NotFound`, `Stale`, `Refused` or `Unavailable`. The
   * result is never older than the newest version that this client has seen.
   */
  void Read(std::string aKey, ResultFunction aDone);

  /**
   * Writes an object if its version is `aExpected`, 0 for a new one: `Ok`,
   * `Conflict`, `Refused`, `Unavailable` or `Unknown`. `aBody` must be a JSON
   * object that starts with its opening brace. If the answer is lost, the
   * object is read back to find out whether the write took effect.
   */
  void Write(std::string aKey,
             std::string aBody,
             std::uint64_t aExpected,
             ResultFunction aDone);

  /**
   * Waits for a version above `aVersion`: `Ok`, `NotModified` after the watch
   * time, `Refused` or `Unavailable`.
   */
  void Watch(std::string aKey, std::uint64_t aVersion, ResultFunction aDone);

  /**
   * Reads the host list: `Ok`, `NotModified` if its version is still `aKnown`
   * (0 for none), `Stale`, `Refused` or `Unavailable`.
   */
  void Hosts(std::uint64_t aKnown, HostsFunction aDone);

  /**
   * Records a version of an object received elsewhere, for example from another
   * daemon. Older answers are not accepted from then on.
   */
  void NoteVersion(std::string_view aKey, std::uint64_t aVersion);

  /** Whether the last request failed. */
  bool IsFailing() const;

  /** Returns the number of requests sent so far. */
  std::uint64_t RequestCount() const;

private:
  struct Operation;
  using OperationPointer = std::shared_ptr<Operation>;

  void Enqueue(OperationPointer aOperation);
  void ProcessWaiting();
  void ExpireWaiting(core::TimePoint aNow);
  void ScheduleWake(core::TimePoint aTime);
  void Send(const OperationPointer& aOperation);
  void Receive(const OperationPointer& aOperation,
               std::uint64_t aAttempt,
               const StoreResponse& aResponse);
  void ReceiveFailure(const OperationPointer& aOperation,
                      const StoreResponse& aResponse);
  void ReceiveRead(const OperationPointer& aOperation,
                   const StoreResponse& aResponse);
  void ReceiveReadBack(const OperationPointer& aOperation,
                       const StoreResponse& aResponse);
  void ReceiveWrite(const OperationPointer& aOperation,
                    const StoreResponse& aResponse);
  void ReceiveWatch(const OperationPointer& aOperation,
                    const StoreResponse& aResponse);
  void ReceiveHosts(const OperationPointer& aOperation,
                    const StoreResponse& aResponse);
  void ReceiveStale(const OperationPointer& aOperation, std::uint64_t aVersion);
  void Retry(const OperationPointer& aOperation);
  void Finish(const OperationPointer& aOperation, StoreResult aResult);
  void FinishExpired(const OperationPointer& aOperation);
  void RefillTokens(core::TimePoint aNow);
  std::uint64_t NewestVersion(const std::string& aKey) const;
  std::chrono::milliseconds DrawBackoff();

  StoreClientSettings settings;
  StoreHooks hooks;
  /** Operations whose next request has not been sent yet. */
  std::deque<OperationPointer> waiting;
  std::map<std::string, std::uint64_t, std::less<>> newestVersions;
  std::uint64_t newestHostListVersion = 0;
  double tokens;
  core::TimePoint tokensUpdatedAt;
  /** Consecutive failures; sets the backoff. */
  unsigned failures = 0;
  core::TimePoint earliestSendTime;
  /** When a failure was last counted. */
  core::TimePoint lastFailure;
  /** Requests in flight, without watches. */
  unsigned inFlight = 0;
  core::TimePoint wakeAt = core::TimePoint::max();
  std::uint64_t requestCount = 0;
  /** Expires with the client, so that functions held by the hooks do not use it
   * afterwards. */
  std::shared_ptr<bool> alive;
};

} // namespace fireflytrail::store
