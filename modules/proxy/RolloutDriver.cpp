#include "proxy/RolloutDriver.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::proxy {

using namespace std::chrono_literals;
using moves::VersionTrial;
using routing::AttemptOutcome;
using routing::RolloutOrder;
using routing::RolloutState;
using std::chrono::milliseconds;

namespace {

// Backoff between two attempts to write a state. Refused calls are billed too;
// the longest delay is below the 5 s within which a verdict must be stored.
constexpr milliseconds kFirstWriteDelay = 250ms;
constexpr unsigned kMaxDoublings = 3;

// Multiple of the typical duration above which a request counts as slow. Load
// from neighbours makes one request in twenty take four times as long; a bad
// version makes most requests slow.
constexpr int kSlowFactor = 3;

bool
IsSameOrder(const RolloutOrder& aOne, const RolloutOrder& aOther)
{
  return aOne.createdRevision == aOther.createdRevision &&
         aOne.targetVersion == aOther.targetVersion;
}

bool
IsAccepted(std::optional<unsigned> aStatus)
{
  constexpr unsigned kFirstSuccess = 200;
  constexpr unsigned kFirstNonSuccess = 300;
  return aStatus && *aStatus >= kFirstSuccess && *aStatus < kFirstNonSuccess;
}

} // namespace

RolloutDriver::RolloutDriver(RolloutDriverHooks aHooks, double aFirstShare)
  : hooks(std::move(aHooks))
  , firstShare(aFirstShare)
{
  assert(this->hooks.now && this->hooks.isDispatching);
  assert(this->hooks.capacityOf && this->hooks.setShare && this->hooks.write);
  assert(this->hooks.decided && this->hooks.written);
  assert(aFirstShare > 0 && aFirstShare < 1);
}

void
RolloutDriver::Update(const Orders& aOrders)
{
  this->RemoveEndedTrials(aOrders);
  for (const auto& [service, order] : aOrders) {
    const auto known = this->trials.find(service);
    if (known == this->trials.end()) {
      if (Trial* const started = this->TryStart(service, order)) {
        this->Advance(service, *started);
      }
      continue;
    }
    RolloutOrder& trialOrder = known->second.order;
    if (order.isVerdictLost && order.revision != trialOrder.revision) {
      // The store has lost what was written, too.
      trialOrder.hasStoredStatus = false;
    }
    trialOrder.revision = order.revision;
    if (order.hasStoredStatus && order.state != RolloutState::Running) {
      // The first verdict in the store stands: the platform acts on it. The
      // write of another one would be accepted under the new revision.
      trialOrder.state = order.state;
    }
    // A verdict stays marked as unwritten until the store shows it.
    trialOrder.hasStoredStatus =
      trialOrder.hasStoredStatus ||
      (trialOrder.state == order.state && order.hasStoredStatus);
    this->Advance(service, known->second);
  }
}

RolloutDriver::Trial*
RolloutDriver::TryStart(const std::string& aService, const RolloutOrder& aOrder)
{
  const bool isToBeTried = aOrder.state == RolloutState::Running;
  if ((!isToBeTried && !aOrder.isVerdictLost) || aOrder.duration.count() <= 0 ||
      !this->hooks.isDispatching(aService)) {
    return nullptr;
  }
  Trial trial{ aOrder,
               VersionTrial(this->hooks.now,
                            aOrder.firstSeenAt,
                            aOrder.duration,
                            this->firstShare) };
  trial.isVerdictKnown = !isToBeTried;
  return &this->trials.emplace(aService, std::move(trial)).first->second;
}

void
RolloutDriver::RemoveEndedTrials(const Orders& aOrders)
{
  std::erase_if(this->trials, [&](const auto& aEntry) {
    const auto& [service, trial] = aEntry;
    const auto order = aOrders.find(service);
    const bool isCurrent =
      order != aOrders.end() && IsSameOrder(order->second, trial.order);
    const bool hasVerdict = trial.trial.Result() != VersionTrial::Verdict::None;
    // An unwritten verdict is kept until it is written, even if another daemon
    // dispatches the service by then.
    const bool isContinued =
      isCurrent &&
      (trial.isVerdictKnown ? order->second.isVerdictLost
       : hasVerdict         ? !trial.order.hasStoredStatus
                            : this->hooks.isDispatching(service) &&
                        order->second.state == RolloutState::Running);
    if (!isContinued) {
      this->hooks.setShare(service, 0);
    }
    return !isContinued;
  });
}

void
RolloutDriver::OnRequestEnded(const routing::EndedRequest& aRequest)
{
  const auto found = this->trials.find(aRequest.instance->service);
  if (found == this->trials.end()) {
    return;
  }
  VersionTrial::Observation observation;
  observation.isNew = aRequest.isOnTrial;
  observation.route = aRequest.route;
  observation.instance = routing::ServiceDispatcher::KeyOf(*aRequest.instance);
  switch (aRequest.outcome) {
    case AttemptOutcome::Answered:
      if (!aRequest.isCold) {
        observation.isSlow =
          aRequest.duration > aRequest.typicalDuration * kSlowFactor;
      }
      break;
    case AttemptOutcome::Failed:
    case AttemptOutcome::TimedOut:
      observation.isFailure = true;
      break;
    case AttemptOutcome::Refused:
    case AttemptOutcome::WrongServer:
    case AttemptOutcome::ConnectFailed:
    case AttemptOutcome::Lost:
    case AttemptOutcome::Cancelled:
      // These outcomes say nothing about the version: instances and networks
      // fail with any version.
      return;
  }
  found->second.trial.Record(observation);
}

void
RolloutDriver::Advance(const std::string& aService, Trial& aTrial)
{
  if (!aTrial.isVerdictKnown &&
      aTrial.trial.Result() == VersionTrial::Verdict::None) {
    aTrial.trial.Update(this->hooks.capacityOf(aService));
    this->hooks.setShare(aService, aTrial.trial.Share());
    switch (aTrial.trial.Result()) {
      case VersionTrial::Verdict::None:
        break;
      case VersionTrial::Verdict::Good:
        aTrial.order.state = RolloutState::Completed;
        aTrial.order.hasStoredStatus = false;
        break;
      case VersionTrial::Verdict::Bad:
        aTrial.order.state = RolloutState::RolledBack;
        aTrial.order.hasStoredStatus = false;
        this->hooks.decided(aTrial.order, aTrial.trial.Describe());
        break;
    }
  }
  if (!aTrial.order.hasStoredStatus && !aTrial.isWriting &&
      this->hooks.now() >= aTrial.nextWrite) {
    this->Write(aService, aTrial);
  }
}

void
RolloutDriver::Write(const std::string& aService, Trial& aTrial)
{
  aTrial.isWriting = true;
  const RolloutOrder order = aTrial.order;
  this->hooks.write(order,
                    [this, aService, order](std::optional<unsigned> aStatus) {
                      this->OnWritten(aService, order, aStatus);
                    });
}

void
RolloutDriver::OnWritten(const std::string& aService,
                         const RolloutOrder& aOrder,
                         std::optional<unsigned> aStatus)
{
  this->hooks.written(aOrder, aStatus);
  const auto found = this->trials.find(aService);
  if (found == this->trials.end() ||
      !IsSameOrder(found->second.order, aOrder)) {
    return;
  }
  Trial& trial = found->second;
  trial.isWriting = false;
  if (!IsAccepted(aStatus)) {
    // After a conflict, the watch delivers the revision for the next attempt.
    trial.nextWrite =
      this->hooks.now() +
      kFirstWriteDelay * (1U << std::min(trial.failedWrites, kMaxDoublings));
    ++trial.failedWrites;
    return;
  }
  trial.failedWrites = 0;
  if (trial.order.state != aOrder.state) {
    return;
  }
  trial.order.hasStoredStatus = true;
  if (aOrder.state == RolloutState::Completed && !trial.isVerdictKnown) {
    this->hooks.decided(aOrder, trial.trial.Describe());
  }
}

} // namespace fireflytrail::proxy
