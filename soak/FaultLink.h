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
 * A loopback proxy that stands between two programs and can delay, silence and
 * cut what passes. Belongs to the context's thread.
 */
class FaultLink : public std::enable_shared_from_this<FaultLink>
{
public:
  /** What becomes of bytes in each direction. */
  struct Faults
  {
    std::chrono::milliseconds delay{ 0 };
    bool isSilentTo = false;
    bool isSilentFrom = false;
    bool operator==(const Faults&) const = default;
  };

  explicit FaultLink(boost::asio::io_context& aContext);
  FaultLink(const FaultLink&) = delete;
  FaultLink& operator=(const FaultLink&) = delete;

  /** Listens on any port. Call once. */
  void Open();

  std::uint16_t Port() const { return this->port; }

  /** Sets where new connections lead. */
  void SetTarget(const boost::asio::ip::tcp::endpoint& aTarget)
  {
    this->target = aTarget;
  }

  /** Sets the faults of all connections. */
  void SetFaults(const Faults& aFaults) { this->faults = aFaults; }

  /** Resets all connections. */
  void Reset();

private:
  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Connect(Socket aNear);
  boost::asio::awaitable<void> Pass(Socket aFrom, Socket aTo, bool aIsTo);
  bool IsSilent(bool aIsTo) const
  {
    return aIsTo ? this->faults.isSilentTo : this->faults.isSilentFrom;
  }

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint target;
  std::uint16_t port = 0;
  Faults faults;
  std::set<Socket> sockets;
};

} // namespace fireflytrail::soak
