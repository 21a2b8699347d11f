#pragma once

#include "core/Hooks.h"
#include "routing/LoadReport.h"
#include "routing/ServerIdentity.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>

namespace fireflytrail::routing {

/** How the use of a selected server ended. */
enum class SelectionOutcome : std::uint8_t
{
  /** The server answered without an error of its own. */
  Answered,
  /** The server answered with an error of its own (5xx). */
  Failed,
  /** The server refused before running the call. */
  Refused,
  ConnectFailed,
  /** The connection broke after the call was sent. */
  ConnectionLost,
  /** The call was cancelled or its deadline passed. */
  Cancelled,
};

/**
 * Load of one server from the point of view of this daemon. The traffic threads
 * update it; the control thread reads it and sets the limit. It outlives
 * routing snapshots, so that counts survive a change of the table. All fields
 * are atomics with relaxed memory order: each is an independent estimate, and a
 * lost update of a smoothed value loses only one sample.
 */
class ServerLoad
{
public:
  /** Limit of a server on which this daemon may have any number of calls in
   * flight. */
  static constexpr std::uint32_t kUnlimited =
    std::numeric_limits<std::uint32_t>::max();

  /** Maximum number of calls in flight whose start times are tracked; further
   * calls are only counted. */
  static constexpr std::size_t kTrackedStarts = 16;

  /** Result of `TryAcquire`, to be passed to `Release`. */
  struct Token
  {
    /** Index of the tracked start time; `kTrackedStarts` if it is not tracked.
     */
    std::uint32_t start = kTrackedStarts;
  };

  /** Totals since construction. */
  struct Totals
  {
    std::uint64_t acquired = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    /** Failed connection attempts and broken connections. */
    std::uint64_t lost = 0;
    /** Sum of the durations of answered calls. */
    std::chrono::nanoseconds answeredTime{ 0 };
  };

  /** Creates the load of an idle server. `aSlots` must be above 0; `aLimit` is
   * the number of calls that this daemon may have in flight. */
  ServerLoad(ServerIdentity aIdentity,
             std::uint32_t aSlots,
             std::uint32_t aLimit = kUnlimited);

  ServerLoad(const ServerLoad&) = delete;
  ServerLoad& operator=(const ServerLoad&) = delete;

  /** Returns the identity, which never changes. Thread-safe. */
  const ServerIdentity& Identity() const { return this->identity; }

  /** Returns the number of slots of the server, as set in the operators' text.
   * Thread-safe. */
  std::uint32_t Slots() const { return this->slots; }

  /**
   * Counts a call as in flight and returns its token. Returns nothing if the
   * limit is reached, the minimum interval since the last acquisition has not
   * passed or the server reported that it is draining. Thread-safe and
   * lock-free.
   */
  std::optional<Token> TryAcquire(core::TimePoint aNow);

  /**
   * Ends the use of an acquired server. `aDuration` is the time from sending
   * the call to the end of the answer. Each token must be released exactly
   * once. Thread-safe and lock-free.
   */
  void Release(Token aToken,
               SelectionOutcome aOutcome,
               std::chrono::nanoseconds aDuration,
               core::TimePoint aNow);

  /** Records the load report of an answer that arrived at `aNow`. Thread-safe
   * and lock-free. */
  void RecordReport(const LoadReport& aReport, core::TimePoint aNow);

  /** Sets the number of calls that this daemon may have in flight. Thread-safe;
   * called by the control thread. */
  void SetLimit(std::uint32_t aLimit);

  /**
   * Sets the minimum time between two acquisitions; 0 for none. Used for
   * servers that fail calls immediately: a limit of calls in flight does not
   * limit the rate of such calls. Thread-safe; called by the control thread.
   */
  void SetMinimumInterval(std::chrono::nanoseconds aInterval);

  /** Returns the number of calls that this daemon may have in flight.
   * Thread-safe. */
  std::uint32_t Limit() const
  {
    return this->limit.load(std::memory_order_relaxed);
  }

  /** Returns this daemon's calls in flight. Thread-safe. */
  std::uint32_t InFlight() const
  {
    return this->inFlight.load(std::memory_order_relaxed);
  }

  /** Whether the limit and the reported state allow another call. Does not
   * check the minimum interval, so `TryAcquire` may still fail. Thread-safe. */
  bool Usable() const
  {
    return this->InFlight() < this->Limit() &&
           this->State() != ReportedState::Draining;
  }

  /** Returns the calls in flight from all daemons, as last reported by the
   * server. Thread-safe. */
  std::uint32_t ReportedInFlight() const
  {
    return this->reportedInFlight.load(std::memory_order_relaxed);
  }

  /** Returns when the last load report arrived, or nothing before the first.
   * Thread-safe. */
  std::optional<core::TimePoint> ReportedAt() const;

  /** Returns the last reported start identity; 0 before the first report.
   * Thread-safe. */
  std::uint64_t ReportedStart() const
  {
    return this->reportedStart.load(std::memory_order_relaxed);
  }

  /** Returns the last reported state. Thread-safe. */
  ReportedState State() const
  {
    return this->reportedState.load(std::memory_order_relaxed);
  }

  /** Resets the reported state to `Ready`, for a server that returned after
   * draining. Thread-safe. */
  void ClearReportedState();

  /** Returns the smoothed duration of answered calls; 0 before the first
   * answer. Thread-safe. */
  std::chrono::nanoseconds ServiceTime() const
  {
    return std::chrono::nanoseconds(
      this->serviceTime.load(std::memory_order_relaxed));
  }

  /** Returns the age of the oldest tracked call in flight; 0 if there is none.
   * Thread-safe. */
  std::chrono::nanoseconds OldestInFlight(core::TimePoint aNow) const;

  /** Returns when the server last refused a call, or nothing if it has not.
   * Thread-safe. */
  std::optional<core::TimePoint> RefusedAt() const;

  /** Returns when the last call was answered, or nothing before the first
   * answer. Thread-safe. */
  std::optional<core::TimePoint> AnsweredAt() const;

  /** Returns the smoothed share of calls that failed, were refused or were
   * lost, from 0 to 1. Thread-safe. */
  double FailureRatio() const
  {
    return this->failureRatio.load(std::memory_order_relaxed);
  }

  /** Resets the failure ratio to 0, for a server that other daemons found to
   * have recovered. Thread-safe. */
  void ClearFailures()
  {
    this->failureRatio.store(0, std::memory_order_relaxed);
  }

  /** Returns the totals since construction. Thread-safe. */
  Totals Counts() const;

  /** Adds `aCount`, which may be negative, to this daemon's open connections.
   * Thread-safe. */
  void AddConnections(std::int32_t aCount);

  /** Returns this daemon's open connections to the server. Thread-safe. */
  std::int32_t Connections() const
  {
    return this->connections.load(std::memory_order_relaxed);
  }

private:
  /** Stands for a time that is not set. Times and durations of the fields below
   * are in nanoseconds. */
  static constexpr std::int64_t kNever =
    std::numeric_limits<std::int64_t>::min();

  const ServerIdentity identity;
  const std::uint32_t slots;
  std::atomic<std::uint32_t> inFlight{ 0 };
  std::atomic<std::uint32_t> limit;
  std::atomic<std::uint32_t> reportedInFlight{ 0 };
  std::atomic<ReportedState> reportedState{ ReportedState::Ready };
  std::atomic<std::uint64_t> reportedStart{ 0 };
  std::atomic<std::int64_t> reportedAt{ kNever };
  std::atomic<std::int64_t> refusedAt{ kNever };
  std::atomic<std::int64_t> answeredAt{ kNever };
  std::atomic<std::int64_t> serviceTime{ 0 };
  std::atomic<std::int32_t> connections{ 0 };
  std::atomic<float> failureRatio{ 0 };
  std::atomic<std::int64_t> minimumInterval{ 0 };
  std::atomic<std::int64_t> nextAcquireAt{ kNever };
  std::atomic<std::uint64_t> acquired{ 0 };
  std::atomic<std::uint64_t> answered{ 0 };
  std::atomic<std::uint64_t> failed{ 0 };
  std::atomic<std::uint64_t> refused{ 0 };
  std::atomic<std::uint64_t> lost{ 0 };
  std::atomic<std::int64_t> answeredTime{ 0 };
  std::array<std::atomic<std::int64_t>, kTrackedStarts> startTimes;
};

} // namespace fireflytrail::routing
