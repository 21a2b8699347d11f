#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>

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

/** Accepts TCP connections on one address for one thread. */
class TcpListener : public std::enable_shared_from_this<TcpListener>
{
public:
  using AcceptFunction = std::function<void(boost::asio::ip::tcp::socket)>;

  /** `aOnAccept` must be set. It runs on the thread of `aContext`. */
  TcpListener(boost::asio::io_context& aContext, AcceptFunction aOnAccept);

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

  /**
   * Stops accepting. Connections that callers have already established are
   * accepted first, since closing would reset them. Call on the context's
   * thread.
   */
  void Close();

private:
  void Accept();
  void AcceptEstablished();
  void TakeSocket(boost::asio::ip::tcp::socket aSocket);

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  AcceptFunction onAccept;
  boost::asio::ip::tcp::endpoint localEndpoint;
};

} // namespace fireflytrail::gateway
