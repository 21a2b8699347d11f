#include "usage/ReportDuty.h"

#include "usage/UsageCounters.h"
#include "usage/WindowTimes.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::usage {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kHolderTick = 150ms;
constexpr milliseconds kIdleTick = 500ms;

// Time by which a wait exceeds the lease: the rates of two clocks differ, and a
// call that was reset has left the links.
constexpr milliseconds kWaitReserve = 300ms;
constexpr int kDriftPart = 20;

// Parts of the lease after which it is renewed, which a call must have left to
// start, at which a running call is reset, and between two ranks.
constexpr int kRenewalPart = 3;
constexpr int kStartPart = 4;
constexpr int kResetPart = 10;
constexpr int kRankPart = 8;

// Shares of the time in which a report is due after which the figures are
// collected, and after which it is no longer waited for missing ones. Requests
// count when they end, and few run for longer than the first; the rest is for a
// change of holder.
constexpr double kCollectShare = 0.3;
constexpr double kLastCollectShare = 0.5;

// Time for which a new holder waits for counters.
constexpr milliseconds kCollectTime = 1000ms;

constexpr milliseconds kFirstRetryDelay = 200ms;
constexpr unsigned kMaxDoublings = 4;

// A report that the platform rejects as malformed so often is given up.
constexpr unsigned kMaxRejections = 3;

// Bits of the fence below the time; they distinguish processes.
constexpr unsigned kFenceProcessBits = 16;
constexpr milliseconds kFenceUnit = 100ms;

constexpr unsigned kOk = 200;
constexpr unsigned kFirstNotOk = 300;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;

bool
IsSuccess(std::optional<unsigned> aStatus)
{
  return aStatus && *aStatus >= kOk && *aStatus < kFirstNotOk;
}

/** Whether sending the same again cannot succeed. */
bool
IsRejection(std::optional<unsigned> aStatus)
{
  constexpr unsigned kFirstClientError = 400;
  constexpr unsigned kTimeout = 408;
  constexpr unsigned kTooEarly = 425;
  constexpr unsigned kTooMany = 429;
  constexpr unsigned kFirstServerError = 500;
  return aStatus && *aStatus >= kFirstClientError &&
         *aStatus < kFirstServerError && *aStatus != kTimeout &&
         *aStatus != kTooEarly && *aStatus != kTooMany;
}

milliseconds
RetryDelay(unsigned aFailures)
{
  return kFirstRetryDelay * (1U << std::min(aFailures, kMaxDoublings));
}

core::WallTimePoint::duration
PartOf(milliseconds aTime, double aShare)
{
  return std::chrono::duration_cast<core::WallTimePoint::duration>(aTime *
                                                                   aShare);
}

} // namespace

ReportDuty::ReportDuty(ReportDutySettings aSettings, ReportDutyHooks aHooks)
  : settings(std::move(aSettings))
  , hooks(std::move(aHooks))
  , startedAt(this->hooks.now())
  , firstWindow(WindowAt(this->hooks.trueTime(), this->settings.window))
{
  assert(this->settings.process != 0 && this->settings.callsPerSecond > 0);
}

//==============================================================================
void
ReportDuty::Tick()
{
  const core::BootTime now = this->hooks.now();
  this->CheckLease(now);
  if (!this->isHolder) {
    this->Contend(now);
    return;
  }
  if (!this->isStopping) {
    this->Plan(now);
  }
  const bool isReleasing = this->isStopping && !this->isSending;
  if (!this->isCallingStore && now >= this->nextStoreCall &&
      (isReleasing || this->isChanged || now >= this->nextRenewal)) {
    this->Renew(now);
  }
  this->SendNext(now);
}

milliseconds
ReportDuty::TickInterval() const
{
  return this->isHolder || this->isCallingStore ? kHolderTick : kIdleTick;
}

void
ReportDuty::OnNotice(const LeaseNotice& aNotice)
{
  this->greatestFence = std::max(this->greatestFence, aNotice.fence);
  this->knownFixedThrough =
    std::max(this->knownFixedThrough, aNotice.fixedThrough);
  this->knownDoneThrough =
    std::max(this->knownDoneThrough, aNotice.doneThrough);
  if (aNotice.process == this->settings.process) {
    return;
  }
  const bool isNewer =
    !this->seen || aNotice.era > this->seen->era ||
    (aNotice.era == this->seen->era &&
     (!this->seen->state || aNotice.revision > this->seen->revision));
  if (!isNewer) {
    return;
  }
  if (this->isHolder) {
    this->StepDown("another daemon holds the lease");
  }
  DutyState state;
  state.holder = aNotice.holder;
  state.process = aNotice.process;
  state.fence = aNotice.fence;
  state.sequence = aNotice.sequence;
  state.era = aNotice.era;
  state.isReleased = aNotice.isReleased;
  state.fixedThrough = aNotice.fixedThrough;
  this->seen = Sighting{
    std::move(state), aNotice.revision, aNotice.era, this->hooks.now(), true
  };
}

void
ReportDuty::BeginStop()
{
  this->isStopping = true;
}

bool
ReportDuty::IsHolder() const
{
  return this->isHolder && this->hooks.now() < this->leaseEnd;
}

std::string
ReportDuty::HolderName() const
{
  return this->seen && this->seen->state && !this->seen->state->isReleased
           ? this->seen->state->holder
           : std::string();
}

//==============================================================================
void
ReportDuty::CheckLease(core::BootTime aNow)
{
  if (!this->isHolder) {
    return;
  }
  if (this->isSending &&
      aNow + this->settings.lease / kResetPart >= this->leaseEnd) {
    this->CancelCall();
  }
  if (aNow >= this->leaseEnd) {
    this->StepDown("the lease has ended");
  }
}

void
ReportDuty::StepDown(const std::string& aWhy)
{
  this->CancelCall();
  this->isHolder = false;
  this->confirmed.clear();
  this->hooks.onLeaseChange(false, aWhy);
}

void
ReportDuty::Contend(core::BootTime aNow)
{
  if (this->isStopping || this->isCallingStore || aNow < this->nextStoreCall) {
    return;
  }
  // A daemon that has just started knows neither the holder nor its own rank.
  const core::BootTime waitEnd =
    this->seen ? this->seen->observedAt + this->WaitTime(*this->seen)
               : this->startedAt + this->settings.lease;
  if (aNow < waitEnd) {
    return;
  }
  const std::size_t rank = this->hooks.rank();
  if (rank >= kMaxCandidates || aNow < waitEnd + this->settings.lease /
                                                   kRankPart *
                                                   static_cast<int>(rank)) {
    return;
  }
  if (!this->seen || this->seen->isPartial) {
    this->Read();
  } else {
    this->Take(aNow);
  }
}

void
ReportDuty::Read()
{
  this->isCallingStore = true;
  this->hooks.read([this](const DutyAnswer& aAnswer) {
    this->isCallingStore = false;
    this->OnRead(aAnswer);
  });
}

void
ReportDuty::OnRead(const DutyAnswer& aAnswer)
{
  if (!IsSuccess(aAnswer.status) && aAnswer.status != kNotFound) {
    this->DelayRetry();
    return;
  }
  this->failedStoreCalls = 0;
  const bool exists = IsSuccess(aAnswer.status);
  const bool isUnchanged =
    this->seen && this->seen->era == aAnswer.era &&
    this->seen->state.has_value() == exists &&
    (!exists || this->seen->revision == aAnswer.revision);
  const core::BootTime observedAt =
    isUnchanged ? this->seen->observedAt : this->hooks.now();
  this->Observe(aAnswer);
  this->seen->observedAt = observedAt;
}

void
ReportDuty::Observe(const DutyAnswer& aAnswer)
{
  Sighting sighting{
    std::nullopt, aAnswer.revision, aAnswer.era, this->hooks.now(), false
  };
  if (aAnswer.status != kNotFound) {
    DutyState unreadable;
    // A state from another era, of which nothing is believed.
    unreadable.era = aAnswer.era + 1;
    sighting.state = aAnswer.state.value_or(std::move(unreadable));
    this->greatestFence = std::max(this->greatestFence, sighting.state->fence);
  }
  this->seen = std::move(sighting);
}

bool
ReportDuty::IsDoubtful(const Sighting& aSighting) const
{
  return !aSighting.state || aSighting.state->era != aSighting.era;
}

bool
ReportDuty::IsOwn(const DutyState& aState) const
{
  return aState.process == this->settings.process;
}

milliseconds
ReportDuty::FullWait() const
{
  return this->settings.lease + this->settings.lease / kDriftPart +
         kWaitReserve;
}

milliseconds
ReportDuty::WaitTime(const Sighting& aSighting) const
{
  if (!aSighting.state) {
    return 0ms;
  }
  const bool isFree =
    aSighting.state->isReleased || this->IsOwn(*aSighting.state);
  return isFree && !this->IsDoubtful(aSighting) ? 0ms : this->FullWait();
}

std::uint64_t
ReportDuty::NextFence()
{
  const std::uint64_t processBits =
    this->settings.process & ((std::uint64_t{ 1 } << kFenceProcessBits) - 1);
  const auto time = static_cast<std::uint64_t>(
    this->hooks.trueTime().time_since_epoch() / kFenceUnit);
  const std::uint64_t high =
    std::max(time, (this->greatestFence >> kFenceProcessBits) + 1);
  this->greatestFence = (high << kFenceProcessBits) | processBits;
  return this->greatestFence;
}

void
ReportDuty::RemoveDoubtfulWindows(DutyState& aState) const
{
  // Whoever has fixed more did so before the state was observed.
  const core::WallTimePoint observedAt =
    this->hooks.trueTime() -
    std::chrono::duration_cast<core::WallTimePoint::duration>(
      this->hooks.now() - this->seen->observedAt);
  const WindowNumber last =
    std::max({ WindowAt(observedAt, this->settings.window) - 1,
               aState.fixedThrough,
               this->knownFixedThrough });
  WindowNumber decided =
    this->seen->state ? aState.fixedThrough : this->knownDoneThrough;
  if (decided == 0) {
    // Nobody has held the duty as far as known.
    decided = std::min(last, this->firstWindow - 1);
  }
  for (auto entry = aState.pending.begin(); entry != aState.pending.end();) {
    const auto known = this->fixedHere.find(entry->first);
    if (known == this->fixedHere.end()) {
      aState.lost.insert(entry->first);
      entry = aState.pending.erase(entry);
    } else {
      entry->second = known->second;
      ++entry;
    }
  }
  const WindowNumber oldest = last - std::min<WindowNumber>(last, kMaxPending);
  for (WindowNumber window = std::max(decided, oldest) + 1; window <= last;
       ++window) {
    if (const auto found = this->fixedHere.find(window);
        found != this->fixedHere.end()) {
      aState.pending.insert(*found);
    } else {
      aState.lost.insert(window);
    }
  }
  aState.fixedThrough = last;
}

void
ReportDuty::Take(core::BootTime aNow)
{
  const Sighting base = *this->seen;
  DutyState next = base.state.value_or(DutyState{});
  const bool isDoubtful = this->IsDoubtful(base);
  if (isDoubtful) {
    this->RemoveDoubtfulWindows(next);
  }
  if (isDoubtful || !this->IsOwn(next)) {
    next.fence = this->NextFence();
  }
  next.holder = this->settings.holder;
  next.process = this->settings.process;
  next.era = base.era;
  next.isReleased = false;
  ++next.sequence;
  this->isCallingStore = true;
  this->hooks.write(base.state ? std::optional(base.revision) : std::nullopt,
                    next,
                    [this, next, aNow, base](const DutyAnswer& aAnswer) {
                      this->isCallingStore = false;
                      this->OnTaken(next, aNow, base, aAnswer);
                    });
}

void
ReportDuty::OnTaken(const DutyState& aState,
                    core::BootTime aSentAt,
                    const Sighting& aBase,
                    const DutyAnswer& aAnswer)
{
  const core::BootTime now = this->hooks.now();
  if (IsSuccess(aAnswer.status)) {
    this->failedStoreCalls = 0;
    this->seen = Sighting{ aState, aAnswer.revision, aAnswer.era, now, false };
    if (aAnswer.era != aBase.era || now >= aSentAt + this->settings.lease ||
        this->isStopping) {
      // The write may have replaced a state that nobody here has seen.
      return;
    }
    const bool isResumed = this->own.fence == aState.fence;
    this->isHolder = true;
    this->heldSince = now;
    this->own = aState;
    if (!isResumed) {
      const bool hasWaited = this->WaitTime(aBase) > 0ms;
      this->actFrom = hasWaited ? now : now + this->FullWait();
    }
    this->failedSends = 0;
    this->hooks.onLeaseChange(true, isResumed ? "resumed" : "taken");
    this->Confirm(aState, aSentAt);
    for (const WindowNumber window : this->own.lost) {
      this->hooks.onMissing(
        window, window, "the store knows no figures that may have been sent");
      this->isChanged = true;
    }
    this->own.lost.clear();
    return;
  }
  if (aAnswer.status == kConflict && aAnswer.revision != 0) {
    this->Observe(aAnswer);
    return;
  }
  if (aAnswer.status == kNotFound) {
    this->Observe(aAnswer);
  } else if (aAnswer.status == kConflict) {
    this->seen.reset();
  } else if (!aAnswer.status) {
    this->seen->isPartial = true;
  }
  this->DelayRetry();
}

void
ReportDuty::DelayRetry()
{
  this->nextStoreCall =
    this->hooks.now() + RetryDelay(this->failedStoreCalls++);
}

//==============================================================================
void
ReportDuty::Plan(core::BootTime aNow)
{
  const core::WallTimePoint time = this->hooks.trueTime();
  const WindowNumber current = WindowAt(time, this->settings.window);
  while (true) {
    WindowNumber window = this->own.fixedThrough + 1;
    const core::WallTimePoint end = EndOf(window, this->settings.window);
    if (time < end + PartOf(this->settings.late, kCollectShare)) {
      return;
    }
    std::optional<Figures> figures;
    if (window + UsageCounters::kMaxWindows <= current) {
      const WindowNumber first = window;
      window = current - UsageCounters::kMaxWindows;
      this->hooks.onMissing(first, window, "the counters are no longer kept");
    } else {
      const bool isLast =
        time >= end + PartOf(this->settings.late, kLastCollectShare) &&
        aNow >= this->heldSince + kCollectTime;
      figures = this->hooks.collect(window, isLast);
      if (!figures) {
        return;
      }
      this->own.pending[window] = std::move(*figures);
    }
    this->own.fixedThrough = window;
    this->isChanged = true;
    if (this->own.pending.size() > kMaxPending) {
      this->GiveUp(this->own.pending.begin()->first,
                   "the platform has not acknowledged the report");
    }
  }
}

void
ReportDuty::GiveUp(WindowNumber aWindow, const std::string& aWhy)
{
  this->own.pending.erase(aWindow);
  this->confirmed.erase(aWindow);
  this->hooks.onMissing(aWindow, aWindow, aWhy);
}

void
ReportDuty::Renew(core::BootTime aNow)
{
  ++this->own.sequence;
  DutyState next = this->own;
  next.isReleased = this->isStopping && !this->isSending;
  this->isChanged = false;
  this->isCallingStore = true;
  if (next.isReleased) {
    // Nothing may be sent any more, whatever becomes of the write.
    this->actFrom = core::BootTime::max();
  }
  this->hooks.write(
    this->seen->revision, next, [this, next, aNow](const DutyAnswer& aAnswer) {
      this->isCallingStore = false;
      this->OnRenewed(next, aNow, aAnswer);
    });
}

void
ReportDuty::OnRenewed(const DutyState& aState,
                      core::BootTime aSentAt,
                      const DutyAnswer& aAnswer)
{
  const core::BootTime now = this->hooks.now();
  if (IsSuccess(aAnswer.status)) {
    this->failedStoreCalls = 0;
    const bool isSameEra = aAnswer.era == this->seen->era;
    const bool wasReplaced =
      this->seen->revision > aAnswer.revision && isSameEra;
    if (wasReplaced) {
      return;
    }
    this->seen = Sighting{ aState, aAnswer.revision, aAnswer.era, now, false };
    if (!this->isHolder) {
      return;
    }
    if (!isSameEra) {
      this->StepDown("the store is in another era");
      return;
    }
    this->Confirm(aState, aSentAt);
    if (aState.isReleased) {
      this->isHolder = false;
      this->hooks.onLeaseChange(false, "released");
    }
    return;
  }
  if (!this->isHolder) {
    this->seen->isPartial = true;
    return;
  }
  if (aAnswer.status == kConflict || aAnswer.status == kNotFound) {
    this->StepDown("the lease was replaced in the store");
    this->Observe(aAnswer);
    return;
  }
  this->isChanged = true;
  this->DelayRetry();
}

void
ReportDuty::Confirm(const DutyState& aState, core::BootTime aSentAt)
{
  this->leaseEnd = aSentAt + this->settings.lease;
  this->nextRenewal = aSentAt + this->settings.lease / kRenewalPart;
  this->knownFixedThrough =
    std::max(this->knownFixedThrough, aState.fixedThrough);
  this->knownDoneThrough =
    std::max(this->knownDoneThrough, aState.DoneThrough());
  for (const auto& [window, figures] : aState.pending) {
    this->fixedHere.insert_or_assign(window, figures);
    if (this->own.pending.contains(window)) {
      this->confirmed.insert_or_assign(window, figures);
    }
  }
  while (this->fixedHere.size() > 2 * kMaxPending) {
    this->fixedHere.erase(this->fixedHere.begin());
  }
  this->hooks.announce({ aState.holder,
                         aState.process,
                         aState.fence,
                         aState.sequence,
                         this->seen->revision,
                         this->seen->era,
                         aState.isReleased,
                         aState.fixedThrough,
                         aState.DoneThrough() });
}

//==============================================================================
bool
ReportDuty::MayStartCall() const
{
  const core::BootTime now = this->hooks.now();
  return this->isHolder && now >= this->actFrom &&
         now + this->settings.lease / kStartPart < this->leaseEnd;
}

void
ReportDuty::SendNext(core::BootTime aNow)
{
  if (this->isSending || this->isStopping || this->confirmed.empty() ||
      aNow < this->nextSend || !this->MayStartCall()) {
    return;
  }
  const auto& [window, figures] = *this->confirmed.begin();
  const UsageReport report{
    this->settings.holder, this->own.fence, window, figures
  };
  this->isSending = true;
  const std::uint64_t number = ++this->callNumber;
  this->cancelCall = this->hooks.send(
    report,
    [this, number] {
      return number == this->callNumber && this->MayStartCall();
    },
    [this, number, report](std::optional<unsigned> aStatus) {
      if (number == this->callNumber) {
        this->isSending = false;
        this->OnSent(report, aStatus);
      }
    });
}

void
ReportDuty::OnSent(const UsageReport& aReport, std::optional<unsigned> aStatus)
{
  const core::BootTime now = this->hooks.now();
  if (IsSuccess(aStatus)) {
    this->failedSends = 0;
    this->rejections = 0;
    this->own.pending.erase(aReport.window);
    this->confirmed.erase(aReport.window);
    this->nextSend =
      now + std::chrono::duration_cast<core::BootTime::duration>(
              std::chrono::duration<double>(1 / this->settings.callsPerSecond));
    this->hooks.onReported(
      aReport,
      std::chrono::duration_cast<milliseconds>(
        this->hooks.trueTime() - EndOf(aReport.window, this->settings.window)));
    return;
  }
  if (IsRejection(aStatus) && ++this->rejections >= kMaxRejections) {
    this->rejections = 0;
    this->GiveUp(aReport.window, "the platform rejects the report");
  }
  this->nextSend = now + RetryDelay(this->failedSends++);
}

void
ReportDuty::CancelCall()
{
  if (!this->isSending) {
    return;
  }
  ++this->callNumber;
  this->isSending = false;
  if (const auto cancel = std::exchange(this->cancelCall, nullptr)) {
    cancel();
  }
}

} // namespace fireflytrail::usage
