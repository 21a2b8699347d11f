#include "gateway/PeerLink.h"

#include "gateway/PeerConnection.h"

#include <utility>
#include <variant>

namespace fireflytrail::gateway {

using boost::asio::ip::tcp;
using ForwardProgress = PeerHub::ForwardProgress;

PeerLink::PeerLink(const std::shared_ptr<PeerHub>& aHub,
                   tcp::endpoint aEndpoint)
  : hub(aHub)
  , endpoint(std::move(aEndpoint))
  , stream(aHub->context)
{
}

PeerLink::~PeerLink() = default;

void
PeerLink::Send(wire::WireMessage aMessage)
{
  if (this->connection) {
    this->SendAndCount(aMessage);
    return;
  }
  if (this->isClosed || this->queuedMessages.size() >= kMaxQueuedMessages ||
      (!this->isConnecting &&
       std::chrono::steady_clock::now() < this->retryAllowedAt)) {
    this->CountDropped(1);
    return;
  }
  this->queuedMessages.push_back(std::move(aMessage));
  this->Connect();
}

void
PeerLink::Forward(wire::ForwardCall aCall, PeerHub::ForwardFunction aOnEnd)
{
  const bool mayConnect =
    this->isConnecting ||
    std::chrono::steady_clock::now() >= this->retryAllowedAt;
  if (this->isClosed || (!this->connection && !mayConnect) ||
      this->queuedMessages.size() >= kMaxQueuedMessages) {
    aOnEnd(ForwardProgress::NothingSent, std::nullopt);
    return;
  }
  aCall.requestId = this->nextRequestId++;
  this->pendingForwards.emplace(aCall.requestId, std::move(aOnEnd));
  if (!this->connection) {
    this->queuedMessages.emplace_back(std::move(aCall));
    this->Connect();
    return;
  }
  const std::uint64_t id = aCall.requestId;
  if (this->connection->Send(std::move(aCall)) == 0) {
    auto dropped = this->pendingForwards.extract(id);
    dropped.mapped()(ForwardProgress::NothingSent, std::nullopt);
  }
}

void
PeerLink::Reconnect()
{
  if (this->connection) {
    this->connection->Close();
  }
}

void
PeerLink::Close()
{
  this->isClosed = true;
  this->stream.close();
  if (const auto open = std::exchange(this->connection, nullptr)) {
    open->Close();
  }
}

void
PeerLink::Connect()
{
  if (this->isConnecting) {
    return;
  }
  this->isConnecting = true;
  this->stream.expires_after(kConnectTimeout);
  this->stream.async_connect(
    this->endpoint,
    [self = this->shared_from_this()](boost::system::error_code aError) {
      self->OnConnected(aError);
    });
}

void
PeerLink::OnConnected(boost::system::error_code aError)
{
  this->isConnecting = false;
  const auto messages = std::exchange(this->queuedMessages, {});
  const auto openHub = this->hub.lock();
  if (aError || this->isClosed || !openHub) {
    this->CountDropped(messages.size());
    this->retryAllowedAt = std::chrono::steady_clock::now() + kRetryInterval;
    this->stream.close();
    this->EndPendingForwards(ForwardProgress::NothingSent);
    return;
  }
  this->stream.expires_never();
  this->connection =
    std::make_shared<PeerConnection>(this->stream.release_socket());
  this->connection->Start(
    [weak = this->weak_from_this()](wire::WireMessage aMessage) {
      if (const auto self = weak.lock()) {
        self->OnMessage(std::move(aMessage));
      }
    },
    [weak = this->weak_from_this()](wire::FrameError aFrameError) {
      if (const auto self = weak.lock()) {
        if (const auto current = self->hub.lock()) {
          current->CountError(aFrameError);
        }
        self->connection = nullptr;
        self->EndPendingForwards(ForwardProgress::Sent);
      }
    },
    [weak = this->weak_from_this()](std::size_t aBytes) {
      const auto self = weak.lock();
      if (const auto current = self ? self->hub.lock() : nullptr) {
        current->counts.bytes += aBytes;
      }
    });
  this->connection->Send(openHub->OwnHello());
  for (const wire::WireMessage& message : messages) {
    if (!this->connection) {
      return;
    }
    this->SendAndCount(message);
  }
}

void
PeerLink::OnMessage(wire::WireMessage aMessage)
{
  auto* answer = std::get_if<wire::ForwardAnswer>(&aMessage);
  if (answer == nullptr) {
    return;
  }
  auto found = this->pendingForwards.extract(answer->requestId);
  if (!found.empty()) {
    found.mapped()(ForwardProgress::Answered, std::move(*answer));
  }
}

void
PeerLink::CountDropped(std::size_t aMessages)
{
  if (const auto current = this->hub.lock()) {
    current->counts.dropped += aMessages;
  }
}

void
PeerLink::SendAndCount(const wire::WireMessage& aMessage)
{
  const std::size_t bytes = this->connection->Send(aMessage);
  if (const auto current = this->hub.lock()) {
    current->CountSent(this->endpoint, aMessage, bytes);
  }
}

void
PeerLink::EndPendingForwards(ForwardProgress aProgress)
{
  for (const auto& [id, onEnd] : std::exchange(this->pendingForwards, {})) {
    onEnd(aProgress, std::nullopt);
  }
}

} // namespace fireflytrail::gateway
