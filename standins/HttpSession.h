#pragma once

#include "standins/HttpExchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace fireflytrail::standins {

/**
 * One keep-alive connection of an `HttpServer`. It handles one request at a
 * time. Its pending operations hold shared ownership while it is open.
 */
class HttpSession
  : public HttpExchange
  , public std::enable_shared_from_this<HttpSession>
{
public:
  /** `aOnEnded` is called once, when the connection has closed. */
  HttpSession(boost::asio::ip::tcp::socket aSocket,
              HttpHandler aHandler,
              std::function<void(HttpSession*)> aOnEnded);

  /** Starts reading requests. Must be called once, on an instance owned by a
   * `shared_ptr`. */
  void Start();

  /** Closes the connection. Calls the `OnClosed` callback of an unanswered
   * request. */
  void Close();

  const HttpRequest& Request() const override;
  void Respond(HttpResponse aResponse) override;
  void RespondTruncated(HttpResponse aResponse) override;
  void Abort() override;
  void OnClosed(std::function<void()> aCallback) override;

private:
  using Parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  void ReadNext();
  void WatchForClose();
  void FinishRequest();

  boost::asio::ip::tcp::socket socket;
  HttpHandler handler;
  std::function<void(HttpSession*)> onEnded;
  std::function<void()> closedCallback;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  HttpRequest request;
  HttpResponse response;
  std::string truncatedResponse;
  std::uint64_t requestNumber = 0;
  bool responsePending = false;
  bool closed = false;
};

} // namespace fireflytrail::standins
