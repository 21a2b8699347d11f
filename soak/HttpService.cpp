#include "soak/HttpService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace fireflytrail::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

HttpService::HttpService(asio::io_context& aContext, HandleFunction aHandle)
  : context(aContext)
  , handle(std::move(aHandle))
  , acceptor(aContext)
{
}

void
HttpService::Open(const tcp::endpoint& aEndpoint)
{
  this->acceptor = tcp::acceptor(this->context, aEndpoint);
  this->endpoint = this->acceptor.local_endpoint();
  asio::co_spawn(
    this->context,
    [self = this->shared_from_this()] { return self->Accept(); },
    asio::detached);
}

void
HttpService::Close()
{
  ++this->generation;
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  for (const auto& stream : std::exchange(this->streams, {})) {
    // Makes the close a reset, whether or not there are unread bytes.
    stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream->close();
  }
}

asio::awaitable<void>
HttpService::Accept()
{
  const unsigned startGeneration = this->generation;
  while (startGeneration == this->generation) {
    boost::system::error_code error;
    tcp::socket socket = co_await this->acceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    const auto stream =
      std::make_shared<boost::beast::tcp_stream>(std::move(socket));
    this->streams.insert(stream);
    asio::co_spawn(
      this->context,
      [self = this->shared_from_this(), stream] { return self->Serve(stream); },
      asio::detached);
  }
}

asio::awaitable<void>
HttpService::Serve(std::shared_ptr<boost::beast::tcp_stream> aStream)
{
  const unsigned startGeneration = this->generation;
  boost::beast::flat_buffer buffer;
  for (;;) {
    HttpRequest request;
    boost::system::error_code error;
    co_await http::async_read(*aStream,
                              buffer,
                              request,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
    auto response = co_await this->handle(std::move(request));
    if (!response || startGeneration != this->generation) {
      break;
    }
    response->prepare_payload();
    co_await http::async_write(
      *aStream, *response, asio::redirect_error(asio::use_awaitable, error));
    if (error || !response->keep_alive()) {
      break;
    }
  }
  this->streams.erase(aStream);
  aStream->close();
}

} // namespace fireflytrail::soak
