#include "gateway/PeerConnection.h"

#include "core/DeadPeerDetection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <cassert>
#include <optional>
#include <utility>

namespace fireflytrail::gateway {

using boost::asio::ip::tcp;

namespace {

// Several retransmissions of a lost packet within a region. A change must reach
// every host within two seconds, also over the connection that is opened next.
constexpr std::chrono::milliseconds kSilenceTimeout{ 1000 };

// Bytes of an incomplete frame that the memory budget does not count.
constexpr std::size_t kUncountedBytes = std::size_t{ 4 } * 1024;

} // namespace

PeerConnection::PeerConnection(tcp::socket aSocket,
                               std::shared_ptr<core::MemoryBudget> aMemory)
  : socket(std::move(aSocket))
  , frameLease(std::move(aMemory), core::MemoryUse::Buffer)
{
}

PeerConnection::~PeerConnection() = default;

void
PeerConnection::Start(MessageFunction aOnMessage,
                      ClosedFunction aOnClosed,
                      BytesFunction aOnBytes)
{
  assert(aOnMessage && aOnClosed && aOnBytes && !this->onClosed);
  this->onMessage = std::move(aOnMessage);
  this->onClosed = std::move(aOnClosed);
  this->onBytes = std::move(aOnBytes);
  boost::system::error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  core::EnableDeadPeerDetection(this->socket, kSilenceTimeout);
  this->Read();
}

std::size_t
PeerConnection::Send(const wire::WireMessage& aMessage)
{
  std::optional<std::string> frame = wire::FrameCodec::Encode(aMessage);
  if (!frame || !this->onClosed ||
      this->queuedBytes + frame->size() > kMaxQueuedBytes) {
    return 0;
  }
  const std::size_t size = frame->size();
  this->queuedBytes += size;
  this->onBytes(size);
  this->queue.push_back(std::move(*frame));
  if (this->queue.size() == 1) {
    this->Write();
  }
  return size;
}

void
PeerConnection::Close()
{
  this->End(wire::FrameError::None);
}

void
PeerConnection::Read()
{
  this->socket.async_read_some(
    boost::asio::buffer(this->readBuffer),
    [self = this->shared_from_this()](boost::system::error_code aError,
                                      std::size_t aCount) {
      if (aError || !self->onClosed) {
        self->End(wire::FrameError::None);
        return;
      }
      self->onBytes(aCount);
      self->codec.Feed({ self->readBuffer.data(), aCount });
      while (std::optional<wire::WireMessage> message = self->codec.Next()) {
        self->onMessage(std::move(*message));
        if (!self->onClosed) {
          return;
        }
      }
      if (self->codec.Error() != wire::FrameError::None) {
        self->End(self->codec.Error());
        return;
      }
      const std::size_t held = self->codec.BufferedSize();
      if (!self->frameLease.TryResize(
            held <= kUncountedBytes ? 0 : held - kUncountedBytes)) {
        self->End(wire::FrameError::None);
        return;
      }
      self->Read();
    });
}

void
PeerConnection::Write()
{
  boost::asio::async_write(this->socket,
                           boost::asio::buffer(this->queue.front()),
                           [self = this->shared_from_this()](
                             boost::system::error_code aError, std::size_t) {
                             if (aError || !self->onClosed) {
                               self->End(wire::FrameError::None);
                               return;
                             }
                             self->queuedBytes -= self->queue.front().size();
                             self->queue.pop_front();
                             if (!self->queue.empty()) {
                               self->Write();
                             }
                           });
}

void
PeerConnection::End(wire::FrameError aError)
{
  boost::system::error_code ignored;
  this->socket.close(ignored);
  if (!this->onClosed) {
    return;
  }
  const auto closedFunction = std::exchange(this->onClosed, nullptr);
  // The message function may be running now, so it is released afterwards.
  boost::asio::post(this->socket.get_executor(),
                    [self = this->shared_from_this()] {
                      self->onMessage = nullptr;
                      self->onBytes = nullptr;
                    });
  closedFunction(aError);
}

} // namespace fireflytrail::gateway
