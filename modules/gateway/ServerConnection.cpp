#include "gateway/ServerConnection.h"

#include "gateway/HttpFields.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cassert>
#include <string>
#include <utility>

namespace fireflytrail::gateway {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

ServerConnection::ServerConnection(boost::asio::io_context& aContext)
  : stream(aContext)
{
}

ServerConnection::~ServerConnection() = default;

void
ServerConnection::Send(const tcp::endpoint& aServer,
                       const CallRequest& aCall,
                       std::chrono::steady_clock::duration aTimeLeft,
                       ExchangeFunction aOnEnd)
{
  assert(!this->onEnd && aOnEnd);
  assert(aTimeLeft.count() > 0);
  ++this->generation;
  this->onClosed = nullptr;
  this->onEnd = std::move(aOnEnd);
  this->progress = ExchangeProgress::NotSent;
  this->sendStart = std::chrono::steady_clock::now();
  this->request = Request{};
  this->request.base() = http::request_header<>(aCall.fields);
  this->request.version(11);
  this->request.method(aCall.method);
  this->request.target(aCall.target);
  this->request.set(http::field::host, aServer.address().to_string());
  this->request.set(
    kDeadlineField,
    std::to_string(
      std::chrono::ceil<std::chrono::milliseconds>(aTimeLeft).count()));
  this->request.set(kAttemptField, std::to_string(aCall.attempt));
  this->request.set(kDepthField, std::to_string(aCall.depth + 1));
  this->request.body() = aCall.body;
  this->request.prepare_payload();
  this->stream.expires_after(aTimeLeft);
  this->isNewConnection = !this->isOpen;
  if (this->isOpen) {
    this->Write();
    return;
  }
  this->stream.async_connect(
    aServer, [self = this->shared_from_this()](beast::error_code aError) {
      if (!self->onEnd) {
        return;
      }
      if (aError) {
        self->FailOnError(aError);
        return;
      }
      beast::error_code ignored;
      self->stream.socket().set_option(tcp::no_delay(true), ignored);
      self->isOpen = true;
      self->Write();
    });
}

void
ServerConnection::Cancel(core::ErrorKind aKind)
{
  if (this->onEnd) {
    this->Fail(aKind);
    return;
  }
  this->isOpen = false;
  this->stream.close();
}

bool
ServerConnection::IsReusable() const
{
  return this->isOpen && !this->onEnd;
}

void
ServerConnection::WatchWhileIdle(ClosedFunction aOnClosed)
{
  assert(this->IsReusable() && aOnClosed);
  this->stream.expires_never();
  this->onClosed = std::move(aOnClosed);
  this->stream.socket().async_wait(
    tcp::socket::wait_read,
    [weak = this->weak_from_this(),
     watched = ++this->generation](beast::error_code aError) {
      const auto self = weak.lock();
      if (aError || !self || watched != self->generation) {
        return;
      }
      self->isOpen = false;
      self->stream.close();
      if (const auto closed = std::exchange(self->onClosed, nullptr)) {
        closed();
      }
    });
}

void
ServerConnection::Write()
{
  // From here on, bytes may have reached the server even if the write fails
  // later, unless the write reports that none was taken.
  this->progress = ExchangeProgress::Sent;
  http::async_write(this->stream,
                    this->request,
                    [self = this->shared_from_this()](beast::error_code aError,
                                                      std::size_t aCount) {
                      if (!self->onEnd) {
                        return;
                      }
                      if (aError) {
                        if (aCount == 0) {
                          self->progress = ExchangeProgress::NotSent;
                        }
                        self->FailOnError(aError);
                        return;
                      }
                      self->Read();
                    });
}

void
ServerConnection::Read()
{
  this->parser.emplace();
  this->parser->body_limit(kMaxAnswerBytes);
  this->parser->skip(this->request.method() == http::verb::head);
  http::async_read(this->stream,
                   this->buffer,
                   *this->parser,
                   [self = this->shared_from_this()](beast::error_code aError,
                                                     std::size_t aCount) {
                     if (!self->onEnd) {
                       return;
                     }
                     if (aCount > 0 || self->buffer.size() > 0) {
                       self->progress = ExchangeProgress::AnswerBegun;
                     }
                     if (aError) {
                       self->FailOnError(aError);
                       return;
                     }
                     self->OnAnswer();
                   });
}

void
ServerConnection::OnAnswer()
{
  const bool hasKnownEnd = !this->parser->need_eof();
  auto message = this->parser->release();
  // Without a length, a cut answer cannot be told from a whole one.
  if (!hasKnownEnd || http::to_status_class(message.result()) ==
                        http::status_class::informational) {
    this->Fail(core::ErrorKind::AnswerInvalid);
    return;
  }
  ServerExchange exchange;
  exchange.progress = ExchangeProgress::Answered;
  exchange.kind = core::ErrorKind::None;
  if (const auto load = message.find(kServerLoadField); load != message.end()) {
    exchange.serverLoad = std::string(load->value());
  }
  exchange.isRefusal = message.result() == http::status::service_unavailable &&
                       message[kOutcomeField] == "not-run";
  if (exchange.isRefusal) {
    exchange.kind = core::ErrorKind::ServerRefused;
  }
  // Bytes after the answer belong to no request; such a connection cannot be
  // trusted with another one.
  if (!message.keep_alive() || this->buffer.size() > 0) {
    this->isOpen = false;
    this->stream.close();
  }
  exchange.answer.status = message.result_int();
  RemoveHopByHopFields(message);
  message.erase(kServerLoadField);
  message.erase(kOutcomeField);
  exchange.answer.body = std::move(message.body());
  exchange.answer.fields = std::move(message.base());
  this->End(std::move(exchange));
}

void
ServerConnection::FailOnError(beast::error_code aError)
{
  if (aError == beast::error::timeout) {
    this->Fail(this->progress == ExchangeProgress::NotSent
                 ? core::ErrorKind::DeadlineBeforeSend
                 : core::ErrorKind::DeadlineAfterSend);
    return;
  }
  switch (this->progress) {
    case ExchangeProgress::NotSent:
      this->Fail(core::ErrorKind::ConnectFailed);
      return;
    case ExchangeProgress::Sent:
      this->Fail(core::ErrorKind::ConnectionLost);
      return;
    case ExchangeProgress::AnswerBegun:
    case ExchangeProgress::Answered:
      break;
  }
  const bool isCut =
    aError == http::error::partial_message ||
    aError == http::error::end_of_stream ||
    aError.category() != make_error_code(http::error::bad_method).category();
  this->Fail(isCut ? core::ErrorKind::AnswerTruncated
                   : core::ErrorKind::AnswerInvalid);
}

void
ServerConnection::Fail(core::ErrorKind aKind)
{
  ++this->generation;
  this->isOpen = false;
  this->stream.close();
  ServerExchange exchange;
  exchange.progress = this->progress;
  exchange.kind = aKind;
  this->End(std::move(exchange));
}

void
ServerConnection::End(ServerExchange aExchange)
{
  aExchange.duration = std::chrono::steady_clock::now() - this->sendStart;
  aExchange.isNewConnection = this->isNewConnection;
  const auto ended = std::exchange(this->onEnd, nullptr);
  ended(std::move(aExchange));
}

} // namespace fireflytrail::gateway
