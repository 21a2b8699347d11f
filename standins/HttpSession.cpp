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

// Above the store's largest value of 1 MB, so that the handler can refuse it.
constexpr std::uint64_t kBodyLimit = 4U << 20U;

} // namespace

HttpSession::HttpSession(boost::asio::ip::tcp::socket aSocket,
                         HttpHandler aHandler,
                         std::function<void(HttpSession*)> aEnded)
  : socket(std::move(aSocket))
  , handler(std::move(aHandler))
  , ended(std::move(aEnded))
{
  assert(this->handler && this->ended);
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
  if (std::exchange(this->unanswered, false) && this->closedCallback) {
    std::exchange(this->closedCallback, nullptr)();
  }
  this->closedCallback = nullptr;
  this->ended(this);
}

const HttpRequest&
HttpSession::Request() const
{
  return this->request;
}

void
HttpSession::Respond(HttpResponse aResponse)
{
  if (this->closed || !this->unanswered) {
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
  if (this->closed || !this->unanswered) {
    return;
  }
  this->FinishRequest();
  aResponse.prepare_payload();
  std::ostringstream text;
  text << aResponse.base();
  this->rawAnswer =
    text.str() + aResponse.body().substr(0, aResponse.body().size() / 2);
  boost::asio::async_write(
    this->socket,
    boost::asio::buffer(this->rawAnswer),
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
  this->parser->body_limit(kBodyLimit);
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
                     self->unanswered = true;
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
      // A wait of an earlier request must not close the current one.
      if (aError || self->closed || !self->unanswered ||
          number != self->requestNumber) {
        return;
      }
      // Readable without data is the end of the stream; data is a pipelined
      // request, which is read after the answer.
      boost::system::error_code error;
      if (self->socket.available(error) == 0) {
        self->Close();
      }
    });
}

void
HttpSession::FinishRequest()
{
  this->unanswered = false;
  this->closedCallback = nullptr;
  boost::system::error_code ignored;
  this->socket.cancel(ignored);
}

} // namespace fireflytrail::standins
