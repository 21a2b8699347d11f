#pragma once

#include "core/Hooks.h"
#include "routing/LoadSample.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace fireflytrail::routing {

/** Outcome of sending a request to an instance. */
enum class AttemptOutcome : std::uint8_t
{
  /** A complete answer that does not report a server failure. */
  Answered,
  /** A complete answer that reports a server failure. */
  Failed,
  /** The server refused the request before running it. */
  Refused,
  /** Another server uses the address by now. */
  WrongServer,
  /** No connection could be opened. */
  ConnectFailed,
  /** The connection ended before a complete and valid answer. */
  Lost,
  /** No answer by the deadline. */
  TimedOut,
  /** The request was cancelled on this side, which says nothing about the
   * server. */
  Cancelled,
};

/**
 * Load and health of one instance, estimated from the requests that were
 * granted to it and from its own reports. Not thread-safe.
 */
class InstanceLoad
{
public:
  /** Records that a request is sent. */
  void Begin() { ++this->inFlight; }

  /**
   * Records the end of a request. `aTypicalDuration` is the typical duration of
   * a request to the service, above 0.
   */
  void End(AttemptOutcome aOutcome,
           std::chrono::nanoseconds aDuration,
           std::chrono::nanoseconds aTypicalDuration,
           core::TimePoint aNow);

  /**
   * Records the end of a request that the instance refused although the report
   * that came with the refusal says that it has room. Another request may well
   * be accepted, so that the instance is only excluded if it refuses several in
   * a row.
   */
  void EndRefusedWithRoom(core::TimePoint aNow);

  /** Applies a load report that arrived at `aNow`. A report that came with the
   * answer to a request must be applied before `End` is called for that
   * request, since the report counts it. */
  void ApplyReport(const LoadSample& aSample, core::TimePoint aNow);

  /** Returns the estimated number of requests at the instance: those granted
   * here and, from the last report, those of other senders. The latter decay
   * with the age of the report. */
  double EstimatedInFlight(core::TimePoint aNow) const;

  /** Returns the number of requests granted here that have not ended. */
  std::uint32_t InFlight() const { return this->inFlight; }

  /**
   * Returns the expected extra duration of a request that is sent now, compared
   * with `aTypicalDuration`, from the reported slowdown and from recent
   * durations. `aMeanSlowdown` is the average of the slowdowns that instances
   * of the service report; the estimate falls back to it as the last report
   * ages.
   */
  std::chrono::nanoseconds ExpectedExtraDuration(
    std::chrono::nanoseconds aTypicalDuration,
    double aMeanSlowdown,
    core::TimePoint aNow) const;

  /** Returns the estimated share of requests that the instance refuses although
   * it has room. The estimate decays with the time since the last one. */
  double RefusedShare(core::TimePoint aNow) const;

  /** Whether a recent report says that the instance runs at its usual speed. */
  bool IsKnownGood(core::TimePoint aNow) const;

  /** Returns when the last report arrived; the epoch if there was none. */
  core::TimePoint ReportedAt() const { return this->reportedAt; }

  /** Returns the slowdown in the last report if the report is recent; otherwise
   * 1. */
  double FreshSlowdown(core::TimePoint aNow) const;

  /** Whether the instance is excluded at `aNow` because of recent failures or
   * refusals. */
  bool IsEjected(core::TimePoint aNow) const
  {
    return aNow < this->ejectedUntil;
  }

  /** Whether the instance has failed often enough to be ejected and has not
   * answered since. It then gets only one request at a time, as a test. */
  bool IsOnProbation() const { return this->failures >= kFailuresToEject; }

  /** Resets all state, for an instance whose process was replaced. */
  void Reset() { *this = InstanceLoad{}; }

private:
  // An instance that loses one answer in 30 by chance has two failures in a row
  // now and then; three in a row have a probability of 1 in 27,000.
  static constexpr unsigned kFailuresToEject = 3;

  void Eject(std::chrono::milliseconds aBaseDuration, core::TimePoint aNow);
  void UpdateRefusedShare(double aValue, core::TimePoint aNow);

  std::uint32_t inFlight = 0;
  unsigned failures = 0;
  unsigned ejections = 0;
  core::TimePoint ejectedUntil{};
  std::optional<LoadSample> report;
  std::uint32_t inFlightAtReport = 0;
  core::TimePoint reportedAt{};
  /** EWMA of the ratio of durations to the typical duration; kept separately
   * from the reported slowdown. */
  double durationRatio = 1;
  core::TimePoint durationAt{};
  /** Consecutive refusals with room. */
  unsigned refusalsWithRoom = 0;
  /** EWMA of refusals with room (1) and answers (0). */
  double refusedShare = 0;
  core::TimePoint refusedShareAt{};
};

} // namespace fireflytrail::routing
