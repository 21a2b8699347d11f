#include "soak/Caller.h"

#include "soak/HttpService.h"
#include "soak/Server.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include <chrono>
#include <limits>
#include <sstream>
#include <string_view>
#include <utility>

namespace fireflytrail::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto kRequestTimeout = 2000ms;
constexpr std::chrono::milliseconds kRequestInterval = 15ms;
constexpr std::chrono::milliseconds kHurriedInterval = 1ms;
// Limited so that requests use both kept-alive and new connections.
constexpr unsigned kMaxRequestsOfBalanced = 20;
// Pauses of callers that keep their connections: about one in `kPauseShare`
// requests comes up to this time after the last one, so that some are on their
// way while a daemon closes connections.
constexpr unsigned kPauseShare = 8;
constexpr unsigned kMaxPauseMs = 3000;
// Time between the parts of a body, and time until a caller leaves.
constexpr unsigned kMaxBodyPauseMs = 1500;
constexpr unsigned kMaxLeaveMs = 40;

RequestHistory::Outcome
OutcomeOf(unsigned aStatus)
{
  switch (aStatus) {
    case 200:
      return RequestHistory::Outcome::Success;
    case 401:
      return RequestHistory::Outcome::Denied;
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
               Kind aKind,
               std::uint64_t aSeed)
  : context(aContext)
  , history(aHistory)
  , hooks(std::move(aHooks))
  , kind(aKind)
  , random(aSeed)
  , idPrefix(aSeed & 0xffffffU)
{
}

asio::awaitable<void>
Caller::Run()
{
  while (!this->hooks.isOver()) {
    if (const auto daemon = this->hooks.daemon(this->kind == Kind::Balanced)) {
      co_await this->UseConnection(*daemon);
    }
    co_await this->Wait(this->kind == Kind::Hurried ? kHurriedInterval
                                                    : kRequestInterval);
  }
}

std::chrono::milliseconds
Caller::NextPause()
{
  return this->kind == Kind::Keeping && this->random() % kPauseShare == 0
           ? std::chrono::milliseconds(this->random() % kMaxPauseMs)
           : kRequestInterval;
}

unsigned
Caller::MaxRequestsPerConnection() const
{
  switch (this->kind) {
    case Kind::Balanced:
      return kMaxRequestsOfBalanced;
    case Kind::Keeping:
      return std::numeric_limits<unsigned>::max();
    default:
      return 1;
  }
}

HttpRequest
Caller::MakeRequest(const std::string& aId)
{
  const bool isAtMostOnce = this->random() % 2 == 0;
  const bool isForSecond = isAtMostOnce && this->random() % 3 == 0;
  const std::string key = this->hooks.keyOf(aId);
  const std::string_view prefix = this->kind == Kind::Hurried
                                    ? kAbsentServicePrefix
                                  : key.empty()  ? kPublicPrefix
                                  : isForSecond  ? kSecondServicePrefix
                                  : isAtMostOnce ? "/once/"
                                                 : "/any/";
  HttpRequest request;
  request.method(isAtMostOnce ? http::verb::post : http::verb::get);
  request.target(fmt::format("{}{}", prefix, aId));
  request.set(http::field::host, "soak.example");
  request.set("X-Request-Id", aId);
  request.set("X-Request-Timeout-Ms", std::to_string(kRequestTimeout.count()));
  request.set("X-Tenant", "forged");
  if (!key.empty()) {
    request.set(http::field::authorization, "Bearer " + key);
  }
  request.body() = isAtMostOnce ? std::string(this->random() % 3000, 'x') : "";
  request.prepare_payload();
  return request;
}

asio::awaitable<boost::system::error_code>
Caller::Send(boost::beast::tcp_stream& aStream, const HttpRequest& aRequest)
{
  std::ostringstream serialized;
  serialized << aRequest;
  const std::string text = serialized.str();
  boost::system::error_code error;
  const bool isSplit = this->kind == Kind::SlowBody && !aRequest.body().empty();
  const std::size_t firstBytes =
    isSplit ? text.size() - aRequest.body().size() / 2 : text.size();
  co_await asio::async_write(aStream,
                             asio::buffer(text.data(), firstBytes),
                             asio::redirect_error(asio::use_awaitable, error));
  if (!error && isSplit) {
    co_await this->Wait(
      std::chrono::milliseconds(this->random() % kMaxBodyPauseMs));
    co_await asio::async_write(
      aStream,
      asio::buffer(text.data() + firstBytes, text.size() - firstBytes),
      asio::redirect_error(asio::use_awaitable, error));
    // The daemon may have responded already, so the response is read anyway.
    error = {};
  }
  if (!error && this->kind == Kind::HalfClosing) {
    aStream.socket().shutdown(tcp::socket::shutdown_send, error);
    error = {};
  }
  co_return error;
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
  for (unsigned index = 0; !error && index < this->MaxRequestsPerConnection() &&
                           !this->hooks.isOver();
       ++index) {
    const std::string id =
      fmt::format("{:06x}{:08x}", this->idPrefix, ++this->count);
    const HttpRequest request = this->MakeRequest(id);
    const bool isAtMostOnce = request.method() == http::verb::post;
    this->history.RecordSend(id, isAtMostOnce, aDaemon.address().to_string());
    const auto sentAt = std::chrono::steady_clock::now();
    // 1 s longer than the timeout sent to the daemon, so that the daemon's own
    // timeout response still arrives.
    stream.expires_after(kRequestTimeout + 1s +
                         std::chrono::milliseconds(
                           this->kind == Kind::SlowBody ? kMaxBodyPauseMs : 0));
    error = co_await this->Send(stream, request);
    if (!error && this->kind == Kind::Leaving && this->random() % 2 == 0) {
      co_await this->Wait(
        std::chrono::milliseconds(this->random() % kMaxLeaveMs));
      stream.socket().set_option(
        asio::socket_base::linger(this->random() % 2 == 0, 0), error);
      this->history.RecordOutcome(id, RequestHistory::Outcome::Abandoned);
      break;
    }
    HttpResponse response;
    if (!error) {
      co_await http::async_read(
        stream,
        buffer,
        response,
        asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
      this->history.RecordOutcome(id, RequestHistory::Outcome::ConnectionLost);
      this->hooks.onRequestLost({ .id = id,
                                  .daemon = aDaemon,
                                  .sentAt = sentAt,
                                  .endedAt = std::chrono::steady_clock::now(),
                                  .isFirst = index == 0,
                                  .error = error.message() });
      break;
    }
    this->history.RecordOutcome(id, OutcomeOf(response.result_int()));
    this->hooks.onResponse(id, response.result_int());
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
    co_await this->Wait(this->NextPause());
  }
}

asio::awaitable<void>
Caller::Wait(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(this->context, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace fireflytrail::soak
