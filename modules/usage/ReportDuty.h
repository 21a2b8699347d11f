#pragma once

#include "core/BootClock.h"
#include "usage/DutyState.h"
#include "usage/ReportDutyHooks.h"
#include "usage/ReportDutySettings.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fireflytrail::usage {

/**
 * The duty to report the usage of each window once, which one daemon at a time
 * holds for a lease in the store.
 *
 * **Lease.** The holder renews it by a conditional write and counts it from
 * before the write was sent, on a clock that counts suspension. Another daemon
 * takes it with a write on condition of the revision that it has seen
 * unchanged for longer than the lease, so the former holder has stopped by
 * then and its calls have ended.
 *
 * **Fence.** Each change of holder takes a number above all that were seen; its
 * high bits are the time, so that it rises also if the store has lost the
 * number.
 *
 * **Figures** are written to the object of the lease before they are first
 * sent. Who comes next sends exactly these.
 *
 * **Store that returns from an older copy.** The era tells. Nobody acts on a
 * lease from another era; who takes it waits for a whole lease. Windows that
 * ended before may have been fixed and sent by a holder whose writes are lost:
 * this process sends them only if it has fixed them itself, and gives them up
 * otherwise.
 *
 * Performs no I/O. Not thread-safe.
 */
class ReportDuty
{
public:
  /** Windows that may wait for their report; older ones are given up. */
  static constexpr std::size_t kMaxPending = 24;

  /** Daemons that may hold the duty, in the order of their rank. */
  static constexpr std::size_t kMaxCandidates = 8;

  /** All hooks must be set. */
  ReportDuty(ReportDutySettings aSettings, ReportDutyHooks aHooks);
  ReportDuty(const ReportDuty&) = delete;
  ReportDuty& operator=(const ReportDuty&) = delete;

  /** Advances the duty. Call every `TickInterval`. */
  void Tick();

  /** Returns the time until the next call of `Tick`. */
  std::chrono::milliseconds TickInterval() const;

  /** Handles what another daemon says of the lease. */
  void OnNotice(const LeaseNotice& aNotice);

  /** Ends the duty of this daemon for good: a running report may end, and the
   * lease is released. */
  void BeginStop();

  /** Returns whether this daemon holds the duty now. */
  bool IsHolder() const;

  /** Returns the name of the holder, as far as known; empty if there is none.
   */
  std::string HolderName() const;

  /** Returns the last window that is known to be fixed or given up. */
  WindowNumber FixedThrough() const { return this->knownFixedThrough; }

  /** Returns the windows that are fixed and not reported, if this daemon is the
   * holder. */
  std::size_t PendingCount() const { return this->own.pending.size(); }

private:
  /** The object as it was last seen. */
  struct Sighting
  {
    /** Nothing if there is no object. */
    std::optional<DutyState> state;
    std::uint64_t revision = 0;
    std::uint64_t era = 0;
    core::BootTime observedAt;
    /** The figures are not known, or a write may have changed the object. */
    bool isPartial = false;
  };

  void CheckLease(core::BootTime aNow);
  void StepDown(const std::string& aWhy);
  void Contend(core::BootTime aNow);
  void Read();
  void OnRead(const DutyAnswer& aAnswer);
  void Take(core::BootTime aNow);
  /** Decides the windows that a holder whose writes are lost may have sent. */
  void RemoveDoubtfulWindows(DutyState& aState) const;
  void OnTaken(const DutyState& aState,
               core::BootTime aSentAt,
               const Sighting& aBase,
               const DutyAnswer& aAnswer);
  void Plan(core::BootTime aNow);
  void GiveUp(WindowNumber aWindow, const std::string& aWhy);
  void Renew(core::BootTime aNow);
  void OnRenewed(const DutyState& aState,
                 core::BootTime aSentAt,
                 const DutyAnswer& aAnswer);
  /** Records that the store has the state under this daemon's lease. */
  void Confirm(const DutyState& aState, core::BootTime aSentAt);
  void SendNext(core::BootTime aNow);
  void OnSent(const UsageReport& aReport, std::optional<unsigned> aStatus);
  void CancelCall();
  bool MayStartCall() const;
  void Observe(const DutyAnswer& aAnswer);
  /** Whether the last sighting may be older than what the store held. */
  bool IsDoubtful(const Sighting& aSighting) const;
  bool IsOwn(const DutyState& aState) const;
  /** Time for which a sighting must be unchanged before it is acted on. */
  std::chrono::milliseconds WaitTime(const Sighting& aSighting) const;
  std::chrono::milliseconds FullWait() const;
  std::uint64_t NextFence();
  void DelayRetry();

  ReportDutySettings settings;
  ReportDutyHooks hooks;
  core::BootTime startedAt;
  /** The window in which this process started. */
  WindowNumber firstWindow;
  std::optional<Sighting> seen;
  std::uint64_t greatestFence = 0;
  WindowNumber knownFixedThrough = 0;
  WindowNumber knownDoneThrough = 0;
  /** Figures that this process has fixed, also those that were reported. */
  std::map<WindowNumber, Figures> fixedHere;

  bool isStopping = false;
  /** A call to the store runs. */
  bool isCallingStore = false;
  core::BootTime nextStoreCall{};
  unsigned failedStoreCalls = 0;

  /** The following are valid while this daemon holds the duty. */
  bool isHolder = false;
  core::BootTime heldSince{};
  core::BootTime leaseEnd{};
  core::BootTime actFrom{};
  core::BootTime nextRenewal{};
  /** What the next write stores. Figures in it are never changed, since a write
   * without an answer may have stored them. */
  DutyState own;
  bool isChanged = false;
  /** Figures that the store has and that are not reported. */
  std::map<WindowNumber, Figures> confirmed;

  /** The running report. */
  bool isSending = false;
  std::uint64_t callNumber = 0;
  ReportDutyHooks::CancelFunction cancelCall;
  core::BootTime nextSend{};
  unsigned failedSends = 0;
  unsigned rejections = 0;
};

} // namespace fireflytrail::usage
