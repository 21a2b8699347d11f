#pragma once

#include "core/Hooks.h"
#include "routing/LoadSample.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace fireflytrail::routing {

/** How the use of an instance ended. */
enum class UseOutcome : std::uint8_t
{
  /** A complete answer that is no failure of the server. */
  Answered,
  /** A complete answer that tells a failure of the server. */
  Failed,
  /** The server refused the request before running it. */
  Refused,
  /** Another server has the address. */
  WrongServer,
  /** No connection could be opened. */
  ConnectFailed,
  /** The connection ended without a whole and valid answer. */
  Lost,
  /** No answer by the deadline. */
  TimedOut,
  /** This side ended the request; says nothing about the server. */
  Cancelled,
};

/**
 * What is known about the load and the health of one instance, from the
 * requests that were granted to it and from its own reports. Not thread-safe.
 */
class InstanceLoad
{
public:
  /** Notes that a request is sent. */
  void Begin() { ++this->inFlight; }

  /**
   * Notes the end of a request. `aTypical` is the usual duration of the
   * service, above 0.
   */
  void End(UseOutcome aOutcome,
           std::chrono::nanoseconds aDuration,
           std::chrono::nanoseconds aTypical,
           core::TimePoint aNow);

  /** Takes a load report that arrived at `aNow` with the answer to a request
   * that has not ended yet; see `End`. */
  void Report(const LoadSample& aSample, core::TimePoint aNow);

  /** Returns the requests that are at the instance: those granted here, or
   * more if a fresh report says so. */
  double Busy(core::TimePoint aNow) const;

  /** Returns the requests granted here that have not ended. */
  std::uint32_t InFlight() const { return this->inFlight; }

  /**
   * Returns by how much longer than usual a request would take if sent now,
   * from the reported slowdown and from recent durations. `aMeanSlowdown` is
   * what instances of the service report on average; an old report says no more
   * than that.
   */
  std::chrono::nanoseconds Delay(std::chrono::nanoseconds aTypical,
                                 double aMeanSlowdown,
                                 core::TimePoint aNow) const;

  /** Whether a recent report says that the instance works at its usual speed.
   */
  bool IsKnownGood(core::TimePoint aNow) const;

  /** Returns when the last report arrived; the epoch if none has. */
  core::TimePoint SampledAt() const { return this->sampledAt; }

  /** Returns the slowdown that a fresh report states; 1 if there is none. */
  double FreshSlowdown(core::TimePoint aNow) const;

  /** Whether recent failures exclude the instance at this time. */
  bool IsEjected(core::TimePoint aNow) const
  {
    return aNow < this->ejectedUntil;
  }

  /** Whether the instance has failed and not answered since, so that one
   * request at a time should test it. */
  bool IsOnProbation() const { return this->failures >= kFailuresToEject; }

  /** Forgets everything, for an instance whose process was replaced. */
  void Reset() { *this = InstanceLoad{}; }

private:
  // Two failures happen by chance at an instance that loses one answer in 30;
  // three in a row are 1 in 27,000.
  static constexpr unsigned kFailuresToEject = 3;

  void Eject(std::chrono::milliseconds aFirst, core::TimePoint aNow);

  std::uint32_t inFlight = 0;
  unsigned failures = 0;
  unsigned ejections = 0;
  core::TimePoint ejectedUntil{};
  std::optional<LoadSample> sample;
  std::uint32_t inFlightAtSample = 0;
  core::TimePoint sampledAt{};
  /** Smoothed ratio of durations to the usual one, without the slowdown. */
  double durationRatio = 1;
  core::TimePoint durationAt{};
};

} // namespace fireflytrail::routing
