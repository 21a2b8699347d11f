#include "gateway/TcpListener.h"

#include <boost/asio/detail/socket_option.hpp>

#include <cassert>
#include <utility>

#include <linux/filter.h>
#include <sys/socket.h>

namespace fireflytrail::gateway {

using boost::asio::ip::tcp;
using ReusePort =
  boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

TcpListener::TcpListener(boost::asio::io_context& aContext,
                         AcceptFunction aOnAccept)
  : context(aContext)
  , acceptor(aContext)
  , onAccept(std::move(aOnAccept))
{
  assert(this->onAccept);
}

boost::system::error_code
TcpListener::Open(const tcp::endpoint& aEndpoint)
{
  boost::system::error_code error;
  this->acceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.set_option(ReusePort(true), error);
  }
  if (!error) {
    this->acceptor.bind(aEndpoint, error);
  }
  if (!error) {
    this->acceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (!error) {
    this->localEndpoint = this->acceptor.local_endpoint(error);
  }
  if (!error) {
    this->Accept();
  }
  return error;
}

tcp::endpoint
TcpListener::LocalEndpoint() const
{
  return this->localEndpoint;
}

void
TcpListener::Close()
{
  if (!this->acceptor.is_open()) {
    return;
  }
  this->StopEstablishing();
  this->AcceptEstablished();
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
}

void
TcpListener::Accept()
{
  this->acceptor.async_accept(
    this->context,
    [self = this->shared_from_this()](boost::system::error_code aError,
                                      tcp::socket aSocket) {
      // The socket may have been accepted just before the listener was closed.
      if (!aError) {
        self->TakeSocket(std::move(aSocket));
      }
      if (self->acceptor.is_open()) {
        self->Accept();
      }
    });
}

void
TcpListener::StopEstablishing()
{
  // Drops all packets to the listening socket; accepted sockets have their own.
  // Without the filter, a connection that is established between the last
  // accept and the close would be reset, so a failure is no reason to go on
  // listening.
  sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{ .len = 1, .filter = &dropAll };
  setsockopt(this->acceptor.native_handle(),
             SOL_SOCKET,
             SO_ATTACH_FILTER,
             &program,
             sizeof(program));
}

void
TcpListener::AcceptEstablished()
{
  boost::system::error_code error;
  this->acceptor.non_blocking(true, error);
  for (int count = 0; !error && count < tcp::acceptor::max_listen_connections;
       ++count) {
    tcp::socket socket(this->context);
    this->acceptor.accept(socket, error);
    if (!error) {
      this->TakeSocket(std::move(socket));
    }
  }
}

void
TcpListener::TakeSocket(tcp::socket aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  this->onAccept(std::move(aSocket));
}

} // namespace fireflytrail::gateway
