#include "scenario/SimulatedServer.h"

#include "calls/CrashGuard.h"
#include "scenario/World.h"

#include <algorithm>
#include <utility>

namespace fireflytrail::scenario {

SimulatedServer::SimulatedServer(World& aWorld,
                                 const ServiceModel& aService,
                                 std::string aName,
                                 std::string aDomain,
                                 std::uint64_t aKey)
  : service(aService)
  , name(std::move(aName))
  , domain(std::move(aDomain))
  , key(aKey)
  , startId(aWorld.random.Next())
  , world(aWorld)
{
}

void
SimulatedServer::Receive(const SimulatedRequest& aRequest,
                         std::uint64_t aAttemptId,
                         ReplyFunction aReply)
{
  const auto timeLeft = std::chrono::duration_cast<microseconds>(
    aRequest.deadline - this->world.clock.Now());
  // The deadline must be propagated, and the time left must shrink at each
  // level of nested calls.
  if (timeLeft.count() <= 0 || (aRequest.parentTimeLeft.count() > 0 &&
                                timeLeft >= aRequest.parentTimeLeft)) {
    ++this->world.record.deadlineFaults;
  }
  if (this->isDraining) {
    aReply(this->WithReport({ ServerReply::Kind::Refused, 503, 0 }));
    return;
  }
  if (!this->failFast.empty()) {
    aReply(this->WithReport(FailureOf(this->failFast)));
    return;
  }
  this->requests[aAttemptId] = { aRequest, std::move(aReply), timeLeft };
  this->queue.push_back(aAttemptId);
  this->StartNext();
}

void
SimulatedServer::Cancel(std::uint64_t aAttemptId)
{
  const auto found = this->requests.find(aAttemptId);
  if (found == this->requests.end()) {
    return;
  }
  if (found->second.isRunning) {
    found->second.reply = {};
    return;
  }
  std::erase(this->queue, aAttemptId);
  this->requests.erase(found);
}

void
SimulatedServer::Die(const std::string& aCause)
{
  if (!this->isAlive) {
    return;
  }
  const std::uint64_t death =
    calls::CrashGuard::DeathIdOf(this->name, this->startId, 0);
  ++this->world.record.deaths[aCause];
  const auto lost = std::exchange(this->requests, {});
  this->queue.clear();
  this->busySlots = 0;
  this->isAlive = false;
  for (const auto& [attemptId, pending] : lost) {
    this->world.record.collateralCalls +=
      pending.request.call->name != aCause && pending.reply ? 1 : 0;
    if (pending.reply) {
      pending.reply({ ServerReply::Kind::Reset, 0, death });
    }
  }

  for (const auto& daemon : this->world.daemons) {
    daemon->Post(this->world.Latency(daemon->domain, this->domain),
                 [&daemon, this, capturedStartId = this->startId] {
                   daemon->ConnectionClosed(this->key, capturedStartId);
                 });
  }
  this->world.clock.After(this->service.restartTime, [this] {
    this->startId = this->world.random.Next();
    this->isAlive = true;
    this->TurnCold(8.0);
  });
}

void
SimulatedServer::StartNext()
{
  while (this->busySlots < this->service.slots && !this->queue.empty()) {
    const std::uint64_t attemptId = this->queue.front();
    this->queue.pop_front();
    ++this->busySlots;
    this->Run(attemptId);
  }
}

void
SimulatedServer::Run(std::uint64_t aAttemptId)
{
  PendingRequest& pending = this->requests.at(aAttemptId);
  pending.isRunning = true;
  const SimulatedRequest& request = pending.request;
  this->world.record.runs.push_back({ this->world.clock.Elapsed(),
                                      request.logicalCall,
                                      request.runKey,
                                      request.call->name,
                                      this->name,
                                      this->domain });
  const double mean = static_cast<double>(this->service.serviceTime.count()) *
                      this->slowFactor * this->coldFactor;
  this->coldFactor = std::max(1.0, this->coldFactor / 2);
  const auto time = microseconds(static_cast<std::int64_t>(mean / 2)) +
                    this->world.random.Exponential(mean / 2);
  this->world.clock.After(
    time, [this, aAttemptId, capturedStartId = this->startId] {
      if (capturedStartId != this->startId ||
          !this->requests.contains(aAttemptId)) {
        return;
      }
      if (this->requests.at(aAttemptId).request.call->crashes) {
        this->Die(this->requests.at(aAttemptId).request.call->name);
        return;
      }
      this->MakeNestedCall(aAttemptId, 0);
    });
}

void
SimulatedServer::MakeNestedCall(std::uint64_t aAttemptId, std::size_t aIndex)
{
  if (aIndex == this->service.nestedCalls.size()) {
    this->Finish(aAttemptId, {});
    return;
  }
  const PendingRequest& pending = this->requests.at(aAttemptId);
  this->world.CallFromServer(
    pending.request,
    pending.timeLeft,
    this->service.nestedCalls[aIndex],
    [this, aAttemptId, aIndex, capturedStartId = this->startId](
      bool aIsSuccess) {
      if (capturedStartId != this->startId ||
          !this->requests.contains(aAttemptId)) {
        return;
      }
      if (aIsSuccess) {
        this->MakeNestedCall(aAttemptId, aIndex + 1);
      } else {
        this->Finish(aAttemptId, FailureOf(this->service.nestedFailureMode));
      }
    });
}

void
SimulatedServer::Finish(std::uint64_t aAttemptId, ServerReply aReply)
{
  const auto pending = this->requests.extract(aAttemptId);
  --this->busySlots;
  if (pending.mapped().reply) {
    pending.mapped().reply(this->WithReport(aReply));
  }
  this->StartNext();
}

ServerReply
SimulatedServer::WithReport(ServerReply aReply) const
{
  aReply.inFlight = static_cast<unsigned>(this->requests.size());
  aReply.startId = this->startId;
  aReply.isCold = this->coldFactor > 1.0;
  aReply.isDraining = this->isDraining;
  return aReply;
}

ServerReply
SimulatedServer::FailureOf(const std::string& aMode)
{
  if (aMode == "reset") {
    return { ServerReply::Kind::Reset, 0, 0 };
  }
  if (aMode == "refuse") {
    return { ServerReply::Kind::Refused, 503, 0 };
  }
  return { ServerReply::Kind::Answered, 500, 0 };
}

} // namespace fireflytrail::scenario
