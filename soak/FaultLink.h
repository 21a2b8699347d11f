#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>

namespace fireflytrail::soak {

/**
 * A loopback TCP proxy between two programs that can delay or drop the bytes it
 * forwards and reset its connections. Use it only on the context's thread.
 */
class FaultLink : public std::enable_shared_from_this<FaultLink>
{
public:
  /** Faults applied to forwarded bytes. */
  struct Faults
  {
    /** Delay before each forwarded read, in both directions. */
    std::chrono::milliseconds delay{ 0 };
    /** Whether bytes from the client to the target are dropped. */
    bool isDroppingToTarget = false;
    /** Whether bytes from the target to the client are dropped. */
    bool isDroppingFromTarget = false;
    bool operator==(const Faults&) const = default;
  };

  explicit FaultLink(boost::asio::io_context& aContext);
  FaultLink(const FaultLink&) = delete;
  FaultLink& operator=(const FaultLink&) = delete;

  /** Listens on an ephemeral port of 127.0.0.1. Call once. */
  void Open();

  std::uint16_t Port() const { return this->port; }

  /** Sets the endpoint to which new connections are forwarded. */
  void SetTarget(const boost::asio::ip::tcp::endpoint& aTarget)
  {
    this->target = aTarget;
  }

  /** Sets the faults of all connections, open and new. */
  void SetFaults(const Faults& aFaults) { this->faults = aFaults; }

  /** Resets all connections. */
  void Reset();

private:
  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Connect(Socket aClient);
  boost::asio::awaitable<void> Forward(Socket aFrom,
                                       Socket aTo,
                                       bool aIsToTarget);
  bool IsDropping(bool aIsToTarget) const
  {
    return aIsToTarget ? this->faults.isDroppingToTarget
                       : this->faults.isDroppingFromTarget;
  }

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint target;
  std::uint16_t port = 0;
  Faults faults;
  std::set<Socket> sockets;
};

} // namespace fireflytrail::soak
