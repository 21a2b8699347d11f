#include "routing/InstanceLoad.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fireflytrail::routing {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

// Time after which a report of slowness or of other callers' requests has lost
// most of its meaning. On the platform, an instance that reported its usual
// speed is slow in 2 % of the cases 50 ms later, in 9 % after 100 ms and in
// 24 % after 300 ms, which is the average.
constexpr milliseconds kReportMemory = 200ms;

// Time for which an instance that reported to be slow is taken to be so: after
// 150 ms 83 % still are, after 300 ms no more than on average.
constexpr milliseconds kFreshReport = 200ms;

// Time for which an instance that reported its usual speed is taken to have it:
// after that 9 % have become slow.
constexpr milliseconds kGoodReport = 100ms;

// Slowdown from which an instance counts as slow: durations differ by a third
// without it.
constexpr double kLeastSlowdown = 1.33;

// Weight of one duration in the smoothed ratio: a lasting slowdown of 5 shows
// as a ratio above 2 after two answers.
constexpr double kDurationWeight = 0.25;

// Time after which an observed slowness is mostly forgotten, so that an
// instance that gets no requests is tried again.
constexpr milliseconds kDurationMemory = 2000ms;

// First exclusions. An instance that refuses connections has ended or starts;
// one that fails requests may recover at any time.
constexpr milliseconds kEjectAfterConnect = 500ms;
constexpr milliseconds kEjectAfterFailures = 1000ms;
constexpr milliseconds kEjectAfterRefusal = 50ms;
// An address that belongs to another server is dropped by discovery within
// seconds.
constexpr milliseconds kEjectAfterWrongServer = 10'000ms;
// Repeated exclusions double up to this factor, eight seconds.
constexpr unsigned kMostDoublings = 3;

double
Decay(core::TimePoint aSince, core::TimePoint aNow, milliseconds aMemory)
{
  const std::chrono::duration<double> age = aNow - aSince;
  return std::exp(-age / std::chrono::duration<double>(aMemory));
}

} // namespace

void
InstanceLoad::End(UseOutcome aOutcome,
                  nanoseconds aDuration,
                  nanoseconds aTypical,
                  core::TimePoint aNow)
{
  assert(this->inFlight > 0 && aTypical.count() > 0);
  --this->inFlight;
  switch (aOutcome) {
    case UseOutcome::Answered: {
      this->failures = 0;
      this->ejections = 0;
      this->ejectedUntil = {};
      const double ratio =
        static_cast<double>(aDuration.count()) / aTypical.count();
      this->durationRatio += kDurationWeight * (ratio - this->durationRatio);
      this->durationAt = aNow;
      return;
    }
    case UseOutcome::Cancelled:
      return;
    case UseOutcome::Refused:
      this->Eject(kEjectAfterRefusal, aNow);
      return;
    case UseOutcome::ConnectFailed:
      this->failures = std::max(this->failures + 1, kFailuresToEject);
      this->Eject(kEjectAfterConnect, aNow);
      return;
    case UseOutcome::WrongServer:
      this->failures = kFailuresToEject;
      this->Eject(kEjectAfterWrongServer, aNow);
      return;
    case UseOutcome::Failed:
    case UseOutcome::Lost:
    case UseOutcome::TimedOut:
      ++this->failures;
      if (this->IsOnProbation()) {
        this->Eject(kEjectAfterFailures, aNow);
      }
      return;
  }
}

void
InstanceLoad::Report(const LoadSample& aSample, core::TimePoint aNow)
{
  this->sample = aSample;
  this->inFlightAtSample = this->inFlight;
  this->sampledAt = aNow;
}

double
InstanceLoad::Busy(core::TimePoint aNow) const
{
  if (!this->sample) {
    return this->inFlight;
  }
  const double reported = this->sample->running + this->sample->waiting;
  const double others =
    std::max(0.0, reported - static_cast<double>(this->inFlightAtSample));
  return this->inFlight + others * Decay(this->sampledAt, aNow, kReportMemory);
}

nanoseconds
InstanceLoad::Delay(nanoseconds aTypical,
                    double aMeanSlowdown,
                    core::TimePoint aNow) const
{
  // A request that begins while the instance is slow takes longer as a whole.
  double slowdown = aMeanSlowdown;
  if (this->sample) {
    slowdown += (this->sample->slowdown - aMeanSlowdown) *
                Decay(this->sampledAt, aNow, kReportMemory);
  }
  double excess = std::max(slowdown - 1, 0.0);
  if (this->durationRatio > 1) {
    excess += (this->durationRatio - 1) *
              Decay(this->durationAt, aNow, kDurationMemory);
  }
  return nanoseconds(static_cast<nanoseconds::rep>(
    excess * static_cast<double>(aTypical.count())));
}

bool
InstanceLoad::IsKnownGood(core::TimePoint aNow) const
{
  return this->sample && aNow - this->sampledAt < kGoodReport &&
         this->sample->slowdown < kLeastSlowdown;
}

double
InstanceLoad::FreshSlowdown(core::TimePoint aNow) const
{
  return this->sample && aNow - this->sampledAt < kFreshReport
           ? this->sample->slowdown
           : 1;
}

void
InstanceLoad::Eject(milliseconds aFirst, core::TimePoint aNow)
{
  const milliseconds time = aFirst * (1U << this->ejections);
  this->ejectedUntil = std::max(this->ejectedUntil, aNow + time);
  this->ejections = std::min(this->ejections + 1, kMostDoublings);
}

} // namespace fireflytrail::routing
