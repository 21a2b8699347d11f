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
 * The outgoing connection to one peer. It connects on first use and again
 * after a failure, but not more often than the retry interval. Belongs to the
 * thread of its hub.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  /** Time after a failed connect in which messages are dropped. */
  static constexpr std::chrono::milliseconds kRetryInterval{ 200 };
  static constexpr std::chrono::milliseconds kConnectTimeout{ 500 };
  /** Messages kept while the connection is being opened. */
  static constexpr std::size_t kMaxWaiting = 256;

  PeerLink(PeerHub& aHub, boost::asio::ip::tcp::endpoint aEndpoint);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /** Sends a message or drops it. */
  void Send(wire::WireMessage aMessage);

  /** Sends a call and calls the function once. */
  void Forward(wire::ForwardCall aCall, PeerHub::ForwardFunction aOnEnd);

  /** Ends the connection; pending calls end. */
  void Close();

private:
  void Connect();
  void OnConnected(boost::system::error_code aError);
  void OnMessage(wire::WireMessage aMessage);
  void EndForwards(PeerHub::ForwardProgress aProgress);

  PeerHub& hub;
  boost::asio::ip::tcp::endpoint endpoint;
  boost::beast::tcp_stream stream;
  std::shared_ptr<PeerConnection> connection;
  std::vector<wire::WireMessage> waiting;
  std::map<std::uint64_t, PeerHub::ForwardFunction> forwards;
  std::uint64_t nextRequestId = 1;
  std::chrono::steady_clock::time_point notBefore;
  bool isConnecting = false;
  bool isClosed = false;
};

} // namespace fireflytrail::gateway
