#pragma once

#include "core/MessageParser.h"
#include "store/StoreRequest.h"
#include "store/StoreResponse.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace fireflytrail::store {

/**
 * One HTTP connection to the platform. It runs one request at a time and keeps
 * itself alive through shared ownership while a request runs. Not thread-safe.
 */
class StoreConnection : public std::enable_shared_from_this<StoreConnection>
{
public:
  using ResponseFunction = std::function<void(StoreResponse)>;

  /** `aEraField` names the header field with the era of the store (see
   * `StoreResponse::era`); empty if there is none. */
  StoreConnection(boost::asio::io_context& aContext,
                  boost::asio::ip::tcp::endpoint aEndpoint,
                  std::string aEraField = {});

  /**
   * Connects if necessary, sends the request and calls `aDone` once. No other
   * request may be running.
   */
  void Run(const StoreRequest& aRequest, ResponseFunction aDone);

  /** Whether the connection is open and can be used for another request. */
  bool IsReusable() const;

  /** Ends a running request as lost, or as not sent if no byte was sent, and
   * closes the connection. */
  void Close();

private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Parser = core::MessageParser<false>;

  void Connect();
  void Write();
  void Read();
  void Fail(StoreDelivery aDelivery, std::string aDetail);
  void Finish(StoreResponse aResponse);

  boost::asio::ip::tcp::endpoint endpoint;
  std::string eraField;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  Request request;
  std::optional<Parser> parser;
  ResponseFunction done;
  std::function<bool()> maySend;
  bool isResetOnEnd = false;
  /** What is reported if the running request fails now. */
  StoreDelivery deliveryOnFailure = StoreDelivery::NotSent;
  bool isReusable = false;
};

} // namespace fireflytrail::store
