#include "proxy/RolloutDriver.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::proxy {

using namespace std::chrono_literals;
using moves::VersionTrial;
using routing::RolloutOrder;
using routing::RolloutState;
using routing::UseOutcome;
using std::chrono::milliseconds;

namespace {

// Times between two tries to write a state. Calls that are refused are paid for
// too; the longest is below the bound of 5 s for a verdict.
constexpr milliseconds kFirstWriteDelay = 250ms;
constexpr unsigned kMostDoublings = 3;

// Multiple of the usual duration from which a request counts as slow:
// neighbours make one in twenty take four times as long, a bad version most.
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
  constexpr unsigned kFirstNoSuccess = 300;
  return aStatus && *aStatus >= kFirstSuccess && *aStatus < kFirstNoSuccess;
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
  this->EndTrials(aOrders);
  for (const auto& [service, order] : aOrders) {
    auto known = this->trials.find(service);
    if (known != this->trials.end()) {
      RolloutOrder& own = known->second.order;
      own.revision = order.revision;
      // A verdict that is not written yet stays so.
      own.hasState =
        own.hasState || (own.state == order.state && order.hasState);
    } else if (order.state == RolloutState::Running &&
               order.duration.count() > 0 &&
               this->hooks.isDispatching(service)) {
      known = this->trials
                .emplace(service,
                         Trial{ order,
                                VersionTrial(this->hooks.now,
                                             order.seenAt,
                                             order.duration,
                                             this->firstShare) })
                .first;
    } else {
      continue;
    }
    this->Advance(service, known->second);
  }
}

void
RolloutDriver::EndTrials(const Orders& aOrders)
{
  std::erase_if(this->trials, [&](const auto& aEntry) {
    const auto& [service, trial] = aEntry;
    const auto order = aOrders.find(service);
    const bool isWanted =
      order != aOrders.end() && IsSameOrder(order->second, trial.order);
    const bool hasVerdict = trial.trial.Result() != VersionTrial::Verdict::None;
    // A verdict that is not written yet stays until it is, whoever dispatches.
    const bool goesOn =
      isWanted && (hasVerdict ? !trial.order.hasState
                              : this->hooks.isDispatching(service) &&
                                  order->second.state == RolloutState::Running);
    if (!goesOn) {
      this->hooks.setShare(service, 0);
    }
    return !goesOn;
  });
}

void
RolloutDriver::OnEnded(const routing::EndedRequest& aRequest)
{
  const auto found = this->trials.find(aRequest.instance->service);
  if (found == this->trials.end()) {
    return;
  }
  VersionTrial::Observation seen;
  seen.isNew = aRequest.isOnTrial;
  seen.route = aRequest.route;
  seen.instance = routing::ServiceDispatcher::KeyOf(*aRequest.instance);
  switch (aRequest.outcome) {
    case UseOutcome::Answered:
      if (!aRequest.isCold) {
        seen.isSlow = aRequest.duration > aRequest.typical * kSlowFactor;
      }
      break;
    case UseOutcome::Failed:
    case UseOutcome::TimedOut:
      seen.isFailure = true;
      break;
    case UseOutcome::Refused:
    case UseOutcome::WrongServer:
    case UseOutcome::ConnectFailed:
    case UseOutcome::Lost:
    case UseOutcome::Cancelled:
      // Says nothing about the version: instances and networks fail with any.
      return;
  }
  found->second.trial.Record(seen);
}

void
RolloutDriver::Advance(const std::string& aService, Trial& aTrial)
{
  if (aTrial.trial.Result() == VersionTrial::Verdict::None) {
    aTrial.trial.Update(this->hooks.capacityOf(aService));
    this->hooks.setShare(aService, aTrial.trial.Share());
    switch (aTrial.trial.Result()) {
      case VersionTrial::Verdict::None:
        break;
      case VersionTrial::Verdict::Good:
        aTrial.order.state = RolloutState::Completed;
        aTrial.order.hasState = false;
        break;
      case VersionTrial::Verdict::Bad:
        aTrial.order.state = RolloutState::RolledBack;
        aTrial.order.hasState = false;
        this->hooks.decided(aTrial.order, aTrial.trial.Describe());
        break;
    }
  }
  if (!aTrial.order.hasState && !aTrial.isWriting &&
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
    // After a conflict, the watch brings the revision for the next try.
    trial.nextWrite =
      this->hooks.now() +
      kFirstWriteDelay * (1U << std::min(trial.failedWrites, kMostDoublings));
    ++trial.failedWrites;
    return;
  }
  trial.failedWrites = 0;
  if (trial.order.state != aOrder.state) {
    return;
  }
  trial.order.hasState = true;
  if (aOrder.state == RolloutState::Completed) {
    this->hooks.decided(aOrder, trial.trial.Describe());
  }
}

} // namespace fireflytrail::proxy
