#pragma once

#include "core/BootClock.h"
#include "core/Hooks.h"
#include "usage/DutyState.h"
#include "usage/Figures.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace fireflytrail::usage {

/** The store's answer to a call about the object of the duty. */
struct DutyAnswer
{
  /** HTTP status; `std::nullopt` if there was no answer. */
  std::optional<unsigned> status;
  /** Era of the store; 0 if it names none. */
  std::uint64_t era = 0;
  /** Revision of the object in the answer; 0 if it has none. */
  std::uint64_t revision = 0;
  /** The object in the answer, if there is one that can be read. */
  std::optional<DutyState> state;
};

/** One report of a window to the platform. */
struct UsageReport
{
  std::string holder;
  std::uint64_t fence = 0;
  WindowNumber window = 0;
  Figures figures;
};

/** What the holder tells the daemons that may follow it. */
struct LeaseNotice
{
  std::string holder;
  std::uint64_t process = 0;
  std::uint64_t fence = 0;
  std::uint64_t sequence = 0;
  /** Revision and era in which the store has the lease. */
  std::uint64_t revision = 0;
  std::uint64_t era = 0;
  bool isReleased = false;
  WindowNumber fixedThrough = 0;
  /** Up to this window all are reported or given up. */
  WindowNumber doneThrough = 0;

  bool operator==(const LeaseNotice&) const = default;
};

/** What a `ReportDuty` needs from its daemon. All functions must be set. */
struct ReportDutyHooks
{
  using AnswerFunction = std::function<void(DutyAnswer)>;
  using StatusFunction = std::function<void(std::optional<unsigned>)>;
  using CancelFunction = std::function<void()>;

  core::BootNowFunction now;
  /** Returns the corrected time of day. */
  core::WallNowFunction trueTime;
  /** Returns this daemon's place among those that may hold the duty, from 0. */
  std::function<std::size_t()> rank;
  /** Reads the object. The function is called once, after `read` has returned.
   */
  std::function<void(AnswerFunction)> read;
  /**
   * Writes the object on condition that its revision is unchanged, or creates
   * it if there is none. The function is called once, after `write` has
   * returned. An answer to a conflict has the object as it is.
   */
  std::function<void(std::optional<std::uint64_t> aRevision,
                     const DutyState&,
                     AnswerFunction)>
    write;
  /**
   * Sends a report. `aMayStart` must be asked directly before the first byte
   * leaves. The status function is called once, after `send` has returned; with
   * `std::nullopt` if there was no answer. After the returned function has been
   * called, nothing of the call may leave any more.
   */
  std::function<CancelFunction(const UsageReport&,
                               std::function<bool()> aMayStart,
                               StatusFunction)>
    send;
  /**
   * Returns the sum of a window that has ended, or nothing while counters are
   * missing that may still arrive; `aIsLast` if it is no longer waited for
   * them.
   */
  std::function<std::optional<Figures>(WindowNumber, bool aIsLast)> collect;
  /** Tells the daemons that may follow that the lease was renewed or released.
   */
  std::function<void(const LeaseNotice&)> announce;
  /** Called when the platform has accepted a report, with the time since the
   * end of its window. */
  std::function<void(const UsageReport&, std::chrono::milliseconds aDelay)>
    onReported;
  /** Called when the windows from one to another are given up. */
  std::function<
    void(WindowNumber aFirst, WindowNumber aLast, const std::string& aWhy)>
    onMissing;
  /** Called when this daemon begins or ceases to hold the duty. */
  std::function<void(bool aIsHolder, const std::string& aWhy)> onLeaseChange;
};

} // namespace fireflytrail::usage
