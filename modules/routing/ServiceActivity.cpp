#include "routing/ServiceActivity.h"

#include <cassert>
#include <utility>

namespace fireflytrail::routing {

ServiceActivity::ServiceActivity(std::string aSelf,
                                 core::NowFunction aNow,
                                 PublishFunction aPublish)
  : self(std::move(aSelf))
  , now(std::move(aNow))
  , publish(std::move(aPublish))
{
  assert(this->now && this->publish);
}

void
ServiceActivity::UpdateCallCount(const std::string& aService,
                                 std::uint64_t aCalls)
{
  const core::TimePoint time = this->now();
  const auto [found, isNew] = this->ownServices.try_emplace(aService);
  OwnActivity& entry = found->second;
  if (isNew) {
    entry.lastCall = time;
    entry.activeFrom = time;
    entry.calls = aCalls;
    return;
  }
  if (aCalls != entry.calls) {
    entry.calls = aCalls;
    entry.lastCall = time;
    if (entry.isIdle) {
      entry.isIdle = false;
      entry.activeFrom = time + kAnnouncementDelay;
      this->PublishIdleServices();
    }
    return;
  }
  if (!entry.isIdle && time - entry.lastCall >= kIdleTimeout) {
    entry.isIdle = true;
    this->PublishIdleServices();
  }
}

void
ServiceActivity::SetIdleServices(const std::string& aHost,
                                 std::vector<std::string> aServices)
{
  this->idleServicesByHost[aHost] = {
    std::make_move_iterator(aServices.begin()),
    std::make_move_iterator(aServices.end())
  };
}

std::vector<std::string>
ServiceActivity::ActiveHosts(const std::string& aService,
                             const std::vector<std::string>& aHosts) const
{
  std::vector<std::string> active;
  for (const std::string& host : aHosts) {
    if (!this->IsIdle(host, aService)) {
      active.push_back(host);
    }
  }
  return active.empty() ? aHosts : active;
}

bool
ServiceActivity::IsIdle(const std::string& aHost,
                        const std::string& aService) const
{
  if (aHost == this->self) {
    const auto found = this->ownServices.find(aService);
    return found != this->ownServices.end() &&
           (found->second.isIdle || this->now() < found->second.activeFrom);
  }
  const auto found = this->idleServicesByHost.find(aHost);
  return found != this->idleServicesByHost.end() &&
         found->second.contains(aService);
}

void
ServiceActivity::PublishIdleServices()
{
  std::vector<std::string> idle;
  for (const auto& [service, entry] : this->ownServices) {
    if (entry.isIdle) {
      idle.push_back(service);
    }
  }
  this->publish(idle);
}

} // namespace fireflytrail::routing
