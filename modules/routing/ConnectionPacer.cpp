#include "routing/ConnectionPacer.h"

#include "routing/SharedLimit.h"

#include <cassert>
#include <utility>

namespace fireflytrail::routing {

namespace {

/** The part of a cold server's time that new connections of one host may use is
 * 1 divided by this. Only few hosts may send to a cold server, so the total
 * over all hosts stays small. */
constexpr int kColdTimeDivisor = 20;

} // namespace

ConnectionPacer::ConnectionPacer(std::shared_ptr<ServerLoad> aLoad,
                                 std::uint32_t aMaxConnections,
                                 std::chrono::microseconds aConnectCost,
                                 std::string aSelf,
                                 core::NowFunction aNow)
  : load(std::move(aLoad))
  , maxConnections(aMaxConnections)
  , connectCost(aConnectCost)
  , self(std::move(aSelf))
  , now(std::move(aNow))
{
  assert(this->load && this->now);
  this->SetHosts({});
}

void
ConnectionPacer::SetHosts(std::vector<std::string> aHosts)
{
  this->share = SharedLimit::ConservativeShareOf(
    this->load->Identity().id, this->maxConnections, this->self, aHosts);
}

bool
ConnectionPacer::TryOpen(ServerState aState)
{
  if (aState == ServerState::Draining || aState == ServerState::Gone) {
    return false;
  }
  if (this->load->Connections() >= static_cast<std::int32_t>(this->share)) {
    return false;
  }
  const core::TimePoint time = this->now();
  if (aState != ServerState::Ready) {
    if (time < this->nextOpenAt || this->load->Limit() == 0) {
      return false;
    }
    this->nextOpenAt = time + this->connectCost * kColdTimeDivisor;
  }
  this->load->AddConnections(1);
  return true;
}

} // namespace fireflytrail::routing
