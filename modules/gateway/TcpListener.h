#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace fireflytrail::gateway {

/** Whether several listeners may share an address. */
enum class AddressSharing : std::uint8_t
{
  /** A second listener on the address is refused. */
  None,
  /** The kernel distributes connections among all listeners of the user on the
   * address that allow this, also among those of different processes. */
  Shared,
};

/** Functions that a listener calls; each may be empty. */
struct TcpListenerHooks
{
  /** Returns whether another connection may be accepted now. Connections wait
   * in the kernel meanwhile. */
  std::function<bool()> mayAccept;

  /** Called once for each accept that fails, for example because no descriptor
   * is left. The next one is tried after a short time. */
  std::function<void(boost::system::error_code)> onFailure;

  /** For tests: returns the error with which the next accept fails, if any. */
  std::function<boost::system::error_code()> simulatedError;

  /** Bytes that the kernel keeps of each connection until they are read; by
   * default, it grows with the connection. */
  std::optional<int> receiveBufferBytes;

  /** Most connections that wait in the kernel; by default, as many as it
   * allows. */
  std::optional<int> waitingConnections = std::nullopt;
};

/** Accepts TCP connections on one address for one thread. */
class TcpListener : public std::enable_shared_from_this<TcpListener>
{
public:
  using AcceptFunction = std::function<void(boost::asio::ip::tcp::socket)>;

  /** `aOnAccept` must be set. It runs on the thread of `aContext`. */
  TcpListener(boost::asio::io_context& aContext,
              AcceptFunction aOnAccept,
              TcpListenerHooks aHooks = {});

  /**
   * Binds and starts accepting. Returns an error if the address cannot be
   * bound; only then it may be called again. Call on the context's thread or
   * before it runs.
   */
  boost::system::error_code Open(
    const boost::asio::ip::tcp::endpoint& aEndpoint,
    AddressSharing aSharing = AddressSharing::None);

  /** Returns the bound endpoint, also after `Close`; `Open` must have
   * succeeded. */
  boost::asio::ip::tcp::endpoint LocalEndpoint() const;

  /** Sets how many bytes the kernel keeps of each further connection, in each
   * direction, until they are read or acknowledged. Does nothing unless
   * listening. Call on the context's thread. */
  void SetSocketBuffers(std::size_t aBytes);

  /**
   * Stops accepting. Connections that callers have already established are
   * accepted first, since closing would reset them; handshakes that have begun
   * are waited for up to 20 ms. Call on the context's thread.
   */
  void Close();

private:
  void Accept();
  void AcceptLater();
  void OnAccepted(boost::system::error_code aError,
                  boost::asio::ip::tcp::socket aSocket);
  /** Keeps the kernel from establishing more connections. */
  void StopEstablishing();
  void AcceptUntil(std::chrono::steady_clock::time_point aEnd);
  void AcceptEstablished();
  void TakeSocket(boost::asio::ip::tcp::socket aSocket);

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  AcceptFunction onAccept;
  TcpListenerHooks hooks;
  boost::asio::steady_timer retryTimer;
  boost::asio::ip::tcp::endpoint localEndpoint;
};

} // namespace fireflytrail::gateway
