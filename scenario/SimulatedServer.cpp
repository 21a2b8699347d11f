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
  , start(aWorld.random.Next())
  , world(aWorld)
{
}

void
SimulatedServer::Receive(const SimulatedRequest& aRequest,
                         std::uint64_t aToken,
                         ReplyFunction aReply)
{
  const auto timeLeft = std::chrono::duration_cast<microseconds>(
    aRequest.deadline - this->world.clock.Now());
  // The deadline must be carried, and shrink with each level.
  if (timeLeft.count() <= 0 || (aRequest.timeLeftAbove.count() > 0 &&
                                timeLeft >= aRequest.timeLeftAbove)) {
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
  this->works[aToken] = { aRequest, std::move(aReply), timeLeft };
  this->queue.push_back(aToken);
  this->StartNext();
}

void
SimulatedServer::Cancel(std::uint64_t aToken)
{
  const auto found = this->works.find(aToken);
  if (found == this->works.end()) {
    return;
  }
  if (found->second.isRunning) {
    found->second.reply = {};
    return;
  }
  std::erase(this->queue, aToken);
  this->works.erase(found);
}

void
SimulatedServer::Die(const std::string& aCause)
{
  if (!this->isAlive) {
    return;
  }
  const std::uint64_t death =
    calls::CrashGuard::DeathIdOf(this->name, this->start, 0);
  ++this->world.record.deaths[aCause];
  const auto lost = std::exchange(this->works, {});
  this->queue.clear();
  this->busySlots = 0;
  this->isAlive = false;
  for (const auto& [token, work] : lost) {
    this->world.record.besideDeaths +=
      work.request.call->name != aCause && work.reply ? 1 : 0;
    if (work.reply) {
      work.reply({ ServerReply::Kind::Reset, 0, death });
    }
  }

  for (const auto& daemon : this->world.daemons) {
    daemon->Post(this->world.Latency(daemon->domain, this->domain),
                 [&daemon, this, process = this->start] {
                   daemon->ConnectionClosed(this->key, process);
                 });
  }
  this->world.clock.After(this->service.restartTime, [this] {
    this->start = this->world.random.Next();
    this->isAlive = true;
    this->TurnCold(8.0);
  });
}

void
SimulatedServer::StartNext()
{
  while (this->busySlots < this->service.slots && !this->queue.empty()) {
    const std::uint64_t token = this->queue.front();
    this->queue.pop_front();
    ++this->busySlots;
    this->Run(token);
  }
}

void
SimulatedServer::Run(std::uint64_t aToken)
{
  Work& work = this->works.at(aToken);
  work.isRunning = true;
  const SimulatedRequest& request = work.request;
  this->world.record.runs.push_back({ this->world.clock.Elapsed(),
                                      request.sale,
                                      request.runKey,
                                      request.call->name,
                                      this->name,
                                      this->domain });
  const double mean = static_cast<double>(this->service.serviceTime.count()) *
                      this->slowFactor * this->coldFactor;
  this->coldFactor = std::max(1.0, this->coldFactor / 2);
  const auto time = microseconds(static_cast<std::int64_t>(mean / 2)) +
                    this->world.random.Exponential(mean / 2);
  this->world.clock.After(time, [this, aToken, process = this->start] {
    if (process != this->start || !this->works.contains(aToken)) {
      return;
    }
    if (this->works.at(aToken).request.call->crashes) {
      this->Die(this->works.at(aToken).request.call->name);
      return;
    }
    this->CallBelow(aToken, 0);
  });
}

void
SimulatedServer::CallBelow(std::uint64_t aToken, std::size_t aIndex)
{
  if (aIndex == this->service.callsBelow.size()) {
    this->Finish(aToken, {});
    return;
  }
  const Work& work = this->works.at(aToken);
  this->world.CallFromServer(
    work.request,
    work.timeLeft,
    this->service.callsBelow[aIndex],
    [this, aToken, aIndex, process = this->start](bool aIsGood) {
      if (process != this->start || !this->works.contains(aToken)) {
        return;
      }
      if (aIsGood) {
        this->CallBelow(aToken, aIndex + 1);
      } else {
        this->Finish(aToken, FailureOf(this->service.whenBelowFails));
      }
    });
}

void
SimulatedServer::Finish(std::uint64_t aToken, ServerReply aReply)
{
  const auto work = this->works.extract(aToken);
  --this->busySlots;
  if (work.mapped().reply) {
    work.mapped().reply(this->WithReport(aReply));
  }
  this->StartNext();
}

ServerReply
SimulatedServer::WithReport(ServerReply aReply) const
{
  aReply.inFlight = static_cast<unsigned>(this->works.size());
  aReply.start = this->start;
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
