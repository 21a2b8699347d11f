#pragma once

#include "core/BootClock.h"
#include "core/Hooks.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace fireflytrail::usage {

/**
 * The time of day, corrected for jumps. It is the time since the host's start,
 * which counts suspension and does not jump, plus an offset.
 *
 * The offset is that of the time of day when the daemon started. If the time of
 * day jumps, the offset stays as it is: the clock may jump back. A host whose
 * clock was wrong at the start is corrected by the others: each sends its time
 * to some, which return the median (`FleetTime`). A host that hears no others
 * accepts a jump that has lasted `kAcceptDelay`. Not thread-safe.
 */
class FleetClock
{
public:
  /** Differences below this are no jumps but the rate of the clock. */
  static constexpr std::chrono::milliseconds kJump{ 150 };
  /** Time after which a host alone accepts that its clock was set. */
  static constexpr std::chrono::seconds kAcceptDelay{ 60 };
  /** Time for which the time of another host counts. */
  static constexpr std::chrono::seconds kSampleTime{ 15 };
  /** Hosts whose median is believed, this one included. */
  static constexpr std::size_t kMinSamples = 3;

  FleetClock(core::BootNowFunction aNow, core::WallNowFunction aWallNow);

  /** Returns the corrected time of day. */
  core::WallTimePoint Now() const;

  /** Returns the corrected time of day of a moment. */
  core::WallTimePoint At(core::BootTime aTime) const;

  /** Compares with the time of day; call once a second or so. */
  void Poll();

  /** Records the corrected time that another host has just sent. */
  void OnPeerTime(std::uint64_t aPeer, core::WallTimePoint aTime);

  /** Returns the median of this host's time and the recorded ones; nothing if
   * fewer than `kMinSamples` are known. */
  std::optional<core::WallTimePoint> FleetTime() const;

  /** Takes the median that another host has computed, if it differs by a jump.
   * Returns whether it did. */
  bool Adopt(core::WallTimePoint aFleetTime);

private:
  struct Sample
  {
    core::WallTimePoint::duration difference{};
    core::BootTime at;
  };

  core::BootNowFunction now;
  core::WallNowFunction wallNow;
  /** Difference between the time of day and the time since the start. */
  std::chrono::nanoseconds offset{};
  core::BootTime agreedAt;
  core::BootTime fleetHeardAt;
  std::map<std::uint64_t, Sample> samples;
};

} // namespace fireflytrail::usage
