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
 * An HTTP/1.1 server on a loopback address that can reset its connections. Use
 * it only on the context's thread.
 */
class HttpService : public std::enable_shared_from_this<HttpService>
{
public:
  /** Returns the response; `nullopt` closes the connection without one. */
  using HandleFunction =
    std::function<boost::asio::awaitable<std::optional<HttpResponse>>(
      HttpRequest)>;

  HttpService(boost::asio::io_context& aContext, HandleFunction aHandle);
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;

  /** Listens at an endpoint; port 0 selects a free port. Throws if the endpoint
   * is in use. */
  void Open(const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** Returns the endpoint to which `Open` has bound. */
  boost::asio::ip::tcp::endpoint Endpoint() const { return this->endpoint; }

  /** Stops listening and resets all connections. */
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
  /** Incremented by each `Close`, so that a request received before it gets no
   * response. */
  unsigned generation = 0;
};

} // namespace fireflytrail::soak
