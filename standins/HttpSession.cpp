#include "standins/HttpSession.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cassert>
#include <sstream>
#include <utility>

namespace fireflytrail::standins {

namespace http = boost::beast::http;

namespace {

// Above the store's value limit of 1 MB, so that larger values reach the
// handler, which rejects them.
constexpr std::uint64_t kMaxBodyBytes = 4U << 20U;

} // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket aSocket,
                         HttpHandler aHandler,
                         std::function<void(HttpSession*)> aOnEnded)
  : socket(std::move(aSocket))
  , handler(std::move(aHandler))
  , onEnded(std::move(aOnEnded))
{
  assert(this->handler && this->onEnded);
}

void
HttpSession::Start()
{
  boost::system::error_code ignored;
  this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  this->ReadNext();
}

void
HttpSession::Close()
{
  if (this->closed) {
    return;
  }
  this->closed = true;
  const auto self = this->shared_from_this();
  boost::system::error_code ignored;
  this->socket.close(ignored);
  if (std::exchange(this->responsePending, false) && this->closedCallback) {
    std::exchange(this->closedCallback, nullptr)();
  }
  this->closedCallback = nullptr;
  this->onEnded(this);
}

const HttpRequest&
HttpSession::Request() const
{
  return this->request;
}

void
HttpSession::Respond(HttpResponse aResponse)
{
  if (this->closed || !this->responsePending) {
    return;
  }
  this->FinishRequest();
  this->response = std::move(aResponse);
  this->response.version(this->request.version());
  this->response.keep_alive(this->request.keep_alive() &&
                            this->response.keep_alive());
  this->response.prepare_payload();
  http::async_write(this->socket,
                    this->response,
                    [self = this->shared_from_this()](
                      boost::system::error_code aError, std::size_t) {
                      if (aError || !self->response.keep_alive()) {
                        self->Close();
                        return;
                      }
                      self->ReadNext();
                    });
}

void
HttpSession::RespondTruncated(HttpResponse aResponse)
{
  if (this->closed || !this->responsePending) {
    return;
  }
  this->FinishRequest();
  aResponse.prepare_payload();
  std::ostringstream text;
  text << aResponse.base();
  this->truncatedResponse =
    text.str() + aResponse.body().substr(0, aResponse.body().size() / 2);
  boost::asio::async_write(
    this->socket,
    boost::asio::buffer(this->truncatedResponse),
    [self = this->shared_from_this()](boost::system::error_code, std::size_t) {
      self->Close();
    });
}

void
HttpSession::Abort()
{
  this->Close();
}

void
HttpSession::OnClosed(std::function<void()> aCallback)
{
  this->closedCallback = std::move(aCallback);
}

void
HttpSession::ReadNext()
{
  if (this->closed) {
    return;
  }
  this->parser.emplace();
  this->parser->body_limit(kMaxBodyBytes);
  http::async_read(this->socket,
                   this->buffer,
                   *this->parser,
                   [self = this->shared_from_this()](
                     boost::system::error_code aError, std::size_t) {
                     if (aError || self->closed) {
                       self->Close();
                       return;
                     }
                     self->request = self->parser->release();
                     self->responsePending = true;
                     ++self->requestNumber;
                     self->WatchForClose();
                     self->handler(self);
                   });
}

void
HttpSession::WatchForClose()
{
  this->socket.async_wait(
    boost::asio::ip::tcp::socket::wait_read,
    [self = this->shared_from_this(),
     number = this->requestNumber](boost::system::error_code aError) {
      // A wait for an earlier request must not close the connection during the
      // current one.
      if (aError || self->closed || !self->responsePending ||
          number != self->requestNumber) {
        return;
      }
      // A readable socket without data means that the peer closed the stream.
      // Data belongs to a pipelined request, which is read after the answer.
      boost::system::error_code error;
      if (self->socket.available(error) == 0) {
        self->Close();
      }
    });
}

void
HttpSession::FinishRequest()
{
  this->responsePending = false;
  this->closedCallback = nullptr;
  boost::system::error_code ignored;
  this->socket.cancel(ignored);
}

} // namespace fireflytrail::standins
