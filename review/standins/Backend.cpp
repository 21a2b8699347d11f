#include "review/standins/Backend.h"

#include "review/standins/Record.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fireflytrail::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// Interval at which a queued request looks for a free slot.
constexpr milliseconds kSlotCheckInterval = 2ms;
// Time after which an idle connection is closed.
constexpr auto kIdleTime = 10s;
// The desired state lets requesters send bodies of up to 64 MiB.
constexpr std::uint64_t kMaxBodyBytes = 128U << 20U;
// Time budget of a request that names none.
constexpr milliseconds kDefaultBudget = 10s;

} // namespace

Backend::Backend(asio::io_context& aContext, Record& aRecord, Options aOptions)
  : context(aContext)
  , record(aRecord)
  , options(std::move(aOptions))
  , bornMs(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count()))
  , acceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
{
  asio::co_spawn(
    this->context, [this] { return this->Accept(); }, asio::detached);
}

asio::awaitable<void>
Backend::Accept()
{
  for (;;) {
    boost::system::error_code error;
    tcp::socket socket = co_await this->acceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    const auto stream =
      std::make_shared<boost::beast::tcp_stream>(std::move(socket));
    asio::co_spawn(
      this->context,
      [this, stream] { return this->Serve(stream); },
      asio::detached);
  }
}

asio::awaitable<void>
Backend::Serve(std::shared_ptr<boost::beast::tcp_stream> aStream)
{
  boost::beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    boost::system::error_code error;
    aStream->expires_after(kIdleTime);
    co_await http::async_read(*aStream,
                              buffer,
                              parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
    aStream->expires_never();
    const bool isKept = parser.get().keep_alive();
    soak::HttpResponse response = co_await this->Handle(parser.release());
    response.keep_alive(isKept);
    response.prepare_payload();
    co_await http::async_write(
      *aStream, response, asio::redirect_error(asio::use_awaitable, error));
    if (error || !isKept) {
      break;
    }
  }
  aStream->close();
}

json::value
Backend::Registration() const
{
  return json::object{
    { "Address",
      fmt::format("127.0.0.1:{}", this->acceptor.local_endpoint().port()) },
    { "Info",
      json::object{ { "Service", this->options.service },
                    { "Version", this->options.version },
                    { "Zone", this->options.zone },
                    { "MaxConcurrency", this->options.slots } } },
    { "Status",
      json::object{
        { "State", "ready" }, { "Sequence", 1 }, { "WarmupRemainingMs", 0 } } },
    { "born", this->bornMs }
  };
}

asio::awaitable<bool>
Backend::WaitForSlot(steady_clock::time_point aDeadline)
{
  ++this->waiting;
  while (this->running >= this->options.slots &&
         steady_clock::now() < aDeadline) {
    asio::steady_timer timer(this->context, kSlotCheckInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  --this->waiting;
  co_return this->running < this->options.slots;
}

asio::awaitable<soak::HttpResponse>
Backend::Handle(soak::HttpRequest aRequest)
{
  soak::HttpResponse response;
  const std::string id(aRequest["X-Request-Id"]);
  response.set(
    "X-Instance-Load",
    fmt::format("{},{},{}", this->running, this->waiting, this->options.slots));
  if (aRequest.target() == "/health") {
    response.result(200U);
    response.set("X-Instance-Id", this->options.id);
    co_return response;
  }
  response.set("X-Request-Id", id);
  const bool isForOther = !aRequest["X-Target-Instance"].empty() &&
                          aRequest["X-Target-Instance"] != this->options.id;
  if (isForOther) {
    response.result(421U);
    response.set("X-Instance-Id", this->options.id);
    co_return response;
  }
  const std::string budgetText(aRequest["X-Request-Timeout-Ms"]);
  const auto deadline =
    steady_clock::now() +
    (budgetText.empty() ? kDefaultBudget : milliseconds(std::stol(budgetText)));
  const bool isFull = this->running >= this->options.slots &&
                      this->waiting >= this->options.queue;
  if (id.empty() || isFull || !co_await this->WaitForSlot(deadline)) {
    this->record.Write(fmt::format("rejected {} {}", id, this->options.id));
    response.result(id.empty() ? 400U : 503U);
    response.set("X-Not-Executed", "1");
    co_return response;
  }
  ++this->running;
  const std::size_t index = this->record.At(id).runs.size();
  this->record.At(id).runs.push_back({ .instance = this->options.id,
                                       .service = this->options.service,
                                       .begin = steady_clock::now(),
                                       .end = {} });
  this->record.Write(fmt::format("run {} at {} of {}: {} {}",
                                 id,
                                 this->options.id,
                                 this->options.service,
                                 std::string(aRequest.method_string()),
                                 std::string(aRequest.target())));
  asio::steady_timer timer(this->context);
  const auto work = this->options.work();
  const bool isInTime = steady_clock::now() + work <= deadline;
  timer.expires_at(std::min(steady_clock::now() + work, deadline));
  co_await timer.async_wait(asio::use_awaitable);
  --this->running;
  Record::Run& run = this->record.At(id).runs[index];
  run.end = steady_clock::now();
  run.hasEnded = true;
  response.result(isInTime ? this->options.status() : 504U);
  response.set("X-Response-Signature", "of-" + id);
  response.body() = fmt::format(
    "{} {} {}", this->options.service, id, std::string(aRequest.target()));
  this->record.Write(fmt::format("done {} {}", id, response.result_int()));
  co_return response;
}

} // namespace fireflytrail::review
