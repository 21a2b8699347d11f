#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace fireflytrail::soak {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
  boost::beast::http::response<boost::beast::http::string_body>;

/**
 * An HTTP/1.1 server on a loopback address whose connections can be cut off.
 * Belongs to the context's thread.
 */
class HttpService : public std::enable_shared_from_this<HttpService>
{
public:
  /** Returns the answer; nothing closes the connection without one. */
  using HandleFunction =
    std::function<boost::asio::awaitable<std::optional<HttpResponse>>(
      HttpRequest)>;

  HttpService(boost::asio::io_context& aContext, HandleFunction aHandle);
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;

  /** Listens at an endpoint; port 0 takes any. Throws if it is not free. */
  void Open(const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** Returns the endpoint that `Open` has bound. */
  boost::asio::ip::tcp::endpoint Endpoint() const { return this->endpoint; }

  /** Stops listening and cuts off all connections. */
  void Close();

private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(
    std::shared_ptr<boost::beast::tcp_stream> aStream);

  boost::asio::io_context& context;
  HandleFunction handle;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint endpoint;
  std::set<std::shared_ptr<boost::beast::tcp_stream>> streams;
  /** Grows with each `Close`, so that work of before sends no answer. */
  unsigned generation = 0;
};

} // namespace fireflytrail::soak
