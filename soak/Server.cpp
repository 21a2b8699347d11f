#include "soak/Server.h"

#include "soak/FaultLink.h"
#include "soak/RequestHistory.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <array>
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

// Statuses that are none of an answer, and how seldom one is given.
constexpr std::array<unsigned, 4> kOddStatuses{ 0, 99, 600, 999 };
constexpr std::size_t kOddPart = 32;

// Bounds of the platform for servers that name a limit, and for those that
// refuse with the time for which they want no requests.
constexpr auto kLimitGrace = 3500ms;
constexpr auto kLimitSpan = 4000ms;
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
constexpr auto kPauseGrace = 500ms;
constexpr std::size_t kAllowedPerDaemon = 2;

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
  this->limit.reset();
  this->pausedUntil = {};
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
Server::Drain(std::chrono::steady_clock::time_point aDeadline,
              ExcuseFunction aIsExcused)
{
  this->isDraining = true;
  this->LeaveSilently(aDeadline, std::move(aIsExcused));
}

void
Server::LeaveSilently(std::chrono::steady_clock::time_point aDeadline,
                      ExcuseFunction aIsExcused)
{
  this->drainDeadline = aDeadline;
  this->isLateExcused = std::move(aIsExcused);
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
    this->SetStateHeaders(response);
    co_return response;
  }
  const std::string requestId(aRequest["X-Request-Id"]);
  response.set("X-Request-Id", requestId);
  this->history.RecordArrival(requestId, this->id);
  if (aRequest["X-Target-Instance"] != this->id) {
    response.result(421U);
    response.set("X-Not-Executed", "1");
    co_return response;
  }
  if (this->drainDeadline &&
      std::chrono::steady_clock::now() > *this->drainDeadline &&
      !this->isLateExcused(requestId)) {
    this->history.ReportViolation(fmt::format(
      "request {} by daemon {} reached leaving server {} {} ms after "
      "its deadline",
      requestId,
      this->history.DaemonOf(requestId),
      this->id,
      std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - *this->drainDeadline)
        .count()));
  }
  this->CheckNotices(requestId);
  const auto pause = std::chrono::duration<double>(
    this->pausedUntil - std::chrono::steady_clock::now());
  if (pause.count() > 0) {
    response.result(503U);
    response.set("X-Not-Executed", "1");
    response.set("Retry-After", fmt::format("{:.3f}", pause.count()));
    this->SetStateHeaders(response);
    co_return response;
  }
  if (this->running >= kSlots + kQueueLimit) {
    response.result(503U);
    response.set("X-Not-Executed", "1");
    this->SetStateHeaders(response);
    co_return response;
  }
  this->history.RecordRun(requestId);
  ++this->runCount;
  if (this->runObserver) {
    this->runObserver(aRequest);
  }
  if (aRequest.target().starts_with(kSecondServicePrefix) !=
      (this->service == kSecondService)) {
    this->history.ReportViolation(
      fmt::format("request {} for {} was run by service {}",
                  requestId,
                  std::string(aRequest.target()),
                  this->service));
  }
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
  this->SetStateHeaders(response);
  --this->running;
  response.result(200U);
  if (this->hasOddStatuses && this->runCount % kOddPart == 0) {
    response.result(
      kOddStatuses[this->runCount / kOddPart % kOddStatuses.size()]);
  }
  response.set("X-Response-Signature", "of-" + requestId);
  response.body() = fmt::format(
    "{} {} {}", requestId, std::string(aRequest.target()), aRequest.body());
  co_return response;
}

bool
Server::IsUnrestricted() const
{
  return this->isUp && !this->IsLeaving() && !this->limit &&
         std::chrono::steady_clock::now() >= this->pausedUntil;
}

void
Server::SetLimit(double aRequestsPerSecond)
{
  this->limit = aRequestsPerSecond;
  this->limitCheckedFrom = std::chrono::steady_clock::now() + kLimitGrace;
  this->arrivals.clear();
}

void
Server::ClearLimit()
{
  this->limit.reset();
}

void
Server::Pause(std::chrono::milliseconds aTime, std::size_t aDaemons)
{
  const auto now = std::chrono::steady_clock::now();
  this->pausedUntil = now + aTime;
  this->pauseCheckedFrom = now + kPauseGrace;
  this->allowedDuringPause = kAllowedPerDaemon * aDaemons;
  this->arrivedDuringPause = 0;
}

void
Server::PermitStartedDaemon()
{
  this->allowedDuringPause += kAllowedPerDaemon;
}

void
Server::WaiveNotices()
{
  this->limitCheckedFrom = std::chrono::steady_clock::time_point::max();
  this->pauseCheckedFrom = std::chrono::steady_clock::time_point::max();
}

void
Server::CheckNotices(const std::string& aRequestId)
{
  const auto now = std::chrono::steady_clock::now();
  if (now < this->pausedUntil && now >= this->pauseCheckedFrom &&
      ++this->arrivedDuringPause > this->allowedDuringPause) {
    this->history.ReportViolation(fmt::format(
      "request {} reached server {} during its pause", aRequestId, this->id));
  }
  if (!this->limit) {
    return;
  }
  while (!this->arrivals.empty() && now - this->arrivals.front() > kLimitSpan) {
    this->arrivals.pop_front();
  }
  if (now >= this->limitCheckedFrom) {
    this->arrivals.push_back(now);
  }
  const double allowed = kLimitFactor * *this->limit *
                           std::chrono::duration<double>(kLimitSpan).count() +
                         kLimitSlack;
  if (static_cast<double>(this->arrivals.size()) > allowed) {
    this->history.ReportViolation(
      fmt::format("request {} exceeded the limit of {} a second of server {}",
                  aRequestId,
                  *this->limit,
                  this->id));
  }
}

void
Server::SetStateHeaders(HttpResponse& aResponse) const
{
  aResponse.set(
    "X-Instance-Load",
    fmt::format("{},0,{},{}", this->running, kSlots, 100 * this->slowdown));
  if (this->isDraining) {
    aResponse.set("Server-Leaving", "1");
  }
  if (this->limit) {
    aResponse.set("Server-Limit", fmt::format("{}", *this->limit));
  }
}

} // namespace fireflytrail::soak
