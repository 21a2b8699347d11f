#include "routing/ServerLoad.h"

#include <cassert>
#include <utility>

namespace fireflytrail::routing {

namespace {

constexpr auto kRelaxed = std::memory_order_relaxed;

/** A new sample has the weight 1 divided by this in the smoothed service time
 * and failure ratio. With about 15 answers per second per daemon and server,
 * they follow a change within 0.3 s. */
constexpr std::int64_t kSmoothingDivisor = 4;

std::int64_t
ToNanoseconds(core::TimePoint aTime)
{
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
           aTime.time_since_epoch())
    .count();
}

core::TimePoint
FromNanoseconds(std::int64_t aTime)
{
  return core::TimePoint(std::chrono::duration_cast<core::TimePoint::duration>(
    std::chrono::nanoseconds(aTime)));
}

} // namespace

ServerLoad::ServerLoad(ServerIdentity aIdentity,
                       std::uint32_t aSlots,
                       std::uint32_t aLimit)
  : identity(std::move(aIdentity))
  , slots(aSlots)
  , limit(aLimit)
{
  assert(aSlots > 0);
  for (auto& start : this->startTimes) {
    start.store(kNever, kRelaxed);
  }
}

std::optional<ServerLoad::Token>
ServerLoad::TryAcquire(core::TimePoint aNow)
{
  if (this->State() == ReportedState::Draining) {
    return std::nullopt;
  }
  if (this->inFlight.fetch_add(1, kRelaxed) >= this->Limit()) {
    this->inFlight.fetch_sub(1, kRelaxed);
    return std::nullopt;
  }
  if (const std::int64_t interval = this->minimumInterval.load(kRelaxed);
      interval > 0) {
    const std::int64_t now = ToNanoseconds(aNow);
    std::int64_t earliest = this->nextAcquireAt.load(kRelaxed);
    if (now < earliest || !this->nextAcquireAt.compare_exchange_strong(
                            earliest, now + interval, kRelaxed)) {
      this->inFlight.fetch_sub(1, kRelaxed);
      return std::nullopt;
    }
  }
  this->acquired.fetch_add(1, kRelaxed);
  Token token;
  for (std::uint32_t index = 0; index < kTrackedStarts; ++index) {
    std::int64_t expected = kNever;
    if (this->startTimes[index].load(kRelaxed) == kNever &&
        this->startTimes[index].compare_exchange_strong(
          expected, ToNanoseconds(aNow), kRelaxed)) {
      token.start = index;
      break;
    }
  }
  return token;
}

void
ServerLoad::Release(Token aToken,
                    SelectionOutcome aOutcome,
                    std::chrono::nanoseconds aDuration,
                    core::TimePoint aNow)
{
  if (aToken.start < kTrackedStarts) {
    this->startTimes[aToken.start].store(kNever, kRelaxed);
  }
  [[maybe_unused]] const auto before = this->inFlight.fetch_sub(1, kRelaxed);
  assert(before > 0);
  if (aOutcome != SelectionOutcome::Cancelled) {
    const float old = this->failureRatio.load(kRelaxed);
    const float sample = aOutcome == SelectionOutcome::Answered ? 0.0F : 1.0F;
    this->failureRatio.store(old + (sample - old) / kSmoothingDivisor,
                             kRelaxed);
  }
  switch (aOutcome) {
    case SelectionOutcome::Answered: {
      this->answeredTime.fetch_add(aDuration.count(), kRelaxed);
      this->answeredAt.store(ToNanoseconds(aNow), kRelaxed);
      this->answered.fetch_add(1, kRelaxed);
      const std::int64_t old = this->serviceTime.load(kRelaxed);
      const std::int64_t sample = aDuration.count();
      this->serviceTime.store(
        old == 0 ? sample : old + (sample - old) / kSmoothingDivisor, kRelaxed);
      break;
    }
    case SelectionOutcome::Failed:
      // Not a sample of the service time: a server that fails quickly would
      // appear to be the fastest one.
      this->failed.fetch_add(1, kRelaxed);
      break;
    case SelectionOutcome::Refused:
      this->refused.fetch_add(1, kRelaxed);
      this->refusedAt.store(ToNanoseconds(aNow), kRelaxed);
      break;
    case SelectionOutcome::ConnectFailed:
    case SelectionOutcome::ConnectionLost:
      this->lost.fetch_add(1, kRelaxed);
      break;
    case SelectionOutcome::Cancelled:
      break;
  }
}

void
ServerLoad::RecordReport(const LoadReport& aReport, core::TimePoint aNow)
{
  this->reportedInFlight.store(aReport.inFlight, kRelaxed);
  this->reportedState.store(aReport.state, kRelaxed);
  this->reportedStart.store(aReport.start, kRelaxed);
  this->reportedAt.store(ToNanoseconds(aNow), kRelaxed);
}

void
ServerLoad::SetMinimumInterval(std::chrono::nanoseconds aInterval)
{
  this->minimumInterval.store(aInterval.count(), kRelaxed);
  if (aInterval.count() == 0) {
    this->nextAcquireAt.store(kNever, kRelaxed);
  }
}

void
ServerLoad::SetLimit(std::uint32_t aLimit)
{
  this->limit.store(aLimit, kRelaxed);
}

std::optional<core::TimePoint>
ServerLoad::ReportedAt() const
{
  const std::int64_t time = this->reportedAt.load(kRelaxed);
  return time == kNever ? std::nullopt : std::optional(FromNanoseconds(time));
}

void
ServerLoad::ClearReportedState()
{
  this->reportedState.store(ReportedState::Ready, kRelaxed);
}

std::chrono::nanoseconds
ServerLoad::OldestInFlight(core::TimePoint aNow) const
{
  if (this->InFlight() == 0) {
    return {};
  }
  const std::int64_t now = ToNanoseconds(aNow);
  std::int64_t oldest = 0;
  for (const auto& start : this->startTimes) {
    const std::int64_t time = start.load(kRelaxed);
    if (time != kNever && now - time > oldest) {
      oldest = now - time;
    }
  }
  return std::chrono::nanoseconds(oldest);
}

std::optional<core::TimePoint>
ServerLoad::RefusedAt() const
{
  const std::int64_t time = this->refusedAt.load(kRelaxed);
  return time == kNever ? std::nullopt : std::optional(FromNanoseconds(time));
}

std::optional<core::TimePoint>
ServerLoad::AnsweredAt() const
{
  const std::int64_t time = this->answeredAt.load(kRelaxed);
  return time == kNever ? std::nullopt : std::optional(FromNanoseconds(time));
}

ServerLoad::Totals
ServerLoad::Counts() const
{
  return Totals{ .acquired = this->acquired.load(kRelaxed),
                 .answered = this->answered.load(kRelaxed),
                 .failed = this->failed.load(kRelaxed),
                 .refused = this->refused.load(kRelaxed),
                 .lost = this->lost.load(kRelaxed),
                 .answeredTime = std::chrono::nanoseconds(
                   this->answeredTime.load(kRelaxed)) };
}

void
ServerLoad::AddConnections(std::int32_t aCount)
{
  this->connections.fetch_add(aCount, kRelaxed);
}

} // namespace fireflytrail::routing
