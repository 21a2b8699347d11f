#include "operator_client/HttpGet.h"

#include "configuration/Endpoint.h"
#include "core/MessageParser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

namespace fireflytrail::operator_client {

namespace http = boost::beast::http;

namespace {

// A state dump lists every server and record, so it may exceed the default body
// limit of the parser.
constexpr std::uint64_t kBodyLimitBytes = 64U << 20U;

} // namespace

core::Result<std::string>
HttpGet(const std::string& aAddress,
        const std::string& aTarget,
        std::chrono::milliseconds aTimeout)
{
  const auto fail = [&](std::string_view aReason) {
    return core::Error{ core::ErrorKind::ConnectFailed,
                        fmt::format("{}{}: {}", aAddress, aTarget, aReason) };
  };
  const auto endpoint = configuration::Endpoint::Parse(aAddress);
  if (!endpoint) {
    return fail("not of the form IP:PORT");
  }
  boost::asio::io_context context(1);
  boost::beast::tcp_stream stream(context);
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request(http::verb::get, aTarget, 11);
  request.set(http::field::host, aAddress);
  request.keep_alive(false);
  core::MessageParser<false> parser;
  parser.body_limit(kBodyLimitBytes);
  boost::system::error_code error;
  stream.expires_after(aTimeout);
  stream.async_connect(
    { boost::asio::ip::make_address(endpoint->address), endpoint->port },
    [&](boost::system::error_code aConnected) {
      error = aConnected;
      if (error) {
        return;
      }
      http::async_write(
        stream, request, [&](boost::system::error_code aWritten, std::size_t) {
          error = aWritten;
          if (error) {
            return;
          }
          http::async_read(stream,
                           buffer,
                           parser,
                           [&](boost::system::error_code aRead, std::size_t) {
                             error = aRead;
                           });
        });
    });
  context.run();
  if (error) {
    return fail(error.message());
  }
  if (parser.get().result() != http::status::ok) {
    return fail(fmt::format("HTTP status {}", parser.get().result_int()));
  }
  return std::move(parser.get().body());
}

} // namespace fireflytrail::operator_client
