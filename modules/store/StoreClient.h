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
 * Decides when and how often requests go to the platform and what their
 * answers mean. Operations wait for the call budget and, after failures, for
 * the backoff; during an outage one request at a time finds out whether the
 * store is back. Not thread-safe: all methods and hooks run on one thread.
 * Completion functions may start further operations.
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
   * Reads an object: `Ok`, `NotFound`, `Stale` or `Unavailable`. The result
   * is never older than what this client has seen of the object.
   */
  void Read(std::string aKey, ResultFunction aDone);

  /**
   * Writes an object if its version is `aExpected`, 0 for a new one: `Ok`,
   * `Conflict`, `Refused`, `Unavailable` or `Unknown`. `aBody` must be a JSON
   * object that starts with its brace. A lost answer is resolved by reading
   * back.
   */
  void Write(std::string aKey,
             std::string aBody,
             std::uint64_t aExpected,
             ResultFunction aDone);

  /**
   * Waits for a version above `aVersion`: `Ok`, `NotModified` after the watch
   * time, or `Unavailable`.
   */
  void Watch(std::string aKey, std::uint64_t aVersion, ResultFunction aDone);

  /**
   * Reads the host list: `Ok`, `NotModified` if it is still at `aKnown` (0 for
   * none), `Stale` or `Unavailable`.
   */
  void Hosts(std::uint64_t aKnown, HostsFunction aDone);

  /**
   * Tells the client of a version learned elsewhere, for example from another
   * daemon. Older answers are not accepted from then on.
   */
  void NoteVersion(std::string_view aKey, std::uint64_t aVersion);

  /** Tells whether the last request failed. */
  bool IsFailing() const;

  /** Returns the number of requests sent so far. */
  std::uint64_t RequestCount() const;

private:
  struct Operation;
  using OperationPointer = std::shared_ptr<Operation>;

  void Begin(OperationPointer aOperation);
  void Pump();
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
  void GiveUp(const OperationPointer& aOperation);
  void RefillTokens(core::TimePoint aNow);
  std::uint64_t NewestVersion(const std::string& aKey) const;
  std::chrono::milliseconds DrawBackoff();

  StoreClientSettings settings;
  StoreHooks hooks;
  std::deque<OperationPointer> waiting;
  std::map<std::string, std::uint64_t, std::less<>> newestVersions;
  std::uint64_t newestHosts = 0;
  double tokens;
  core::TimePoint tokensAt;
  unsigned failures = 0;
  core::TimePoint notBefore;
  core::TimePoint lastFailure;
  /** Requests under way, without watches. */
  unsigned underWay = 0;
  core::TimePoint wakeAt = core::TimePoint::max();
  std::uint64_t requestCount = 0;
  /** Expires with the client; guards functions held by hooks. */
  std::shared_ptr<bool> alive;
};

} // namespace fireflytrail::store
