#include "soak/Server.h"

#include "soak/FaultLink.h"
#include "soak/RequestHistory.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <utility>

namespace fireflytrail::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kSlots = 4;
constexpr unsigned kQueueLimit = 4;
constexpr unsigned kMinWorkMs = 5;
constexpr unsigned kWorkRangeMs = 30;

} // namespace

Server::Server(asio::io_context& aContext,
               RequestHistory& aHistory,
               std::string aService,
               std::string aDomain,
               std::uint64_t aSeed)
  : context(aContext)
  , history(aHistory)
  , service(std::move(aService))
  , domain(std::move(aDomain))
  , random(aSeed)
  , http(std::make_shared<HttpService>(aContext,
                                       [this](HttpRequest aRequest) {
                                         return this->Handle(
                                           std::move(aRequest));
                                       }))
  , link(std::make_shared<FaultLink>(aContext))
{
  this->link->Open();
}

Server::~Server() = default;

void
Server::Start()
{
  ++this->generation;
  this->id = fmt::format("i-{:08x}", this->random() & 0xffffffffU);
  this->createdAtMs = 1'700'000'000'000 + this->generation;
  this->running = 0;
  this->isDraining = false;
  this->drainDeadline.reset();
  this->http->Open({ asio::ip::make_address("127.0.0.1"), 0 });
  this->link->SetTarget(this->http->Endpoint());
  this->isUp = true;
}

void
Server::Crash()
{
  ++this->generation;
  this->isUp = false;
  this->http->Close();
}

void
Server::Drain(std::chrono::steady_clock::time_point aDeadline)
{
  this->isDraining = true;
  this->drainDeadline = aDeadline;
}

json::value
Server::Registration() const
{
  return json::object{
    { "Address", fmt::format("127.0.0.1:{}", this->link->Port()) },
    { "Info",
      json::object{ { "Service", this->service },
                    { "Version", "v1" },
                    { "Zone", this->domain },
                    { "MaxConcurrency", kSlots } } },
    { "Status",
      json::object{ { "State", this->isDraining ? "draining" : "ready" },
                    { "Sequence", 1 },
                    { "WarmupRemainingMs", 0 } } },
    { "born", this->createdAtMs }
  };
}

asio::awaitable<std::optional<HttpResponse>>
Server::Handle(HttpRequest aRequest)
{
  HttpResponse response;
  if (aRequest.target() == "/health") {
    response.result(this->isDraining ? 503U : 200U);
    response.set("X-Instance-Id", this->id);
    this->SetLoadHeader(response);
    co_return response;
  }
  const std::string requestId(aRequest["X-Request-Id"]);
  response.set("X-Request-Id", requestId);
  if (aRequest["X-Target-Instance"] != this->id) {
    response.result(421U);
    response.set("X-Not-Executed", "1");
    co_return response;
  }
  if (this->drainDeadline &&
      std::chrono::steady_clock::now() > *this->drainDeadline) {
    this->history.ReportViolation(
      fmt::format("request {} reached draining server {} after its deadline",
                  requestId,
                  this->id));
  }
  if (this->running >= kSlots + kQueueLimit) {
    response.result(503U);
    response.set("X-Not-Executed", "1");
    this->SetLoadHeader(response);
    co_return response;
  }
  this->history.RecordRun(requestId);
  const unsigned startGeneration = this->generation;
  ++this->running;
  asio::steady_timer workTimer(
    this->context,
    std::chrono::milliseconds((kMinWorkMs + this->random() % kWorkRangeMs) *
                              this->slowdown));
  co_await workTimer.async_wait(asio::use_awaitable);
  if (startGeneration != this->generation) {
    co_return std::nullopt;
  }
  this->SetLoadHeader(response);
  --this->running;
  response.result(200U);
  response.set("X-Response-Signature", "of-" + requestId);
  response.body() = fmt::format(
    "{} {} {}", requestId, std::string(aRequest.target()), aRequest.body());
  co_return response;
}

void
Server::SetLoadHeader(HttpResponse& aResponse) const
{
  aResponse.set(
    "X-Instance-Load",
    fmt::format("{},0,{},{}", this->running, kSlots, 100 * this->slowdown));
}

} // namespace fireflytrail::soak
