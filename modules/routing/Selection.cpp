#include "routing/Selection.h"

#include <cassert>
#include <utility>

namespace fireflytrail::routing {

Selection::Selection(std::shared_ptr<ServerLoad> aServer,
                     std::shared_ptr<ServiceLoad> aService,
                     ServerLoad::Token aToken)
  : server(std::move(aServer))
  , service(std::move(aService))
  , token(aToken)
{
  assert(this->server && this->service);
  this->service->AddInFlight(1);
}

Selection::Selection(Selection&& aOther) noexcept
  : server(std::move(aOther.server))
  , service(std::move(aOther.service))
  , token(aOther.token)
{
}

Selection&
Selection::operator=(Selection&& aOther) noexcept
{
  if (this != &aOther) {
    if (this->Acquired()) {
      this->Release(SelectionOutcome::Cancelled, {}, {});
    }
    this->server = std::move(aOther.server);
    this->service = std::move(aOther.service);
    this->token = aOther.token;
  }
  return *this;
}

Selection::~Selection()
{
  if (this->Acquired()) {
    this->Release(SelectionOutcome::Cancelled, {}, {});
  }
}

void
Selection::RecordReport(const LoadReport& aReport, core::TimePoint aNow)
{
  assert(this->Acquired());
  this->server->RecordReport(aReport, aNow);
}

void
Selection::Release(SelectionOutcome aOutcome,
                   std::chrono::nanoseconds aDuration,
                   core::TimePoint aNow)
{
  assert(this->Acquired());
  this->server->Release(this->token, aOutcome, aDuration, aNow);
  this->service->AddInFlight(-1);
  this->server.reset();
  this->service.reset();
}

} // namespace fireflytrail::routing
