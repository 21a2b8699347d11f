#include "soak/Caller.h"

#include "soak/HttpService.h"
#include "soak/Server.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include <chrono>
#include <string_view>
#include <utility>

namespace fireflytrail::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto kRequestTimeout = 2000ms;
constexpr auto kRequestInterval = 15ms;
// Limited so that requests use both kept-alive and new connections.
constexpr unsigned kMaxRequestsPerConnection = 20;

RequestHistory::Outcome
OutcomeOf(unsigned aStatus)
{
  switch (aStatus) {
    case 200:
      return RequestHistory::Outcome::Success;
    case 408:
    case 421:
    case 429:
    case 503:
      return RequestHistory::Outcome::NotRun;
    default:
      return RequestHistory::Outcome::Failure;
  }
}

} // namespace

Caller::Caller(asio::io_context& aContext,
               RequestHistory& aHistory,
               Hooks aHooks,
               std::uint64_t aSeed)
  : context(aContext)
  , history(aHistory)
  , hooks(std::move(aHooks))
  , random(aSeed)
  , idPrefix(aSeed & 0xffffffU)
{
}

asio::awaitable<void>
Caller::Run()
{
  while (!this->hooks.isOver()) {
    if (const auto daemon = this->hooks.daemon()) {
      co_await this->UseConnection(*daemon);
    }
    asio::steady_timer pause(this->context, kRequestInterval);
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
       !error && index < kMaxRequestsPerConnection && !this->hooks.isOver();
       ++index) {
    const std::string id =
      fmt::format("{:06x}{:08x}", this->idPrefix, ++this->count);
    const bool isAtMostOnce = this->random() % 2 == 0;
    HttpRequest request;
    request.method(isAtMostOnce ? http::verb::post : http::verb::get);
    const bool isForSecond = isAtMostOnce && this->random() % 3 == 0;
    const std::string_view prefix = isForSecond    ? kSecondServicePrefix
                                    : isAtMostOnce ? "/once/"
                                                   : "/any/";
    request.target(fmt::format("{}{}", prefix, id));
    request.set(http::field::host, "soak.example");
    request.set("X-Request-Id", id);
    request.set("X-Request-Timeout-Ms",
                std::to_string(kRequestTimeout.count()));
    request.body() =
      isAtMostOnce ? std::string(this->random() % 3000, 'x') : "";
    request.prepare_payload();
    this->history.RecordSend(id, isAtMostOnce);
    // 1 s longer than the timeout sent to the daemon, so that the daemon's own
    // timeout response still arrives.
    stream.expires_after(kRequestTimeout + 1s);
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
      this->history.RecordOutcome(id, RequestHistory::Outcome::ConnectionLost);
      // The daemon may close a kept-alive connection just as the next request
      // is sent. This is no fault, so only a connection that is lost during its
      // first request is reported.
      if (isSent && index == 0) {
        this->hooks.onConnectionLost(aDaemon, id);
      }
      break;
    }
    this->history.RecordOutcome(id, OutcomeOf(response.result_int()));
    this->hooks.onResponse(aDaemon, response.result_int());
    const std::string expected = fmt::format(
      "{} {} {}", id, std::string(request.target()), request.body());
    if (response.result() == http::status::ok &&
        (response.body() != expected ||
         response["X-Response-Signature"] != "of-" + id)) {
      this->history.ReportViolation(
        fmt::format("request {} received a wrong response", id));
    }
    if (!response.keep_alive()) {
      break;
    }
    asio::steady_timer pause(this->context, kRequestInterval);
    co_await pause.async_wait(asio::use_awaitable);
  }
}

} // namespace fireflytrail::soak
