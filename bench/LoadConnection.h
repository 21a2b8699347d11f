#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <cassert>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fireflytrail::bench {

/** Keep-alive connection that runs one HTTP request at a time. */
class LoadConnection : public std::enable_shared_from_this<LoadConnection>
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
    boost::beast::http::response<boost::beast::http::string_body>;
  /** Receives the response, or std::nullopt if the connection failed. */
  using DoneFunction = std::function<void(const std::optional<Response>&)>;

  LoadConnection(boost::asio::io_context& aContext,
                 boost::asio::ip::tcp::endpoint aTarget,
                 std::chrono::milliseconds aTimeout)
    : stream(aContext)
    , target(std::move(aTarget))
    , timeout(aTimeout)
  {
  }

  /** Sends a request and reads its response; connects first if necessary. No
   * other request may be in progress. */
  void Run(Request aRequest, DoneFunction aDone)
  {
    assert(!this->done);
    this->request = std::move(aRequest);
    this->request.prepare_payload();
    this->done = std::move(aDone);
    this->stream.expires_after(this->timeout);
    if (this->isOpen) {
      this->Write();
      return;
    }
    this->stream.async_connect(
      this->target,
      [self = this->shared_from_this()](boost::system::error_code aError) {
        if (aError) {
          self->Fail();
          return;
        }
        self->isOpen = true;
        ++self->connectionsOpened;
        boost::system::error_code ignored;
        self->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                         ignored);
        self->Write();
      });
  }

  /** Returns the number of connections opened so far, reconnects included. */
  unsigned ConnectionsOpened() const { return this->connectionsOpened; }

  /** Tickets obtained in advance on this connection. */
  std::vector<std::string> tickets;

private:
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Write()
  {
    boost::beast::http::async_write(
      this->stream,
      this->request,
      [self = this->shared_from_this()](boost::system::error_code aError,
                                        std::size_t) {
        if (aError) {
          self->Fail();
          return;
        }
        self->Read();
      });
  }

  void Read()
  {
    this->parser.emplace();
    boost::beast::http::async_read(
      this->stream,
      this->buffer,
      *this->parser,
      [self = this->shared_from_this()](boost::system::error_code aError,
                                        std::size_t) {
        if (aError) {
          self->Fail();
          return;
        }
        const std::optional<Response> response = self->parser->release();
        if (!response->keep_alive()) {
          self->Close();
        }
        std::exchange(self->done, nullptr)(response);
      });
  }

  void Fail()
  {
    this->Close();
    std::exchange(this->done, nullptr)(std::nullopt);
  }

  void Close()
  {
    boost::system::error_code ignored;
    this->stream.socket().close(ignored);
    this->buffer.clear();
    this->isOpen = false;
  }

  boost::beast::tcp_stream stream;
  boost::asio::ip::tcp::endpoint target;
  std::chrono::milliseconds timeout;
  boost::beast::flat_buffer buffer;
  Request request;
  std::optional<Parser> parser;
  DoneFunction done;
  bool isOpen = false;
  unsigned connectionsOpened = 0;
};

} // namespace fireflytrail::bench
