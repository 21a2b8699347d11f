#include "Backend.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace fireflytrail::review {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr unsigned kSlots = 4;
constexpr unsigned kQueue = 8;
constexpr auto kReportInterval = 1500ms;
constexpr auto kExpiry = 3 * kReportInterval;

} // namespace

Backend::Backend(Harness& aHarness,
                 std::string aService,
                 std::string aZone,
                 unsigned aNumber)
  : harness(aHarness)
  , service(std::move(aService))
  , zone(std::move(aZone))
  , number(aNumber)
{
}

Backend::~Backend() = default;

void
Backend::Start()
{
  ++this->lifetime;
  this->id = fmt::format("i-{:02x}{:04x}", this->number, this->lifetime);
  this->born = static_cast<std::uint64_t>(
    std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
  this->running = 0;
  this->isUp = true;
  const unsigned current = this->lifetime;
  this->http = std::make_shared<soak::HttpService>(
    this->harness.context,
    [this, current](soak::HttpRequest aRequest)
      -> asio::awaitable<std::optional<soak::HttpResponse>> {
      if (current != this->lifetime || !this->isUp) {
        co_return std::nullopt;
      }
      co_return co_await this->Handle(std::move(aRequest));
    });
  this->http->Open({ asio::ip::address_v4::loopback(), 0 });
  this->coldUntil = Clock::now() + this->coldTime;
  this->Put();
  if (this->coldTime.count() > 0) {
    this->harness.Spawn([this] { return this->ReportWhileCold(); });
  }
}

Milliseconds
Backend::ColdLeft() const
{
  return std::max(
    Milliseconds(0),
    std::chrono::ceil<Milliseconds>(this->coldUntil - Clock::now()));
}

asio::awaitable<void>
Backend::ReportWhileCold()
{
  const unsigned current = this->lifetime;
  bool isCold = true;
  while (isCold) {
    co_await this->harness.Wait(kReportInterval);
    if (current != this->lifetime || !this->isUp) {
      co_return;
    }
    isCold = this->ColdLeft().count() > 0;
    this->Put();
  }
}

void
Backend::Put()
{
  this->harness.store.Put(
    "servers",
    this->id,
    json::object{
      { "Address", fmt::format("127.0.0.1:{}", this->http->Endpoint().port()) },
      { "Info",
        json::object{ { "Service", this->service },
                      { "Version", "v1" },
                      { "Zone", this->zone },
                      { "MaxConcurrency", kSlots } } },
      { "Status",
        json::object{ { "State", "ready" },
                      { "Sequence", 1 },
                      { "WarmupRemainingMs", this->ColdLeft().count() } } },
      { "born", this->born } });
}

void
Backend::Crash()
{
  if (!this->isUp) {
    return;
  }
  this->isUp = false;
  this->http->Close();
  this->harness.Spawn(
    [this, ended = this->id] { return this->RemoveEntry(ended); });
}

asio::awaitable<void>
Backend::RemoveEntry(std::string aId)
{
  co_await this->harness.Wait(kExpiry);
  this->harness.store.Remove("servers", aId);
}

asio::awaitable<std::optional<soak::HttpResponse>>
Backend::Handle(soak::HttpRequest aRequest)
{
  soak::HttpResponse response;
  const auto finish = [&] {
    response.set("X-Instance-Load",
                 fmt::format("{},0,{},100", this->running, kSlots));
    if (this->decorate) {
      this->decorate(*this, response);
    }
  };
  if (aRequest.target() == "/health") {
    response.result(200U);
    response.set("X-Instance-Id", this->id);
    response.set("X-Warmup-Remaining-Ms",
                 std::to_string(this->ColdLeft().count()));
    finish();
    co_return response;
  }
  const std::string requestId(aRequest["X-Request-Id"]);
  response.set("X-Request-Id", requestId);
  if (aRequest["X-Target-Instance"] != this->id) {
    response.result(421U);
    response.set("X-Not-Executed", "1");
    co_return response;
  }
  if (this->onArrive) {
    if (auto early = this->onArrive(*this, aRequest)) {
      response = std::move(*early);
      response.set("X-Request-Id", requestId);
      finish();
      co_return response;
    }
  }
  if (this->running >= kSlots + kQueue) {
    response.result(503U);
    response.set("X-Not-Executed", "1");
    finish();
    co_return response;
  }
  const unsigned startLifetime = this->lifetime;
  ++this->running;
  this->harness.Record(fmt::format("run {} by {}", requestId, this->id));
  const Run run = this->onRun ? this->onRun(*this, aRequest) : Run{};
  asio::steady_timer timer(this->harness.context, run.work);
  co_await timer.async_wait(asio::use_awaitable);
  if (startLifetime != this->lifetime || !this->isUp) {
    co_return std::nullopt;
  }
  if (run.isCrash) {
    this->Crash();
    co_return std::nullopt;
  }
  finish();
  --this->running;
  response.result(200U);
  response.set("X-Response-Signature", "of-" + requestId);
  response.body() = fmt::format("{} {}", requestId, this->id);
  co_return response;
}

} // namespace fireflytrail::review
