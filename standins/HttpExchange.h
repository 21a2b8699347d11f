#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>

namespace fireflytrail::standins {

using HttpRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
  boost::beast::http::response<boost::beast::http::string_body>;

/**
 * One request and the functions to answer it. All methods must be called on the
 * thread of the server's `io_context`.
 */
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  /** Returns the request. Valid until the answer is sent. */
  virtual const HttpRequest& Request() const = 0;

  /** Sends the answer. Does nothing if the connection is closed. */
  virtual void Respond(HttpResponse aResponse) = 0;

  /** Sends the head and half of the body, then closes the connection. */
  virtual void RespondTruncated(HttpResponse aResponse) = 0;

  /** Closes the connection without an answer. */
  virtual void Abort() = 0;

  /** Sets the callback for a connection that closes before the answer. */
  virtual void OnClosed(std::function<void()> aCallback) = 0;
};

/** Handles a request; answers through the exchange, immediately or later. */
using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/** Returns a response with a JSON body. */
inline HttpResponse
JsonResponse(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = std::move(aBody);
  return response;
}

} // namespace fireflytrail::standins
