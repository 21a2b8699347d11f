#include "routing/InstanceLoad.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fireflytrail::routing {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

// Time constant with which a reported slowdown, or a reported number of other
// senders' requests, decays. On the platform, an instance that reported its
// usual speed is slow in 2 % of the cases 50 ms later, in 9 % after 100 ms and
// in 24 % after 300 ms, which is the average.
constexpr milliseconds kReportDecayTime = 200ms;

// Time for which a reported slowdown is assumed to last: after 150 ms, 83 % of
// the slow instances are still slow; after 300 ms, no more than on average.
constexpr milliseconds kSlowdownReportLifetime = 200ms;

// Time for which a report of the usual speed is trusted: after it, 9 % of the
// instances have become slow.
constexpr milliseconds kNormalReportLifetime = 100ms;

// Slowdown from which an instance counts as slow. Durations differ by a third
// even without a slowdown.
constexpr double kSlownessThreshold = 1.33;

// EWMA weight of one duration: with a lasting slowdown of 5, the averaged ratio
// is above 2 after two answers.
constexpr double kDurationWeight = 0.25;

// Time constant with which the slowness seen in durations decays, so that an
// instance that gets no requests is tried again.
constexpr milliseconds kDurationDecayTime = 2000ms;

// Durations of the first ejection. An instance that refuses connections has
// stopped or is starting; one that fails requests may recover at any time.
constexpr milliseconds kEjectionAfterConnectFailure = 500ms;
constexpr milliseconds kEjectionAfterFailures = 1000ms;
constexpr milliseconds kEjectionAfterRefusal = 50ms;
// Service discovery removes an address that belongs to another server within
// seconds.
constexpr milliseconds kEjectionAfterWrongServer = 10'000ms;
// Each repeated ejection lasts twice as long as the one before, at most this
// many times: up to eight seconds after failed requests.
constexpr unsigned kMaxEjectionDoublings = 3;

// Consecutive refusals with room after which an instance is excluded for a
// short time. Of the instances that refuse half of their requests, one in 32
// refuses five in a row.
constexpr unsigned kRefusalsWithRoomToEject = 5;

// EWMA weight of one request in the share of refusals with room, and the time
// constant with which the share decays.
constexpr double kRefusedShareWeight = 0.2;
constexpr milliseconds kRefusedShareDecayTime = 2000ms;

double
Decay(core::TimePoint aSince, core::TimePoint aNow, milliseconds aTimeConstant)
{
  const std::chrono::duration<double> age = aNow - aSince;
  return std::exp(-age / std::chrono::duration<double>(aTimeConstant));
}

} // namespace

void
InstanceLoad::End(AttemptOutcome aOutcome,
                  nanoseconds aDuration,
                  nanoseconds aTypicalDuration,
                  core::TimePoint aNow)
{
  assert(this->inFlight > 0 && aTypicalDuration.count() > 0);
  if (this->inFlight > 0) {
    // A count that wraps would make the instance full for good.
    --this->inFlight;
  }
  switch (aOutcome) {
    case AttemptOutcome::Answered: {
      this->failures = 0;
      this->ejections = 0;
      this->ejectedUntil = {};
      this->refusalsWithRoom = 0;
      this->UpdateRefusedShare(0, aNow);
      const double ratio =
        static_cast<double>(aDuration.count()) / aTypicalDuration.count();
      this->durationRatio += kDurationWeight * (ratio - this->durationRatio);
      this->durationAt = aNow;
      return;
    }
    case AttemptOutcome::Cancelled:
      return;
    case AttemptOutcome::Refused:
      this->Eject(kEjectionAfterRefusal, aNow);
      return;
    case AttemptOutcome::ConnectFailed:
      this->failures = std::max(this->failures + 1, kFailuresToEject);
      this->Eject(kEjectionAfterConnectFailure, aNow);
      return;
    case AttemptOutcome::WrongServer:
      this->failures = kFailuresToEject;
      this->Eject(kEjectionAfterWrongServer, aNow);
      return;
    case AttemptOutcome::Failed:
    case AttemptOutcome::Lost:
    case AttemptOutcome::TimedOut:
      ++this->failures;
      if (this->IsOnProbation()) {
        this->Eject(kEjectionAfterFailures, aNow);
      }
      return;
  }
}

void
InstanceLoad::EndRefusedWithRoom(core::TimePoint aNow)
{
  assert(this->inFlight > 0);
  if (this->inFlight > 0) {
    --this->inFlight;
  }
  this->UpdateRefusedShare(1, aNow);
  if (++this->refusalsWithRoom >= kRefusalsWithRoomToEject) {
    this->Eject(kEjectionAfterRefusal, aNow);
  }
}

double
InstanceLoad::RefusedShare(core::TimePoint aNow) const
{
  return this->refusedShare == 0
           ? 0
           : this->refusedShare *
               Decay(this->refusedShareAt, aNow, kRefusedShareDecayTime);
}

void
InstanceLoad::UpdateRefusedShare(double aValue, core::TimePoint aNow)
{
  if (aValue == 0 && this->refusedShare == 0) {
    return;
  }
  const double share = this->RefusedShare(aNow);
  this->refusedShare = share + kRefusedShareWeight * (aValue - share);
  this->refusedShareAt = aNow;
}

void
InstanceLoad::ApplyReport(const LoadSample& aSample, core::TimePoint aNow)
{
  this->report = aSample;
  this->inFlightAtReport = this->inFlight;
  this->reportedAt = aNow;
}

double
InstanceLoad::EstimatedInFlight(core::TimePoint aNow) const
{
  if (!this->report) {
    return this->inFlight;
  }
  const double reported = this->report->running + this->report->waiting;
  const double others =
    std::max(0.0, reported - static_cast<double>(this->inFlightAtReport));
  return this->inFlight +
         others * Decay(this->reportedAt, aNow, kReportDecayTime);
}

nanoseconds
InstanceLoad::ExpectedExtraDuration(nanoseconds aTypicalDuration,
                                    double aMeanSlowdown,
                                    core::TimePoint aNow) const
{
  // A request that starts while the instance is slow is slower for its whole
  // duration.
  double slowdown = aMeanSlowdown;
  if (this->report) {
    slowdown += (this->report->slowdown - aMeanSlowdown) *
                Decay(this->reportedAt, aNow, kReportDecayTime);
  }
  double excess = std::max(slowdown - 1, 0.0);
  if (this->durationRatio > 1) {
    excess += (this->durationRatio - 1) *
              Decay(this->durationAt, aNow, kDurationDecayTime);
  }
  return nanoseconds(static_cast<nanoseconds::rep>(
    excess * static_cast<double>(aTypicalDuration.count())));
}

bool
InstanceLoad::IsKnownGood(core::TimePoint aNow) const
{
  return this->report && aNow - this->reportedAt < kNormalReportLifetime &&
         this->report->slowdown < kSlownessThreshold;
}

double
InstanceLoad::FreshSlowdown(core::TimePoint aNow) const
{
  return this->report && aNow - this->reportedAt < kSlowdownReportLifetime
           ? this->report->slowdown
           : 1;
}

void
InstanceLoad::Eject(milliseconds aBaseDuration, core::TimePoint aNow)
{
  const milliseconds ejectionTime = aBaseDuration * (1U << this->ejections);
  this->ejectedUntil = std::max(this->ejectedUntil, aNow + ejectionTime);
  this->ejections = std::min(this->ejections + 1, kMaxEjectionDoublings);
}

} // namespace fireflytrail::routing
