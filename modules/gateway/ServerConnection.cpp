#include "gateway/ServerConnection.h"

#include "core/MemoryLease.h"
#include "gateway/HttpFields.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

namespace fireflytrail::gateway {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using calls::AttemptProgress;
using namespace std::chrono_literals;

namespace {

// A connect within a region that takes longer has lost a packet. Giving up
// leaves time to try another server.
constexpr auto kConnectTimeout = 250ms;

// Idle time after which a connection is not reused if the server states no idle
// timeout. Most servers keep idle connections open for at least five seconds.
constexpr auto kDefaultIdleLimit = 4000ms;

// Margin for the transit time of a request, subtracted from the idle timeout
// that the server states in whole seconds.
constexpr auto kIdleMargin = 1000ms;

// Answers to other requests that are read before the answer to this one. A
// server that sends more of them is faulty.
constexpr unsigned kMaxMismatchedAnswers = 16;

// Received bytes that are held until the parser takes them. It takes a body as
// it arrives, but the line of a chunk's size with its extensions, and the
// trailers, only as a whole.
constexpr std::size_t kMaxBufferedBytes = std::size_t{ 64 } * 1024;

// Interval at which an answer that does not fit in the memory that is left is
// tried again. Its server is slowed meanwhile, since nothing is read.
constexpr auto kMemoryCheckInterval = 5ms;

// Answers up to this size may use the reserve of the memory, so that they do
// not wait for the callers of large ones.
constexpr std::size_t kSmallAnswerBytes = std::size_t{ 16 } * 1024;

// Buffer that an idle connection keeps, enough for most answers.
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{ 8 } * 1024;

// Bytes that the kernel keeps of an answer that is not read, because there is
// no memory for it. By default, it keeps megabytes.
constexpr int kReceiveBufferBytes = 64 * 1024;

/** Whether a connect failed because this host lacks descriptors, ports or
 * memory. */
bool
IsLocalFailure(const boost::system::error_code& aError)
{
  return aError == boost::system::errc::too_many_files_open ||
         aError == boost::system::errc::too_many_files_open_in_system ||
         aError == boost::system::errc::address_not_available ||
         aError == boost::system::errc::no_buffer_space ||
         aError == boost::system::errc::not_enough_memory;
}

/** An answer and the memory that it takes. */
struct LeasedAnswer
{
  calls::Answer answer;
  std::shared_ptr<core::MemoryLease> lease;
};

std::shared_ptr<const calls::Answer>
AnswerOf(http::response<http::string_body>& aMessage,
         std::shared_ptr<core::MemoryLease> aLease)
{
  RemoveHopByHopFields(aMessage);
  const auto leased = std::make_shared<LeasedAnswer>();
  leased->lease = std::move(aLease);
  calls::Answer& answer = leased->answer;
  answer.status = aMessage.result_int();
  for (const auto& field : aMessage) {
    answer.headers.emplace_back(field.name_string(), field.value());
  }
  answer.body = std::move(aMessage.body());
  return { leased, &answer };
}

} // namespace

ServerConnection::ServerConnection(
  boost::asio::io_context& aContext,
  std::shared_ptr<const ServerDialect> aDialect,
  std::shared_ptr<core::MemoryBudget> aMemory)
  : stream(aContext)
  , dialect(std::move(aDialect))
  , memory(std::move(aMemory))
  , memoryTimer(aContext)
  , buffer(kMaxBufferedBytes)
  , idleLimit(kDefaultIdleLimit)
{
  assert(this->dialect);
}

ServerConnection::~ServerConnection() = default;

void
ServerConnection::Send(const tcp::endpoint& aServer,
                       std::shared_ptr<const CallRequest> aCall,
                       ServerRequestInfo aInfo,
                       ExchangeFunction aOnEnd)
{
  assert(!this->onEnd && aOnEnd && aCall);
  assert(aInfo.timeLeft.count() > 0);
  ++this->generation;
  this->onClosed = nullptr;
  this->onEnd = std::move(aOnEnd);
  this->progress = AttemptProgress::NothingSent;
  this->sendStart = std::chrono::steady_clock::now();
  this->request = Request{};
  this->call = std::move(aCall);
  this->request.base() = http::request_header<>(this->call->fields);
  this->request.version(11);
  this->request.method(this->call->method);
  this->request.target(this->call->target);
  aInfo.address = aServer.address().to_string();
  this->dialect->writeRequest(this->request.base(), *this->call, aInfo);
  this->request.body() = { this->call->body.data(), this->call->body.size() };
  this->request.prepare_payload();
  this->isNewConnection = !this->isOpen;
  if (this->isOpen) {
    this->Write();
    return;
  }
  this->Open(
    aServer,
    [self = this->shared_from_this()](boost::system::error_code aError) {
      if (!self->onEnd) {
        return;
      }
      if (aError) {
        self->isConnectRefused =
          aError == boost::asio::error::connection_refused;
        self->isLocalFailure = IsLocalFailure(aError);
        self->FailOnError(aError);
        return;
      }
      self->Write();
    });
}

void
ServerConnection::Open(const tcp::endpoint& aServer,
                       std::function<void(boost::system::error_code)> aOnOpened)
{
  assert(!this->isOpen);
  // If it can't be opened, the connect fails in the same way.
  beast::error_code ignored;
  this->stream.socket().open(aServer.protocol(), ignored);
  this->stream.socket().set_option(
    tcp::socket::receive_buffer_size(kReceiveBufferBytes), ignored);
  this->stream.expires_after(kConnectTimeout);
  this->stream.async_connect(
    aServer,
    [self = this->shared_from_this(),
     onOpened = std::move(aOnOpened)](beast::error_code aError) {
      self->stream.expires_never();
      if (!aError) {
        beast::error_code ignoredError;
        self->stream.socket().set_option(tcp::no_delay(true), ignoredError);
        self->isOpen = true;
      }
      onOpened(aError);
    });
}

void
ServerConnection::Cancel()
{
  this->onEnd = nullptr;
  this->CloseSocket();
}

bool
ServerConnection::HasUnsolicitedBytes()
{
  boost::system::error_code error;
  return this->stream.socket().available(error) > 0 || error;
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
     watchGeneration = ++this->generation](beast::error_code aError) {
      const auto self = weak.lock();
      if (aError || !self || watchGeneration != self->generation) {
        return;
      }
      self->CloseSocket();
      if (const auto closedFunction = std::exchange(self->onClosed, nullptr)) {
        closedFunction();
      }
    });
}

void
ServerConnection::Write()
{
  // From here on, bytes may have reached the server even if the write fails
  // later, unless the write reports that no byte was written.
  this->progress = AttemptProgress::SentNoAnswer;
  http::async_write(this->stream,
                    this->request,
                    [self = this->shared_from_this(), held = this->call](
                      beast::error_code aError, std::size_t aCount) {
                      if (!self->onEnd) {
                        return;
                      }
                      if (aError) {
                        if (aCount == 0) {
                          self->progress = AttemptProgress::NothingSent;
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
  // Servers echo the id of the request.
  const std::size_t headLimit = kMaxBufferedBytes + this->call->id.size();
  this->parser->header_limit(static_cast<std::uint32_t>(headLimit));
  this->parser->LimitFields(headLimit);
  this->buffer.max_size(std::max(this->buffer.size(), headLimit));
  this->parser->body_limit(kMaxAnswerBytes);
  this->parser->skip(this->request.method() == http::verb::head);
  this->answerLease = std::make_shared<core::MemoryLease>(this->memory);
  this->ReadPart();
}

void
ServerConnection::ReadPart()
{
  // An eager read of chunks ends only within a chunk or with the body, and the
  // memory would not be checked before. Whether there are chunks is known when
  // the head is complete.
  this->parser->eager(this->parser->is_header_done() &&
                      !this->parser->chunked());
  http::async_read_some(this->stream,
                        this->buffer,
                        *this->parser,
                        [self = this->shared_from_this()](
                          beast::error_code aError, std::size_t aCount) {
                          if (!self->onEnd) {
                            return;
                          }
                          if (aCount > 0 || self->buffer.size() > 0) {
                            self->progress = AttemptProgress::AnswerTruncated;
                          }
                          if (aError) {
                            self->FailOnError(aError);
                            return;
                          }
                          self->ContinueReading();
                        });
}

void
ServerConnection::ContinueReading()
{
  // A stated length is taken at once, so that answers that are read in parts do
  // not keep each other from ever being complete.
  const std::size_t size = this->parser->get().body().size();
  const std::size_t statedSize =
    static_cast<std::size_t>(std::min<std::uint64_t>(
      this->parser->content_length().value_or(0), kMaxAnswerBytes));
  const std::size_t needed = std::max(size, statedSize);
  if (!this->answerLease->TryResize(needed,
                                    needed <= kSmallAnswerBytes
                                      ? core::MemoryUse::Buffer
                                      : core::MemoryUse::Body)) {
    this->memoryTimer.expires_after(kMemoryCheckInterval);
    this->memoryTimer.async_wait(
      [self = this->shared_from_this(),
       waitGeneration = this->generation](beast::error_code aError) {
        if (!aError && self->onEnd && waitGeneration == self->generation) {
          self->ContinueReading();
        }
      });
    return;
  }
  if (this->parser->is_done()) {
    this->OnAnswer();
    return;
  }
  this->ReadPart();
}

void
ServerConnection::OnAnswer()
{
  const bool hasKnownEnd = !this->parser->need_eof();
  auto message = this->parser->release();
  // An answer without a length ends when the server closes the connection. The
  // read has checked that the close was orderly.
  const bool isFramed = hasKnownEnd || this->dialect->allowsUnframedAnswers;
  // A length in an answer without content states a body that isn't read. Where
  // content is only not sent again, it states the length of the other answer.
  const bool statesBody = message.result() == http::status::no_content &&
                          (message.count(http::field::transfer_encoding) > 0 ||
                           (message.count(http::field::content_length) > 0 &&
                            message[http::field::content_length] != "0"));
  if (!isFramed || !HasKnownTransferCoding(message) ||
      !IsFinalStatus(message.result_int()) || statesBody) {
    this->Fail(AttemptProgress::AnswerInvalid);
    return;
  }
  const ServerReplyInfo info =
    this->dialect->readAnswer(message.base(), *this->call);
  // On a connection that has carried other requests, a refusal without the id
  // of its request may belong to an earlier one. This request may be running.
  const bool isUnprovenRefusal = (info.reply == ServerReply::Refusal ||
                                  info.reply == ServerReply::WrongServer) &&
                                 !info.namesRequest && !this->isNewConnection;
  const bool isMismatched =
    info.reply == ServerReply::MismatchedAnswer || isUnprovenRefusal;
  if (isMismatched && hasKnownEnd &&
      ++this->mismatchedAnswers <= kMaxMismatchedAnswers) {
    // A late second answer to an earlier request. The answer to this request is
    // still to come.
    this->Read();
    return;
  }
  if (info.reply == ServerReply::Invalid || isMismatched) {
    this->Fail(AttemptProgress::AnswerInvalid);
    return;
  }
  ServerExchange exchange;
  exchange.serverLoad = info.loadText;
  exchange.loadSample = info.load;
  exchange.remainingColdTime = info.remainingColdTime;
  exchange.isWrongServer = info.reply == ServerReply::WrongServer;
  if (!exchange.isWrongServer) {
    exchange.notice = info.notice;
  }
  exchange.progress = info.reply == ServerReply::Answer
                        ? AttemptProgress::Answered
                        : AttemptProgress::Refused;
  this->UpdateIdleLimit(info);
  // Bytes after the answer belong to no request, so the connection is not
  // reused for another one.
  if (!message.keep_alive() || !hasKnownEnd || this->buffer.size() > 0 ||
      this->mismatchedAnswers > 0 || exchange.isWrongServer) {
    this->CloseSocket();
  }
  if (exchange.progress == AttemptProgress::Answered) {
    exchange.answer =
      AnswerOf(message, std::exchange(this->answerLease, nullptr));
  }
  this->End(std::move(exchange));
}

void
ServerConnection::UpdateIdleLimit(const ServerReplyInfo& aInfo)
{
  if (aInfo.idleTimeout) {
    this->idleLimit =
      std::max(std::chrono::milliseconds(0),
               std::chrono::milliseconds(*aInfo.idleTimeout) - kIdleMargin);
  }
}

void
ServerConnection::FailOnError(beast::error_code aError)
{
  const bool isMalformed =
    this->progress == AttemptProgress::AnswerTruncated &&
    aError.category() == make_error_code(http::error::bad_method).category() &&
    aError != http::error::partial_message &&
    aError != http::error::end_of_stream;
  this->Fail(isMalformed ? AttemptProgress::AnswerInvalid : this->progress);
}

void
ServerConnection::Fail(AttemptProgress aProgress)
{
  this->CloseSocket();
  ServerExchange exchange;
  exchange.progress = aProgress;
  exchange.isConnectRefused = std::exchange(this->isConnectRefused, false);
  exchange.isLocalFailure = std::exchange(this->isLocalFailure, false);
  this->End(std::move(exchange));
}

void
ServerConnection::CloseSocket()
{
  ++this->generation;
  this->isOpen = false;
  this->stream.close();
}

void
ServerConnection::End(ServerExchange aExchange)
{
  this->idleSince = std::chrono::steady_clock::now();
  aExchange.duration = this->idleSince - this->sendStart;
  aExchange.isNewConnection = this->isNewConnection;
  // An idle connection holds no body.
  this->request = Request{};
  this->call = nullptr;
  this->parser.reset();
  this->answerLease = nullptr;
  if (this->buffer.size() == 0 &&
      this->buffer.capacity() > kMaxIdleBufferBytes) {
    this->buffer.shrink_to_fit();
  }
  const auto endFunction = std::exchange(this->onEnd, nullptr);
  endFunction(std::move(aExchange));
}

} // namespace fireflytrail::gateway
