#pragma once

#include "standins/HttpExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

namespace fireflytrail::standins {

class HttpSession;

/**
 * HTTP server on one port that can be closed and reopened. Must be used on the
 * thread of its `io_context`.
 */
class HttpServer
{
public:
  /** Called for each new connection; returns false to close it immediately. */
  using AcceptFilter = std::function<bool()>;

  /**
   * Binds and opens the port; port 0 selects a free one. Throws
   * `boost::system::system_error` if the endpoint is not available.
   */
  HttpServer(boost::asio::io_context& aContext,
             boost::asio::ip::tcp::endpoint aEndpoint,
             HttpHandler aHandler,
             AcceptFilter aAcceptFilter = nullptr);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Returns the bound endpoint. */
  const boost::asio::ip::tcp::endpoint& Endpoint() const;

  /** Returns the endpoint as `address:port`. */
  std::string Address() const;

  /** Returns the number of open connections. */
  std::size_t ConnectionCount() const;

  /**
   * Closes all connections and refuses new ones. The port stays bound, so
   * that no other process can take it.
   */
  void Close();

  /** Accepts connections again. Does nothing if the port is open. */
  void Open();

private:
  struct SessionRegistry;

  void Bind();
  void AcceptNext();

  boost::asio::io_context& context;
  boost::asio::ip::tcp::endpoint endpoint;
  boost::asio::ip::tcp::acceptor acceptor;
  HttpHandler handler;
  AcceptFilter acceptFilter;
  bool open = false;
  // Shared with pending callbacks, which can run after the server is destroyed.
  std::shared_ptr<SessionRegistry> sessionRegistry;
};

} // namespace fireflytrail::standins
