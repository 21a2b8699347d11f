#include "proxy/SlotBroker.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::proxy {

using routing::DispatchResult;
using routing::ServiceDispatcher;

SlotBroker::SlotBroker(boost::asio::io_context& aContext,
                       core::NowFunction aNow,
                       core::RandomFunction aRandom)
  : now(std::move(aNow))
  , random(std::move(aRandom))
  , timer(aContext)
{
  assert(this->now && this->random);
}

void
SlotBroker::Update(const configuration::RouteConfiguration& aConfiguration,
                   const routing::ServiceDirectory& aDirectory,
                   const routing::DispatcherSettings& aSettings)
{
  this->settings = aSettings;
  for (const auto& [name, service] : aConfiguration.services) {
    this->DispatcherOf(name).SetService(service);
  }
  for (auto& [name, dispatcher] : this->dispatchers) {
    routing::DispatcherSettings own = aSettings;
    const auto rollout = aDirectory.Rollouts().find(name);
    const bool isMoving =
      rollout != aDirectory.Rollouts().end() &&
      rollout->second.state == routing::RolloutState::Running;
    own.trialShare = isMoving ? aSettings.trialShare : 0;
    dispatcher->SetSettings(own);
    dispatcher->SetInstances(aDirectory.TargetsOf(name));
  }
}

std::uint64_t
SlotBroker::Acquire(const std::string& aService,
                    routing::DispatchRequest aRequest,
                    DecidedFunction aOnDecided)
{
  assert(aOnDecided);
  const std::uint64_t number = ++this->lastNumber;
  this->pending.emplace(number, Pending{ aService, std::move(aOnDecided) });
  aRequest.id = number;
  this->DispatcherOf(aService).Submit(std::move(aRequest));
  this->ScheduleTick();
  return number;
}

void
SlotBroker::Withdraw(std::uint64_t aNumber)
{
  const auto found = this->pending.find(aNumber);
  if (found == this->pending.end()) {
    return;
  }
  this->DispatcherOf(found->second.service).Withdraw(aNumber);
  this->pending.erase(found);
}

void
SlotBroker::Release(const Slot& aSlot,
                    routing::UseOutcome aOutcome,
                    std::chrono::nanoseconds aDuration,
                    const std::optional<routing::LoadSample>& aSample)
{
  this->DispatcherOf(aSlot.service)
    .Release(aSlot.grant, aOutcome, aDuration, aSample);
  this->ScheduleTick();
}

std::size_t
SlotBroker::WaitingCount() const
{
  std::size_t count = 0;
  for (const auto& [name, dispatcher] : this->dispatchers) {
    count += dispatcher->WaitingCount();
  }
  return count;
}

ServiceDispatcher&
SlotBroker::DispatcherOf(const std::string& aService)
{
  auto& dispatcher = this->dispatchers[aService];
  if (!dispatcher) {
    dispatcher = std::make_unique<ServiceDispatcher>(
      routing::DispatcherHooks{
        .now = this->now,
        .random = this->random,
        .decided =
          [this](std::uint64_t aNumber, const DispatchResult& aResult) {
            this->OnDecided(aNumber, aResult);
          } },
      this->settings);
  }
  return *dispatcher;
}

void
SlotBroker::OnDecided(std::uint64_t aNumber, const DispatchResult& aResult)
{
  const auto found = this->pending.find(aNumber);
  if (found == this->pending.end()) {
    return;
  }
  const Pending decided = std::move(found->second);
  this->pending.erase(found);
  std::optional<Slot> slot;
  if (aResult.instance) {
    slot = Slot{ decided.service, aResult.grant, aResult.instance };
  }
  decided.onDecided(aResult, std::move(slot));
}

void
SlotBroker::ScheduleTick()
{
  std::optional<core::TimePoint> due;
  for (const auto& [name, dispatcher] : this->dispatchers) {
    if (const auto next = dispatcher->NextDue()) {
      due = due ? std::min(*due, *next) : *next;
    }
  }
  if (!due || (this->timerDue && *this->timerDue <= *due)) {
    return;
  }
  this->timerDue = due;
  this->timer.expires_at(*due);
  this->timer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    this->timerDue.reset();
    for (auto& [name, dispatcher] : this->dispatchers) {
      dispatcher->Tick();
    }
    this->ScheduleTick();
  });
}

} // namespace fireflytrail::proxy
