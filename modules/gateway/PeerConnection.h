#pragma once

#include "core/MemoryLease.h"
#include "wire/FrameCodec.h"
#include "wire/WireMessage.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace fireflytrail::core {
class MemoryBudget;
} // namespace fireflytrail::core

namespace fireflytrail::gateway {

/**
 * A framed connection to another daemon. It keeps itself alive by shared
 * ownership while operations are pending. A corrupt frame closes it, and so
 * does a peer that does not acknowledge messages.
 */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
  using MessageFunction = std::function<void(wire::WireMessage)>;
  using ClosedFunction = std::function<void(wire::FrameError)>;
  /** Receives the number of bytes queued for sending or received. */
  using BytesFunction = std::function<void(std::size_t)>;

  /** Beyond this, messages are dropped, since the peer is not reading. */
  static constexpr std::size_t kMaxQueuedBytes = std::size_t{ 4 } << 20;

  /** Takes ownership of an open socket. `aMemory` bounds the frames that are
   * not yet complete and may be null. Call on the socket's thread, like every
   * method. */
  explicit PeerConnection(
    boost::asio::ip::tcp::socket aSocket,
    std::shared_ptr<core::MemoryBudget> aMemory = nullptr);
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  /**
   * Starts reading. `aOnClosed` is called once when the connection has ended;
   * the functions are then released. All functions must be set.
   */
  void Start(MessageFunction aOnMessage,
             ClosedFunction aOnClosed,
             BytesFunction aOnBytes);

  /** Sets the size beyond which a frame of the peer is an error. */
  void LimitFrames(std::size_t aBytes) { this->codec.LimitFrames(aBytes); }

  /** Queues a message. Returns its size in bytes, or 0 if it was dropped. */
  std::size_t Send(const wire::WireMessage& aMessage);

  /** Closes the connection and calls `aOnClosed`. */
  void Close();

private:
  void Read();
  void Write();
  void End(wire::FrameError aError);

  boost::asio::ip::tcp::socket socket;
  wire::FrameCodec codec;
  /** Counts the bytes of an incomplete frame. */
  core::MemoryLease frameLease;
  std::array<std::uint8_t, 16 * 1024> readBuffer;
  std::deque<std::string> queue;
  std::size_t queuedBytes = 0;
  MessageFunction onMessage;
  ClosedFunction onClosed;
  BytesFunction onBytes;
};

} // namespace fireflytrail::gateway
