#include "gateway/CallerSession.h"

#include "core/MemoryLease.h"
#include "gateway/HttpFields.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace fireflytrail::gateway {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto kWriteTimeout = 30s;
constexpr auto kDrainTimeout = 2s;
// Maximum time for a body that makes progress, unless the limit for one part is
// longer.
constexpr auto kMaxBodyTime = 60s;
// Interval at which a read that has timed out is cancelled until it ends: a
// read in several steps can't be cancelled between two of them.
constexpr auto kCancelInterval = 50ms;
// Time from the establishment of a connection until its first request, which
// callers send at once, and for the transfer of any request.
constexpr auto kFirstRequestTime = 1s;
constexpr auto kTransferMargin = 500ms;
// Time after which a caller whose body did not fit may retry: bodies are held
// for as long as requests take.
constexpr auto kRetryWithoutMemory = 500ms;
// Bytes that a caller whose request was refused may still send while the answer
// is in transit.
constexpr std::size_t kMaxDrainedBytes = 1024 * 1024;
constexpr std::size_t kReadChunkBytes = 16 * 1024;
// Buffer of an idle connection, which the memory budget does not count: enough
// for the head of most requests.
constexpr std::size_t kIdleBufferBytes = std::size_t{ 4 } * 1024;
// A head exists as fields of the request, of the attempt and of the record of
// its call.
constexpr std::size_t kHeadCopies = 3;
// Memory of a field beside its text.
constexpr std::size_t kFieldBytes = 64;
// Received bytes that are held, beyond the longest header, until the parser
// takes them. It takes a body as it arrives, but the line of a chunk's size
// with its extensions, and the trailers, only as a whole.
constexpr std::size_t kMaxBufferedBytes = std::size_t{ 64 } * 1024;

} // namespace

CallerSession::CallerSession(tcp::socket aSocket,
                             std::shared_ptr<const CallerSessionHooks> aHooks)
  : stream(std::move(aSocket))
  , hooks(std::move(aHooks))
  , bufferLease(this->hooks->memory, core::MemoryUse::Buffer)
  , headLease(this->hooks->memory, core::MemoryUse::Buffer)
  , requestBegin(std::chrono::steady_clock::now())
  , requestExpectedUntil(this->requestBegin + kFirstRequestTime)
  , readTimer(this->stream.get_executor())
  , closeWatch(this->stream.socket())
{
  assert(this->hooks && this->hooks->handleCall && this->hooks->isStopping);
  this->hooks->sessionCountChanged(1);
}

CallerSession::~CallerSession()
{
  this->hooks->sessionCountChanged(-1);
}

void
CallerSession::Start()
{
  this->ReadHeader();
}

void
CallerSession::StartRefusing()
{
  this->isRefusing = true;
  this->ReadHeader();
}

void
CallerSession::CloseIfIdle(std::chrono::steady_clock::time_point aNow)
{
  // Only the wait is cancelled. A request that has just been read is served,
  // and its answer closes the connection.
  if (this->isIdle && aNow >= this->requestExpectedUntil) {
    this->stream.cancel();
  }
}

HeldConnection
CallerSession::Held() const
{
  const bool isReading =
    this->stage == Stage::Head || this->stage == Stage::Body;
  return { .bytes = isReading
                      ? this->bufferLease.Size() + this->headLease.Size() +
                          (this->bodyLease ? this->bodyLease->Size() : 0)
                      : 0,
           .hasServed = this->hasServed,
           .lastBegin = this->requestBegin,
           .lastPart = this->lastPart };
}

bool
CallerSession::RefuseStalled()
{
  const bool isReading =
    this->stage == Stage::Head || this->stage == Stage::Body;
  beast::error_code error;
  if (!isReading || this->stream.socket().available(error) > 0) {
    return false;
  }
  this->LimitReading(std::chrono::steady_clock::now());
  this->isStalled = true;
  return true;
}

void
CallerSession::Drop()
{
  this->ReportCut(Closer::Daemon);
  this->Close();
}

void
CallerSession::SetSocketBuffers(std::size_t aBytes)
{
  const int bytes = static_cast<int>(aBytes);
  beast::error_code ignored;
  this->stream.socket().set_option(tcp::socket::receive_buffer_size(bytes),
                                   ignored);
  this->stream.socket().set_option(tcp::socket::send_buffer_size(bytes),
                                   ignored);
}

void
CallerSession::ReadHeader()
{
  this->parser.emplace();
  this->parser->header_limit(
    static_cast<std::uint32_t>(this->hooks->limits.maxHeaderBytes));
  this->parser->LimitFields(this->hooks->limits.maxHeaderBytes);
  this->parser->body_limit(this->hooks->limits.maxBodyBytes);
  this->headLease.TryResize(0);
  if (this->buffer.size() <= kIdleBufferBytes &&
      this->buffer.capacity() > kIdleBufferBytes) {
    this->buffer.shrink_to_fit();
  }
  const std::size_t held = std::max(this->buffer.size(), kIdleBufferBytes);
  this->buffer.max_size(held);
  this->bufferLease.TryResize(held - kIdleBufferBytes);
  this->isIdle = this->buffer.size() == 0;
  if (!this->isIdle) {
    this->ReadRestOfHeader();
    return;
  }
  // The idle timeout applies until the first byte arrives; the request timeout
  // starts at that byte.
  this->stream.expires_after(this->isRefusing
                               ? std::chrono::milliseconds(kFirstRequestTime)
                               : this->hooks->limits.idleTimeout);
  this->stream.async_read_some(this->buffer.prepare(kIdleBufferBytes),
                               [self = this->shared_from_this()](
                                 beast::error_code aError, std::size_t aCount) {
                                 if (aError) {
                                   self->OnIdleWaitEnded();
                                   return;
                                 }
                                 self->buffer.commit(aCount);
                                 self->isIdle = false;
                                 self->ReadRestOfHeader();
                               });
}

void
CallerSession::ReadRestOfHeader()
{
  this->stage = Stage::Head;
  this->requestBegin = std::chrono::steady_clock::now();
  this->lastPart = this->requestBegin;
  this->requestId.clear();
  this->httpVersion = 11;
  this->isHeadRequest = false;
  this->bodyDeadline.reset();
  this->stream.expires_never();
  this->LimitReading(this->requestBegin +
                     (this->isRefusing
                        ? std::chrono::milliseconds(kFirstRequestTime)
                        : this->hooks->limits.requestTimeout));
  this->ReadHeaderPart();
}

void
CallerSession::ReadHeaderPart()
{
  http::async_read_header(
    this->stream,
    this->buffer,
    *this->parser,
    [self = this->shared_from_this()](beast::error_code aError, std::size_t) {
      if (!self->GrowFullBuffer(aError, [self] { self->ReadHeaderPart(); })) {
        self->OnHeader(aError);
      }
    });
}

std::size_t
CallerSession::MaxBufferBytes() const
{
  return this->hooks->limits.maxHeaderBytes + kMaxBufferedBytes;
}

bool
CallerSession::TryGrowBuffer(std::size_t aBytes)
{
  if (!this->bufferLease.TryResize(aBytes - kIdleBufferBytes)) {
    return false;
  }
  this->buffer.max_size(aBytes);
  return true;
}

bool
CallerSession::GrowFullBuffer(beast::error_code aError,
                              const std::function<void()>& aContinue)
{
  const std::size_t current = this->buffer.max_size();
  // A new configuration may have lowered the limit of headers.
  if (aError != http::error::buffer_overflow ||
      current >= this->MaxBufferBytes()) {
    return false;
  }
  if (this->TryGrowBuffer(std::min(2 * current, this->MaxBufferBytes()))) {
    aContinue();
  } else {
    this->RefuseForMemory();
  }
  return true;
}

bool
CallerSession::TryHoldHead()
{
  const auto& request = this->parser->get();
  std::size_t bytes = request.target().size();
  for (const auto& field : request) {
    bytes += field.name_string().size() + field.value().size() + kFieldBytes;
  }
  bytes *= kHeadCopies;
  return this->headLease.TryResize(
    bytes <= kIdleBufferBytes ? 0 : bytes - kIdleBufferBytes);
}

void
CallerSession::OnIdleWaitEnded()
{
  beast::error_code error;
  const bool hasUnreadBytes = this->stream.socket().is_open() &&
                              this->stream.socket().available(error) > 0 &&
                              !error;
  if (hasUnreadBytes) {
    // A request arrived just before the wait ended.
    this->ReadHeader();
    return;
  }
  this->Close();
}

void
CallerSession::OnHeader(beast::error_code aError)
{
  if (aError) {
    this->RefuseRequest(aError);
    return;
  }
  this->stage = Stage::Body;
  this->headArrival = std::chrono::steady_clock::now();
  this->lastPart = this->headArrival;
  this->LimitReading(this->headArrival + this->hooks->limits.requestTimeout);
  const auto& request = this->parser->get();
  this->httpVersion = request.version();
  this->isHeadRequest = request.method() == http::verb::head;
  const bool hasCoding = request.count(http::field::transfer_encoding) > 0;
  if (!HasKnownTransferCoding(request) ||
      (hasCoding && request.version() < 11)) {
    // Where the body ends is not known, so what follows is no request.
    this->WriteAnswer(CallAnswer::OfError(core::ErrorKind::BadRequest,
                                          "unknown transfer coding"),
                      false);
    return;
  }
  this->bodyLease = std::make_shared<core::MemoryLease>(this->hooks->memory);
  if (this->isRefusing || !this->TryHoldHead() ||
      !this->bodyLease->TryResize(
        static_cast<std::size_t>(this->parser->content_length().value_or(0)))) {
    this->RefuseForMemory();
    return;
  }
  // Only received bytes are held: a caller that stalls must not take memory
  // from others.
  this->bodyLease->TryResize(0);
  if (beast::iequals(request[http::field::expect], "100-continue")) {
    auto interim = std::make_shared<http::response<http::empty_body>>(
      http::status::continue_, this->httpVersion);
    http::async_write(this->stream,
                      *interim,
                      [self = this->shared_from_this(),
                       interim](beast::error_code aWriteError, std::size_t) {
                        if (aWriteError) {
                          self->CloseOnError(aWriteError);
                          return;
                        }
                        self->ReadBody();
                      });
    return;
  }
  this->ReadBody();
}

void
CallerSession::ReadBody()
{
  if (this->parser->is_done()) {
    this->OnRequest({});
    return;
  }
  // Bytes that are held may end within the size of a chunk.
  if (this->buffer.size() == 0 || this->parser->chunked()) {
    if (!this->bodyDeadline) {
      this->bodyDeadline = this->BodyDeadline();
    }
    this->LimitReading(std::min(*this->bodyDeadline,
                                std::chrono::steady_clock::now() +
                                  this->hooks->limits.requestTimeout));
  }
  // An eager read of chunks ends only within a chunk or with the body, and
  // neither time nor memory would be checked before.
  this->parser->eager(!this->parser->chunked());
  // Long bodies are read in larger parts if there is memory for them.
  if (this->buffer.max_size() < kReadChunkBytes &&
      this->parser->content_length_remaining().value_or(kReadChunkBytes) >
        kIdleBufferBytes &&
      this->TryGrowBuffer(kReadChunkBytes)) {
    this->buffer.reserve(kReadChunkBytes);
  }
  http::async_read_some(
    this->stream,
    this->buffer,
    *this->parser,
    [self = this->shared_from_this()](beast::error_code aReadError,
                                      std::size_t) {
      if (!self->GrowFullBuffer(aReadError, [self] { self->ReadBody(); })) {
        self->OnBodyPart(aReadError);
      }
    });
}

void
CallerSession::OnBodyPart(beast::error_code aError)
{
  if (aError) {
    this->RefuseRequest(aError);
    return;
  }
  if (!this->bodyLease->TryResize(this->parser->get().body().size())) {
    this->RefuseForMemory();
    return;
  }
  this->lastPart = std::chrono::steady_clock::now();
  this->ReadBody();
}

std::chrono::steady_clock::time_point
CallerSession::BodyDeadline() const
{
  std::chrono::milliseconds limit = std::max<std::chrono::milliseconds>(
    kMaxBodyTime, this->hooks->limits.requestTimeout);
  const auto call =
    this->hooks->dialect->readRequest(this->parser->get().base());
  if (call && call->deadline) {
    limit = std::min(limit, *call->deadline);
  }
  return this->headArrival + limit;
}

void
CallerSession::LimitReading(std::chrono::steady_clock::time_point aTime)
{
  this->readDeadline = aTime;
  this->isReadTimedOut = false;
  this->isStalled = false;
  if (!this->isReadTimerRunning || aTime < this->readTimer.expiry()) {
    this->StartReadTimer();
  }
}

void
CallerSession::StartReadTimer()
{
  // The timer isn't restarted for each request or part: when it ends, the
  // deadline may have moved.
  this->isReadTimerRunning = true;
  this->readTimer.expires_at(this->readDeadline);
  this->readTimer.async_wait(
    [weak = this->weak_from_this()](beast::error_code aError) {
      const auto self = weak.lock();
      if (aError || !self) {
        return;
      }
      self->isReadTimerRunning = false;
      const bool isReading =
        self->stage == Stage::Head || self->stage == Stage::Body;
      if (!isReading) {
        return;
      }
      const auto now = std::chrono::steady_clock::now();
      if (now >= self->readDeadline) {
        self->isReadTimedOut = true;
        self->stream.cancel();
        self->readDeadline = now + kCancelInterval;
      }
      self->StartReadTimer();
    });
}

void
CallerSession::OnRequest(beast::error_code aError)
{
  if (aError) {
    this->RefuseRequest(aError);
    return;
  }
  const auto& request = this->parser->get();
  if (request.method() == http::verb::trace && !request.body().empty()) {
    this->WriteAnswer(
      CallAnswer::OfError(core::ErrorKind::BadRequest, "TRACE with a body"),
      false);
    return;
  }
  this->StartCall();
}

void
CallerSession::RefuseRequest(beast::error_code aError)
{
  if (this->isReadTimedOut && aError == boost::asio::error::operation_aborted) {
    if (this->isStalled) {
      this->RefuseForMemory();
      return;
    }
    this->WriteAnswer(CallAnswer::OfError(core::ErrorKind::RequestTimeout),
                      false);
    return;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    this->WriteAnswer(CallAnswer::OfError(core::ErrorKind::HeaderTooLarge),
                      false);
    return;
  }
  if (aError == http::error::body_limit) {
    this->WriteAnswer(CallAnswer::OfError(core::ErrorKind::BodyTooLarge),
                      false);
    return;
  }
  const bool isMalformed =
    aError.category() ==
      http::make_error_code(http::error::bad_method).category() &&
    aError != http::error::end_of_stream &&
    aError != http::error::partial_message;
  if (isMalformed) {
    this->WriteAnswer(
      CallAnswer::OfError(core::ErrorKind::BadRequest, aError.message()),
      false);
    return;
  }
  this->CloseOnError(aError);
}

void
CallerSession::RefuseForMemory()
{
  this->parser.reset();
  this->bodyLease = nullptr;
  CallAnswer answer = CallAnswer::OfError(core::ErrorKind::Overloaded);
  answer.retryAfter = kRetryWithoutMemory;
  this->WriteAnswer(answer, false);
  if (!this->isStalled && this->hooks->memoryShort) {
    this->hooks->memoryShort();
  }
}

std::optional<CallRequest>
CallerSession::ExtractCall()
{
  auto message = this->parser->release();
  this->isKeptAlive = message.keep_alive();
  std::optional<CallRequest> call =
    this->hooks->dialect->readRequest(message.base());
  if (!call) {
    return std::nullopt;
  }
  RemoveHopByHopFields(message);
  call->body = std::move(message.body());
  call->bodyLease = std::exchange(this->bodyLease, nullptr);
  call->fields = std::move(message.base());
  return call;
}

void
CallerSession::StartCall()
{
  std::optional<CallRequest> call = this->ExtractCall();
  if (!call) {
    this->WriteAnswer(CallAnswer::OfError(core::ErrorKind::BadRequest), false);
    return;
  }
  call->bodyTime = std::chrono::steady_clock::now() - this->headArrival;
  this->requestId.assign(call->id);
  if (this->closeWatch.IsGone()) {
    this->WriteAnswer(CallAnswer::OfError(core::ErrorKind::CallerClosed),
                      this->isKeptAlive);
    return;
  }
  this->stream.expires_never();
  this->stage = Stage::Running;
  this->isCallRunning = true;
  auto cancel = this->hooks->handleCall(
    std::move(*call), [self = this->shared_from_this()](CallAnswer aAnswer) {
      assert(self->isCallRunning);
      self->isCallRunning = false;
      self->closeWatch.Stop();
      self->WriteAnswer(aAnswer, self->isKeptAlive);
    });
  if (this->isCallRunning) {
    this->closeWatch.Start(this->weak_from_this(), std::move(cancel));
  }
}

bool
CallerSession::HasUnreadBytes()
{
  beast::error_code error;
  return this->buffer.size() > 0 || this->stream.socket().available(error) > 0;
}

void
CallerSession::WriteAnswer(const CallAnswer& aAnswer, bool aKeepAlive)
{
  this->answer = aAnswer.answer;
  this->response = Response{};
  this->response.version(this->httpVersion);
  this->response.result(this->answer->status);
  for (const auto& [name, value] : this->answer->headers) {
    this->response.insert(name, value);
  }
  this->hooks->dialect->writeAnswer(this->response.base(), aAnswer);
  this->response.body() = { this->answer->body.data(),
                            this->answer->body.size() };
  // Requests that were sent before the close are answered as well.
  const bool isLastRequest =
    this->closeWatch.IsClosed() && !this->HasUnreadBytes();
  this->isKeptAlive =
    aKeepAlive && !this->hooks->isStopping() && !isLastRequest;
  this->response.keep_alive(this->isKeptAlive);
  const bool isTimeStated =
    this->isKeptAlive && this->hooks->keepAliveTime.count() > 0;
  if (isTimeStated) {
    this->response.set(
      http::field::keep_alive,
      fmt::format("timeout={}", this->hooks->keepAliveTime.count()));
  }
  this->statedIdleTime =
    isTimeStated ? this->hooks->keepAliveTime + kTransferMargin : 0ms;
  this->response.prepare_payload();
  if (this->isHeadRequest) {
    this->response.body() = {};
  }
  this->stage = Stage::Answer;
  this->stream.expires_after(kWriteTimeout);
  http::async_write(
    this->stream,
    this->response,
    [self = this->shared_from_this()](beast::error_code aError, std::size_t) {
      self->OnWritten(aError);
    });
}

void
CallerSession::OnWritten(beast::error_code aError)
{
  // An idle connection holds no body.
  this->response = Response{};
  this->answer = nullptr;
  if (aError) {
    this->CloseOnError(aError);
    return;
  }
  this->stage.reset();
  if (!this->isKeptAlive) {
    this->CloseAfterDrain();
    return;
  }
  this->hasServed = true;
  this->requestExpectedUntil =
    std::chrono::steady_clock::now() + this->statedIdleTime;
  this->ReadHeader();
}

void
CallerSession::CloseAfterDrain()
{
  // Closing a socket with unread bytes sends a reset, which can discard the
  // answer before the caller has read it.
  this->buffer.clear();
  this->buffer.shrink_to_fit();
  this->buffer.max_size(kIdleBufferBytes);
  this->bufferLease.TryResize(0);
  this->headLease.TryResize(0);
  beast::error_code ignored;
  this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  this->stream.expires_after(kDrainTimeout);
  this->DrainInput(0);
}

void
CallerSession::DrainInput(std::size_t aDrainedBytes)
{
  if (aDrainedBytes > kMaxDrainedBytes) {
    this->Close();
    return;
  }
  this->stream.async_read_some(this->buffer.prepare(kIdleBufferBytes),
                               [self = this->shared_from_this(), aDrainedBytes](
                                 beast::error_code aError, std::size_t aCount) {
                                 if (aError) {
                                   self->Close();
                                   return;
                                 }
                                 self->DrainInput(aDrainedBytes + aCount);
                               });
}

void
CallerSession::ReportStop()
{
  this->ReportCut(Closer::Stop);
}

void
CallerSession::ReportCut(Closer aCloser)
{
  const std::optional<Stage> reached = std::exchange(this->stage, std::nullopt);
  if (!reached || !this->hooks->requestCut) {
    return;
  }
  CallerConnectionEnd end;
  end.stage = *reached;
  end.closer = aCloser;
  end.elapsed = std::chrono::steady_clock::now() - this->requestBegin;
  end.id = this->requestId;
  if (reached == Stage::Body && this->parser) {
    if (auto call =
          this->hooks->dialect->readRequest(this->parser->get().base())) {
      end.id = std::move(call->id);
    }
  }
  this->hooks->requestCut(end);
}

void
CallerSession::CloseOnError(beast::error_code aError)
{
  if (aError == beast::error::timeout || this->isReadTimedOut) {
    this->ReportCut(Closer::TimeLimit);
  } else if (aError == http::error::end_of_stream &&
             this->stage == Stage::Head && this->buffer.size() == 0) {
    // The caller closed after its last request.
    this->stage.reset();
  } else if (aError == http::error::end_of_stream ||
             aError == http::error::partial_message ||
             aError == boost::asio::error::eof ||
             aError == boost::asio::error::connection_reset ||
             aError == boost::asio::error::broken_pipe) {
    this->ReportCut(Closer::Caller);
  } else {
    this->ReportCut(Closer::Error);
  }
  this->Close();
}

void
CallerSession::Close()
{
  beast::error_code ignored;
  this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  this->stream.close();
}

} // namespace fireflytrail::gateway
