#include "proxy/LoadProber.h"

#include "gateway/ServerConnection.h"
#include "gateway/ServerPool.h"
#include "gateway/SocketAddress.h"

#include <boost/asio/steady_timer.hpp>

#include <cassert>
#include <utility>

namespace fireflytrail::proxy {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

// A measurement takes up to 6 ms and its transfer 3 ms. A load report says
// little after 100 ms, so a later answer is of no use.
constexpr milliseconds kTimeout = 100ms;

} // namespace

LoadProber::LoadProber(boost::asio::io_context& aContext,
                       std::shared_ptr<const gateway::ServerDialect> aDialect)
  : context(aContext)
  , dialect(std::move(aDialect))
{
  assert(this->dialect);
}

LoadProber::~LoadProber() = default;

void
LoadProber::Measure(const routing::BackendInstance& aInstance,
                    const std::string& aPath,
                    MeasuredFunction aOnMeasured)
{
  assert(aOnMeasured);
  Target& target = this->targets[aInstance.id];
  if (!target.pool || target.address != aInstance.address) {
    const auto endpoint = gateway::ParseSocketAddress(aInstance.address);
    if (!endpoint) {
      aOnMeasured(std::nullopt);
      return;
    }
    target.address = aInstance.address;
    target.pool = std::make_shared<gateway::ServerPool>(
      this->context, *endpoint, 1, aInstance.id, this->dialect);
  }
  ++this->count;
  const auto call = std::make_shared<gateway::CallRequest>();
  call->id = aInstance.id;
  call->target = aPath;
  const auto timer =
    std::make_shared<boost::asio::steady_timer>(this->context, kTimeout);
  const auto onMeasured =
    std::make_shared<MeasuredFunction>(std::move(aOnMeasured));
  const auto pool = target.pool;
  const auto connection = pool->Send(
    call, kTimeout, 0, [timer, onMeasured](gateway::ServerExchange aExchange) {
      timer->cancel();
      const auto report = std::exchange(*onMeasured, nullptr);
      if (!report) {
        return;
      }
      if (aExchange.answer && aExchange.loadSample) {
        report(routing::Measurement{ *aExchange.loadSample,
                                     aExchange.remainingColdTime,
                                     aExchange.notice });
      } else {
        report(std::nullopt);
      }
    });
  timer->async_wait(
    [timer, pool, connection, onMeasured](boost::system::error_code aError) {
      const auto report = std::exchange(*onMeasured, nullptr);
      if (aError || !report) {
        return;
      }
      pool->Cancel(*connection);
      report(std::nullopt);
    });
}

void
LoadProber::KeepOnly(const std::function<bool(const std::string&)>& aIsKept)
{
  std::erase_if(this->targets, [&aIsKept](const auto& aTarget) {
    return !aIsKept(aTarget.first);
  });
}

} // namespace fireflytrail::proxy
