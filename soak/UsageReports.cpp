#include "soak/UsageReports.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace fireflytrail::soak {

namespace asio = boost::asio;
using namespace std::chrono_literals;

UsageReports::UsageReports(asio::io_context& aContext,
                           std::uint64_t aSeed,
                           std::function<void(std::string)> aReportViolation)
  : context(aContext)
  , random(aSeed)
  , reportViolation(std::move(aReportViolation))
  , service(
      std::make_shared<HttpService>(aContext, [this](HttpRequest aRequest) {
        return this->Handle(std::move(aRequest));
      }))
{
}

asio::ip::tcp::endpoint
UsageReports::Open()
{
  this->service->Open({ asio::ip::make_address("127.0.0.1"), 0 });
  return this->service->Endpoint();
}

asio::awaitable<std::optional<HttpResponse>>
UsageReports::Handle(HttpRequest aRequest)
{
  const std::string fence(aRequest["X-Fencing-Token"]);
  const std::string holder(aRequest["X-Lease-Holder"]);
  const auto [owner, isNew] = this->holderOfFence.emplace(fence, holder);
  if (owner->second != holder) {
    this->reportViolation(fmt::format(
      "{} and {} report usage with the same number", owner->second, holder));
  }
  HttpResponse response;
  response.result(200U);
  const std::uint64_t fate = this->random() % 10;
  if (fate < 2) {
    response.result(fate == 0 ? 429U : 503U);
    co_return response;
  }
  const auto window = boost::json::parse(aRequest.body())
                        .at("WindowId")
                        .to_number<std::uint64_t>();
  const auto [first, isFirst] = this->bodies.emplace(window, aRequest.body());
  if (first->second != aRequest.body()) {
    this->reportViolation(fmt::format("two reports of window {}: {} and {}",
                                      window,
                                      first->second,
                                      aRequest.body()));
  }
  if (fate == 2) {
    // Accepted, but the answer is lost.
    asio::steady_timer silence(this->context, 3s);
    co_await silence.async_wait(asio::use_awaitable);
    co_return std::nullopt;
  }
  co_return response;
}

} // namespace fireflytrail::soak
