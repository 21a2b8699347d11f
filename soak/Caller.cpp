#include "soak/Caller.h"

#include "soak/HttpService.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace fireflytrail::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto kTimeLimit = 2000ms;
constexpr auto kPause = 15ms;
// Requests on one connection, so that connections are both kept and new.
constexpr unsigned kMostOnConnection = 20;

Ledger::End
EndOf(unsigned aStatus)
{
  switch (aStatus) {
    case 200:
      return Ledger::End::Success;
    case 408:
    case 421:
    case 429:
    case 503:
      return Ledger::End::NotRun;
    default:
      return Ledger::End::Failure;
  }
}

} // namespace

Caller::Caller(asio::io_context& aContext,
               Ledger& aLedger,
               Hooks aHooks,
               std::uint64_t aSeed)
  : context(aContext)
  , ledger(aLedger)
  , hooks(std::move(aHooks))
  , random(aSeed)
  , tag(aSeed & 0xffffffU)
{
}

asio::awaitable<void>
Caller::Run()
{
  while (!this->hooks.isOver()) {
    if (const auto daemon = this->hooks.daemon()) {
      co_await this->UseConnection(*daemon);
    }
    asio::steady_timer pause(this->context, kPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void>
Caller::UseConnection(tcp::endpoint aDaemon)
{
  boost::beast::tcp_stream stream(this->context);
  boost::system::error_code error;
  stream.expires_after(1s);
  co_await stream.async_connect(
    aDaemon, asio::redirect_error(asio::use_awaitable, error));
  boost::beast::flat_buffer buffer;
  for (unsigned index = 0;
       !error && index < kMostOnConnection && !this->hooks.isOver();
       ++index) {
    const std::string id =
      fmt::format("{:06x}{:08x}", this->tag, ++this->count);
    const bool isOnce = this->random() % 2 == 0;
    HttpRequest request;
    request.method(isOnce ? http::verb::post : http::verb::get);
    request.target(fmt::format("{}{}", isOnce ? "/once/" : "/any/", id));
    request.set(http::field::host, "soak.example");
    request.set("X-Request-Id", id);
    request.set("X-Request-Timeout-Ms", std::to_string(kTimeLimit.count()));
    request.body() = isOnce ? std::string(this->random() % 3000, 'x') : "";
    request.prepare_payload();
    this->ledger.Send(id, isOnce);
    // A second more than the daemon was told, so that its own answer counts.
    stream.expires_after(kTimeLimit + 1s);
    co_await http::async_write(
      stream, request, asio::redirect_error(asio::use_awaitable, error));
    const bool isSent = !error;
    HttpResponse response;
    if (isSent) {
      co_await http::async_read(
        stream,
        buffer,
        response,
        asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
      this->ledger.Finish(id, Ledger::End::Cut);
      // The first request on a kept connection may cross its close.
      if (isSent && index == 0) {
        this->hooks.cut(aDaemon, id);
      }
      break;
    }
    this->ledger.Finish(id, EndOf(response.result_int()));
    this->hooks.answered(aDaemon, response.result_int());
    const std::string expected = fmt::format(
      "{} {} {}", id, std::string(request.target()), request.body());
    if (response.result() == http::status::ok &&
        (response.body() != expected ||
         response["X-Response-Signature"] != "of-" + id)) {
      this->ledger.Break(fmt::format("{} got another answer", id));
    }
    if (!response.keep_alive()) {
      break;
    }
    asio::steady_timer pause(this->context, kPause);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

} // namespace fireflytrail::soak
