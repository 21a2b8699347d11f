#pragma once

#include "gateway/PeerHub.h"
#include "wire/WireMessage.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace fireflytrail::gateway {

/**
 * The outgoing connection to one peer. It connects on first use. After a failed
 * connect, it connects again only when the retry interval has passed. It may
 * outlive its hub while a connect is pending. Belongs to the thread of its hub.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  /** Time after a failed connect during which messages are dropped. */
  static constexpr std::chrono::milliseconds kRetryInterval{ 200 };
  static constexpr std::chrono::milliseconds kConnectTimeout{ 500 };
  /** Maximum number of messages queued while the connection is being opened. */
  static constexpr std::size_t kMaxQueuedMessages = 256;

  PeerLink(const std::shared_ptr<PeerHub>& aHub,
           boost::asio::ip::tcp::endpoint aEndpoint);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /** Sends or queues a message, or drops it if neither is possible. */
  void Send(wire::WireMessage aMessage);

  /** Sends a call and calls `aOnEnd` once. */
  void Forward(wire::ForwardCall aCall, PeerHub::ForwardFunction aOnEnd);

  /**
   * Closes the connection, whose other end is a process that has been replaced.
   * The next message opens a new one.
   */
  void Reconnect();

  /** Closes the connection and ends pending calls. */
  void Close();

private:
  void Connect();
  void OnConnected(boost::system::error_code aError);
  void OnMessage(wire::WireMessage aMessage);
  void EndPendingForwards(PeerHub::ForwardProgress aProgress);
  void CountDropped(std::size_t aMessages);
  /** Sends a message on the open connection and counts it. */
  void SendAndCount(const wire::WireMessage& aMessage);

  std::weak_ptr<PeerHub> hub;
  boost::asio::ip::tcp::endpoint endpoint;
  boost::beast::tcp_stream stream;
  std::shared_ptr<PeerConnection> connection;
  std::vector<wire::WireMessage> queuedMessages;
  std::map<std::uint64_t, PeerHub::ForwardFunction> pendingForwards;
  std::uint64_t nextRequestId = 1;
  std::chrono::steady_clock::time_point retryAllowedAt;
  bool isConnecting = false;
  bool isClosed = false;
};

} // namespace fireflytrail::gateway
