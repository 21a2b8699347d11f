#include "usage/FleetClock.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fireflytrail::usage {

namespace {

std::chrono::nanoseconds
OffsetOf(core::WallTimePoint aWall, core::BootTime aBoot)
{
  return std::chrono::nanoseconds(aWall.time_since_epoch()) -
         aBoot.time_since_epoch();
}

} // namespace

FleetClock::FleetClock(core::BootNowFunction aNow,
                       core::WallNowFunction aWallNow)
  : now(std::move(aNow))
  , wallNow(std::move(aWallNow))
  , offset(OffsetOf(this->wallNow(), this->now()))
  , agreedAt(this->now())
  , fleetHeardAt(this->now() - kAcceptDelay)
{
}

core::WallTimePoint
FleetClock::Now() const
{
  return this->At(this->now());
}

core::WallTimePoint
FleetClock::At(core::BootTime aTime) const
{
  return core::WallTimePoint(
    std::chrono::duration_cast<core::WallTimePoint::duration>(
      aTime.time_since_epoch() + this->offset));
}

void
FleetClock::Poll()
{
  const core::BootTime time = this->now();
  const std::chrono::nanoseconds current = OffsetOf(this->wallNow(), time);
  const bool hasLasted = time - this->agreedAt >= kAcceptDelay &&
                         time - this->fleetHeardAt >= kAcceptDelay;
  if (std::chrono::abs(current - this->offset) < kJump || hasLasted) {
    this->offset = current;
    this->agreedAt = time;
  }
}

void
FleetClock::OnPeerTime(std::uint64_t aPeer, core::WallTimePoint aTime)
{
  const core::BootTime time = this->now();
  std::erase_if(this->samples, [&](const auto& aEntry) {
    return time - aEntry.second.at >= kSampleTime;
  });
  this->samples[aPeer] = { aTime - this->At(time), time };
}

std::optional<core::WallTimePoint>
FleetClock::FleetTime() const
{
  if (this->samples.size() + 1 < kMinSamples) {
    return std::nullopt;
  }
  std::vector<core::WallTimePoint::duration> differences{ {} };
  for (const auto& [peer, sample] : this->samples) {
    differences.push_back(sample.difference);
  }
  const auto middle =
    differences.begin() + static_cast<std::ptrdiff_t>(differences.size() / 2);
  std::ranges::nth_element(differences, middle);
  return this->Now() + *middle;
}

bool
FleetClock::Adopt(core::WallTimePoint aFleetTime)
{
  const core::BootTime time = this->now();
  this->fleetHeardAt = time;
  const std::chrono::nanoseconds fleetOffset = OffsetOf(aFleetTime, time);
  if (std::chrono::abs(fleetOffset - this->offset) < kJump) {
    return false;
  }
  this->offset = fleetOffset;
  this->samples.clear();
  return true;
}

} // namespace fireflytrail::usage
