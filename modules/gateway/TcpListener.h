#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace fireflytrail::gateway {

/**
 * Accepts TCP connections on one address for one thread. Several listeners may
 * share an address; the kernel distributes connections among them.
 */
class TcpListener : public std::enable_shared_from_this<TcpListener>
{
public:
  using AcceptFunction = std::function<void(boost::asio::ip::tcp::socket)>;

  /** `aOnAccept` must be set. It runs on the thread of `aContext`. */
  TcpListener(boost::asio::io_context& aContext, AcceptFunction aOnAccept);

  /**
   * Binds and starts accepting. Returns an error if the address cannot be
   * bound. Call once, on the context's thread or before it runs.
   */
  boost::system::error_code Open(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

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
  /** Keeps the kernel from establishing more connections. */
  void StopEstablishing();
  void AcceptEstablished();
  void TakeSocket(boost::asio::ip::tcp::socket aSocket);

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  AcceptFunction onAccept;
  boost::asio::ip::tcp::endpoint localEndpoint;
};

} // namespace fireflytrail::gateway
