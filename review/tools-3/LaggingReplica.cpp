#include "LaggingReplica.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace fireflytrail::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

constexpr auto kCopyInterval = 50ms;
// Longer than any watch waits.
constexpr auto kPassOnTime = 35s;

} // namespace

LaggingReplica::LaggingReplica(Harness& aHarness, Milliseconds aLag)
  : harness(aHarness)
  , lag(aLag)
  , http(std::make_shared<soak::HttpService>(
      aHarness.context,
      [this](soak::HttpRequest aRequest) {
        return this->Handle(std::move(aRequest));
      }))
{
}

LaggingReplica::~LaggingReplica() = default;

std::uint16_t
LaggingReplica::Open()
{
  this->http->Open({ asio::ip::address_v4::loopback(), 0 });
  for (const char* kind : { "config", "servers", "rollouts", "evacuations" }) {
    this->harness.Spawn([this, kind] { return this->Follow(kind); });
  }
  return this->http->Endpoint().port();
}

asio::awaitable<void>
LaggingReplica::Follow(std::string aKind)
{
  auto& copies = this->copies[aKind];
  for (;;) {
    soak::HttpRequest request(http::verb::get, "/objects/" + aKind, 11);
    if (auto response = co_await this->PassOn(std::move(request))) {
      copies.emplace_back(Clock::now(), std::move(*response));
    }
    while (copies.size() > 1 && copies[1].first <= Clock::now() - this->lag) {
      copies.pop_front();
    }
    co_await this->harness.Wait(kCopyInterval);
  }
}

asio::awaitable<std::optional<soak::HttpResponse>>
LaggingReplica::Handle(soak::HttpRequest aRequest)
{
  const std::string target(aRequest.target());
  const std::size_t end = target.find("?AllowStale=1");
  if (aRequest.method() == http::verb::get && end != std::string::npos) {
    const auto found = this->copies.find(target.substr(9, end - 9));
    if (found != this->copies.end() && !found->second.empty()) {
      co_return found->second.front().second;
    }
  }
  co_return co_await this->PassOn(std::move(aRequest));
}

asio::awaitable<std::optional<soak::HttpResponse>>
LaggingReplica::PassOn(soak::HttpRequest aRequest)
{
  boost::beast::tcp_stream stream(this->harness.context);
  boost::system::error_code error;
  stream.expires_after(kPassOnTime);
  co_await stream.async_connect(
    boost::asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(),
                                   this->harness.StorePort()),
    asio::redirect_error(asio::use_awaitable, error));
  soak::HttpResponse response;
  boost::beast::flat_buffer buffer;
  aRequest.keep_alive(false);
  aRequest.prepare_payload();
  if (!error) {
    co_await http::async_write(
      stream, aRequest, asio::redirect_error(asio::use_awaitable, error));
  }
  if (!error) {
    co_await http::async_read(stream,
                              buffer,
                              response,
                              asio::redirect_error(asio::use_awaitable, error));
  }
  if (error) {
    co_return std::nullopt;
  }
  response.keep_alive(true);
  co_return response;
}

} // namespace fireflytrail::review
