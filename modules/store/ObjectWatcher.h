#pragma once

#include "core/Hooks.h"
#include "store/ObjectDialect.h"
#include "store/StoreRequest.h"
#include "store/StoreResponse.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflytrail::store {

/** A kind of objects that is kept up to date. */
struct WatchedKind
{
  std::string name;
  /** Longest time that a watch waits. A waiting watch can go silent without a
   * reset, so this is how late news of the kind may be. */
  std::chrono::milliseconds wait{ 0 };
};

/** The surroundings of an `ObjectWatcher`. All functions must be set. */
struct WatcherHooks
{
  core::NowFunction now;
  core::RandomFunction random;
  /** Sends a request; the function is called once with what came of it. */
  std::function<void(const StoreRequest&, std::function<void(StoreResponse)>)>
    send;
  /** Calls the function after a time. */
  std::function<void(std::chrono::milliseconds, std::function<void()>)> after;
  /** Receives all objects of a kind as of a revision. */
  std::function<
    void(const std::string& aKind, std::uint64_t, std::vector<ObjectRecord>)>
    onList;
  /** Receives the objects of a kind that have changed; none if a watch ended
   * without a change. */
  std::function<void(const std::string& aKind, std::vector<ObjectRecord>)>
    onChanges;
  /** Told the end of each call, for logs. */
  std::function<void(const StoreRequest&, const StoreResponse&)> onCall;
  /** Told when the store stops answering and when it answers again. The text
   * says what failed. */
  std::function<void(bool aIsLost, const std::string& aDetail)> onContact;
};

/**
 * Keeps the objects of some kinds up to date: lists each kind once, with a
 * cheap call whose answer may be seconds old, and then waits for its changes. A
 * cheap call every half second shows whether the store answers: a waiting watch
 * can go silent without a reset. While the store does not answer, only these
 * calls are made, since refused calls are paid for too; after that each kind
 * goes on from the revision that it had. A history that is gone is listed anew.
 *
 * Performs no I/O. Not thread-safe.
 */
class ObjectWatcher
{
public:
  /** `aKinds` is not empty; the last, which should be small, is read to see
   * whether the store answers. Its new objects are then known within half a
   * second also while its watch is silent. */
  ObjectWatcher(std::vector<WatchedKind> aKinds,
                ObjectDialect aDialect,
                WatcherHooks aHooks);
  ObjectWatcher(const ObjectWatcher&) = delete;
  ObjectWatcher& operator=(const ObjectWatcher&) = delete;

  /** Starts reading. Call once. */
  void Start();

  /** Starts no more requests. */
  void Stop() { this->isStopped = true; }

  /**
   * Sets whether the kinds are watched. If not, each is still listed once. A
   * watch that waits is not cut off.
   */
  void SetActive(bool aIsActive);

  /** Notes that a kind is known up to a revision from elsewhere. */
  void NoteRevision(const std::string& aKind, std::uint64_t aRevision);

  /** Whether the last call failed. */
  bool IsLost() const { return this->isLost; }

  /** Returns when the store answered last, if it did. */
  std::optional<core::TimePoint> LastContact() const
  {
    return this->lastContact;
  }

  /** Returns the calls sent since the start. */
  std::uint64_t CallCount() const { return this->callCount; }

private:
  /** How far one kind has been read. */
  struct Progress
  {
    std::vector<ObjectRecord> listed;
    std::string after;
    /** Least revision of the pages of a list so far. */
    std::uint64_t listRevision = 0;
    /** Whether a list must be the newest: an old one may end before the history
     * that is left. */
    bool mustBeNew = false;
    /** Whether the last watch was cut off. */
    bool isCut = false;
    /** 0 until the kind has been listed. */
    std::uint64_t revision = 0;
    bool isBusy = false;
    std::chrono::milliseconds wait{ 0 };
  };

  void Continue(const std::string& aKind);
  void List(const std::string& aKind);
  void Watch(const std::string& aKind);
  void OnListed(const std::string& aKind, const StoreResponse& aResponse);
  void OnChanged(const std::string& aKind, const StoreResponse& aResponse);
  void Send(const std::string& aKind,
            std::string aTarget,
            std::chrono::milliseconds aTimeout,
            std::function<void(const StoreResponse&)> aOnAnswer);
  bool HasWork() const;
  void SchedulePing(std::chrono::milliseconds aDelay);
  void Ping();
  void TakePing(const StoreResponse& aResponse);
  void NoteContact();
  void NoteFailure(const std::string& aDetail);

  std::vector<WatchedKind> kinds;
  ObjectDialect dialect;
  WatcherHooks hooks;
  std::map<std::string, Progress, std::less<>> progress;
  bool isLost = false;
  bool isPingDue = false;
  bool isStopped = false;
  bool isActive = true;
  unsigned failures = 0;
  std::optional<core::TimePoint> lastContact;
  std::uint64_t callCount = 0;
};

} // namespace fireflytrail::store
