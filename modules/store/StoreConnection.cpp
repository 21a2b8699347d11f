#include "store/StoreConnection.h"

#include "core/DeadPeerDetection.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include <cassert>
#include <charconv>
#include <string_view>
#include <utility>

namespace fireflytrail::store {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

// Values are at most 1 MB, and host lists, also those expected in two years,
// are far smaller.
constexpr std::uint64_t kBodyLimitBytes = 4U << 20U;

// Received bytes that are held until the parser takes them: the head, or the
// line of a chunk's size.
constexpr std::size_t kMaxBufferedBytes = 64U << 10U;

// A connection on which not even acknowledgements arrive, such as that of a
// watch, fails after this time. The platform requires a host to react to
// changes within that time after a connection loss.
constexpr std::chrono::milliseconds kSilenceTimeout{ 3000 };

std::string
TargetOf(const StoreRequest& aRequest)
{
  if (aRequest.kind == StoreRequestKind::RawRead ||
      aRequest.kind == StoreRequestKind::RawWrite ||
      aRequest.kind == StoreRequestKind::RawPost) {
    return aRequest.target;
  }
  if (aRequest.kind == StoreRequestKind::Hosts) {
    return aRequest.version == 0
             ? "/hosts"
             : fmt::format("/hosts?known={}", aRequest.version);
  }
  if (aRequest.kind == StoreRequestKind::Watch) {
    return fmt::format("/objects/{}?watch={}&timeout_ms={}",
                       aRequest.key,
                       aRequest.version,
                       aRequest.watchTime.count());
  }
  return "/objects/" + aRequest.key;
}

std::uint64_t
VersionOf(std::string_view aText)
{
  std::uint64_t version = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, version);
  return error == std::errc() && rest == end ? version : 0;
}

} // namespace

StoreConnection::StoreConnection(boost::asio::io_context& aContext,
                                 tcp::endpoint aEndpoint,
                                 std::string aEraField)
  : endpoint(std::move(aEndpoint))
  , eraField(std::move(aEraField))
  , socket(aContext)
  , timer(aContext)
{
}

void
StoreConnection::Run(const StoreRequest& aRequest, ResponseFunction aDone)
{
  assert(!this->done && aDone);
  this->done = std::move(aDone);
  this->deliveryOnFailure = StoreDelivery::NotSent;
  const bool isRawWrite = aRequest.kind == StoreRequestKind::RawWrite;
  const bool isWrite = isRawWrite || aRequest.kind == StoreRequestKind::Write;
  const bool isPost = aRequest.kind == StoreRequestKind::RawPost;
  this->maySend = aRequest.maySend;
  this->isResetOnEnd = aRequest.isResetOnEnd;
  this->request = { isPost    ? http::verb::post
                    : isWrite ? http::verb::put
                              : http::verb::get,
                    TargetOf(aRequest),
                    11 };
  this->request.set(http::field::host,
                    fmt::format("{}:{}",
                                this->endpoint.address().to_string(),
                                this->endpoint.port()));
  for (const auto& [name, value] : aRequest.fields) {
    this->request.set(name, value);
  }
  if (isRawWrite || isPost) {
    this->request.set(http::field::content_type, "application/json");
    this->request.body() = aRequest.body;
  } else if (isWrite) {
    this->request.set("If-Version", std::to_string(aRequest.version));
    this->request.body() = aRequest.body;
  }
  this->request.prepare_payload();
  this->timer.expires_after(aRequest.timeout);
  this->timer.async_wait(
    [self = this->shared_from_this()](boost::system::error_code aError) {
      if (!aError) {
        self->Fail(self->deliveryOnFailure, "no answer in time");
      }
    });
  if (this->isReusable) {
    this->Write();
  } else {
    this->Connect();
  }
}

bool
StoreConnection::IsReusable() const
{
  return this->isReusable;
}

void
StoreConnection::Close()
{
  this->Fail(this->deliveryOnFailure, "connection closed");
}

void
StoreConnection::Connect()
{
  this->socket.async_connect(
    this->endpoint,
    [self = this->shared_from_this()](boost::system::error_code aError) {
      if (!self->done) {
        return;
      }
      if (aError) {
        self->Fail(StoreDelivery::NotSent, "connect: " + aError.message());
        return;
      }
      boost::system::error_code ignored;
      self->socket.set_option(tcp::no_delay(true), ignored);
      core::EnableDeadPeerDetection(self->socket, kSilenceTimeout);
      self->Write();
    });
}

void
StoreConnection::Write()
{
  if (this->maySend && !this->maySend()) {
    this->Fail(StoreDelivery::NotSent, "no longer wanted");
    return;
  }
  this->isReusable = false;
  this->deliveryOnFailure = StoreDelivery::Lost;
  http::async_write(this->socket,
                    this->request,
                    [self = this->shared_from_this()](
                      boost::system::error_code aError, std::size_t) {
                      if (!self->done) {
                        return;
                      }
                      if (aError) {
                        self->Fail(StoreDelivery::Lost,
                                   "send: " + aError.message());
                        return;
                      }
                      self->Read();
                    });
}

void
StoreConnection::Read()
{
  this->parser.emplace();
  this->parser->body_limit(kBodyLimitBytes);
  this->parser->LimitFields(kMaxBufferedBytes);
  this->buffer.max_size(kMaxBufferedBytes);
  http::async_read(this->socket,
                   this->buffer,
                   *this->parser,
                   [self = this->shared_from_this()](
                     boost::system::error_code aError, std::size_t) {
                     if (!self->done) {
                       return;
                     }
                     if (aError) {
                       self->Fail(StoreDelivery::Lost,
                                  "receive: " + aError.message());
                       return;
                     }
                     auto message = self->parser->release();
                     self->isReusable = message.keep_alive();
                     StoreResponse response;
                     response.delivery = StoreDelivery::Answered;
                     response.status = message.result_int();
                     response.version = VersionOf(message["Object-Version"]);
                     if (!self->eraField.empty()) {
                       response.era = VersionOf(message[self->eraField]);
                     }
                     response.body = std::move(message.body());
                     self->Finish(std::move(response));
                   });
}

void
StoreConnection::Fail(StoreDelivery aDelivery, std::string aDetail)
{
  this->isReusable = false;
  boost::system::error_code ignored;
  if (this->isResetOnEnd && this->done) {
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  this->socket.close(ignored);
  this->buffer.clear();
  if (this->done) {
    StoreResponse response;
    response.delivery = aDelivery;
    response.detail = std::move(aDetail);
    this->Finish(std::move(response));
  }
}

void
StoreConnection::Finish(StoreResponse aResponse)
{
  this->timer.cancel();
  std::exchange(this->done, nullptr)(std::move(aResponse));
}

} // namespace fireflytrail::store
