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
  /** The server answered and did not fail the call. */
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
 * Load of one server as this daemon sees it. Traffic threads update it, the
 * control thread reads it and sets the limit. It outlives routing snapshots, so
 * that counts survive a change of the table. All fields are atomics that are
 * read and written without ordering between them: each is an estimate on its
 * own, and a lost update of a smoothed value loses one sample.
 */
class ServerLoad
{
public:
  /** Limit of a server whose use is not limited by this daemon's share. */
  static constexpr std::uint32_t kUnlimited =
    std::numeric_limits<std::uint32_t>::max();

  /** Calls that `Acquire` tracks the start of; further ones are only counted.
   */
  static constexpr std::size_t kTrackedStarts = 16;

  /** Result of `TryAcquire`, to be given back to `Release`. */
  struct Token
  {
    /** Index of the tracked start; `kTrackedStarts` if it is not tracked. */
    std::uint32_t start = kTrackedStarts;
  };

  /** Totals since construction. */
  struct Totals
  {
    std::uint64_t acquired = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    /** Failed connects and broken connections. */
    std::uint64_t lost = 0;
    /** Sum of the durations of answered calls. */
    std::chrono::nanoseconds answeredTime{ 0 };
  };

  /** Makes an idle server with `aSlots` > 0 and a limit. */
  ServerLoad(ServerIdentity aIdentity,
             std::uint32_t aSlots,
             std::uint32_t aLimit = kUnlimited);

  ServerLoad(const ServerLoad&) = delete;
  ServerLoad& operator=(const ServerLoad&) = delete;

  /** Returns the identity. Thread-safe: it never changes. */
  const ServerIdentity& Identity() const { return this->identity; }

  /** Returns the slots of the server by the text. Thread-safe. */
  std::uint32_t Slots() const { return this->slots; }

  /**
   * Counts a call as in flight unless the limit is reached, the pace is
   * exceeded or the server reported that it drains. Thread-safe and lock-free.
   */
  std::optional<Token> TryAcquire(core::TimePoint aNow);

  /**
   * Ends the use of an acquired server. `aDuration` is the time from sending
   * to the end of the answer. Each token must be released exactly once.
   * Thread-safe and lock-free.
   */
  void Release(Token aToken,
               SelectionOutcome aOutcome,
               std::chrono::nanoseconds aDuration,
               core::TimePoint aNow);

  /** Records the report on an answer. Thread-safe and lock-free. */
  void RecordReport(const LoadReport& aReport, core::TimePoint aNow);

  /** Sets the number of calls that this daemon may have in flight.
   * Thread-safe; called by the control thread. */
  void SetLimit(std::uint32_t aLimit);

  /**
   * Sets the least time between two acquisitions; 0 for none. Used for servers
   * that end calls at once, which a limit of calls in flight does not bound.
   * Thread-safe; called by the control thread.
   */
  void SetPace(std::chrono::nanoseconds aInterval);

  /** Returns the limit. Thread-safe. */
  std::uint32_t Limit() const
  {
    return this->limit.load(std::memory_order_relaxed);
  }

  /** Returns this daemon's calls in flight. Thread-safe. */
  std::uint32_t InFlight() const
  {
    return this->inFlight.load(std::memory_order_relaxed);
  }

  /** Whether `TryAcquire` would succeed now. Thread-safe. */
  bool Usable() const
  {
    return this->InFlight() < this->Limit() &&
           this->State() != ReportedState::Draining;
  }

  /** Returns the reported calls in flight of all daemons. Thread-safe. */
  std::uint32_t ReportedInFlight() const
  {
    return this->reportedInFlight.load(std::memory_order_relaxed);
  }

  /** Returns when the last report arrived, if one did. Thread-safe. */
  std::optional<core::TimePoint> ReportedAt() const;

  /** Returns the start identity that was reported last; 0 before the first
   * report. Thread-safe. */
  std::uint64_t ReportedStart() const
  {
    return this->reportedStart.load(std::memory_order_relaxed);
  }

  /** Returns the state that was reported last. Thread-safe. */
  ReportedState State() const
  {
    return this->reportedState.load(std::memory_order_relaxed);
  }

  /** Forgets a report of draining, for a server that came back. Thread-safe. */
  void ClearReportedState();

  /** Returns the smoothed time of answered calls; 0 before the first.
   * Thread-safe. */
  std::chrono::nanoseconds ServiceTime() const
  {
    return std::chrono::nanoseconds(
      this->serviceTime.load(std::memory_order_relaxed));
  }

  /** Returns the age of the oldest tracked call in flight; 0 without one.
   * Thread-safe. */
  std::chrono::nanoseconds OldestInFlight(core::TimePoint aNow) const;

  /** Returns when a server last refused a call, if it did. Thread-safe. */
  std::optional<core::TimePoint> RefusedAt() const;

  /** Returns when the last call was answered, if one was. Thread-safe. */
  std::optional<core::TimePoint> AnsweredAt() const;

  /** Returns the smoothed share of calls that failed, were refused or were
   * lost, from 0 to 1. Thread-safe. */
  double FailureRatio() const
  {
    return this->failureRatio.load(std::memory_order_relaxed);
  }

  /** Forgets failures, for a server that others found to be well again.
   * Thread-safe. */
  void ClearFailures()
  {
    this->failureRatio.store(0, std::memory_order_relaxed);
  }

  /** Returns the totals. Thread-safe. */
  Totals Counts() const;

  /** Counts an open connection to the server in or out. Thread-safe. */
  void AddConnections(std::int32_t aCount);

  /** Returns this daemon's open connections to the server. Thread-safe. */
  std::int32_t Connections() const
  {
    return this->connections.load(std::memory_order_relaxed);
  }

private:
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
  std::atomic<std::int64_t> pace{ 0 };
  std::atomic<std::int64_t> notBefore{ kNever };
  std::atomic<std::uint64_t> acquired{ 0 };
  std::atomic<std::uint64_t> answered{ 0 };
  std::atomic<std::uint64_t> failed{ 0 };
  std::atomic<std::uint64_t> refused{ 0 };
  std::atomic<std::uint64_t> lost{ 0 };
  std::atomic<std::int64_t> answeredTime{ 0 };
  std::array<std::atomic<std::int64_t>, kTrackedStarts> starts;
};

} // namespace fireflytrail::routing
