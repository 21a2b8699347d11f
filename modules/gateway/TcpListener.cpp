#include "gateway/TcpListener.h"

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <cassert>
#include <chrono>
#include <utility>

#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>

namespace fireflytrail::gateway {

using boost::asio::ip::tcp;
using ReusePort =
  boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

namespace {

// Time until the next accept after one that failed, or while none is allowed.
// A connection waits in the kernel that long at most once a descriptor is free.
constexpr std::chrono::milliseconds kRetryInterval{ 20 };

// Time in which a handshake that has begun ends, the longest round trip to a
// caller.
constexpr std::chrono::milliseconds kHandshakeTime{ 20 };

} // namespace

TcpListener::TcpListener(boost::asio::io_context& aContext,
                         AcceptFunction aOnAccept,
                         TcpListenerHooks aHooks)
  : context(aContext)
  , acceptor(aContext)
  , onAccept(std::move(aOnAccept))
  , hooks(std::move(aHooks))
  , retryTimer(aContext)
{
  assert(this->onAccept);
}

boost::system::error_code
TcpListener::Open(const tcp::endpoint& aEndpoint, AddressSharing aSharing)
{
  boost::system::error_code error;
  this->acceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error && aSharing == AddressSharing::Shared) {
    this->acceptor.set_option(ReusePort(true), error);
  }
  if (!error && this->hooks.receiveBufferBytes) {
    // Accepted sockets inherit it. Without it the listener serves as well.
    boost::system::error_code ignored;
    this->acceptor.set_option(
      tcp::acceptor::receive_buffer_size(*this->hooks.receiveBufferBytes),
      ignored);
  }
  if (!error) {
    this->acceptor.bind(aEndpoint, error);
  }
  if (!error) {
    this->acceptor.listen(this->hooks.waitingConnections.value_or(
                            tcp::acceptor::max_listen_connections),
                          error);
  }
  if (!error) {
    this->localEndpoint = this->acceptor.local_endpoint(error);
  }
  if (!error) {
    this->Accept();
  } else {
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
  }
  return error;
}

tcp::endpoint
TcpListener::LocalEndpoint() const
{
  return this->localEndpoint;
}

void
TcpListener::SetSocketBuffers(std::size_t aBytes)
{
  const int bytes = static_cast<int>(aBytes);
  boost::system::error_code ignored;
  this->acceptor.set_option(tcp::acceptor::receive_buffer_size(bytes), ignored);
  this->acceptor.set_option(tcp::acceptor::send_buffer_size(bytes), ignored);
}

void
TcpListener::Close()
{
  if (!this->acceptor.is_open()) {
    return;
  }
  this->StopEstablishing();
  this->AcceptUntil(std::chrono::steady_clock::now() + kHandshakeTime);
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->retryTimer.cancel();
}

void
TcpListener::AcceptLater()
{
  this->retryTimer.expires_after(kRetryInterval);
  this->retryTimer.async_wait(
    [self = this->shared_from_this()](boost::system::error_code aError) {
      if (!aError && self->acceptor.is_open()) {
        self->Accept();
      }
    });
}

void
TcpListener::Accept()
{
  if (this->hooks.mayAccept && !this->hooks.mayAccept()) {
    this->AcceptLater();
    return;
  }
  if (const auto error = this->hooks.simulatedError
                           ? this->hooks.simulatedError()
                           : boost::system::error_code()) {
    boost::asio::post(this->context, [self = this->shared_from_this(), error] {
      self->OnAccepted(error, tcp::socket(self->context));
    });
    return;
  }
  this->acceptor.async_accept(
    this->context,
    [self = this->shared_from_this()](boost::system::error_code aError,
                                      tcp::socket aSocket) {
      self->OnAccepted(aError, std::move(aSocket));
    });
}

void
TcpListener::OnAccepted(boost::system::error_code aError, tcp::socket aSocket)
{
  // The socket may have been accepted just before the listener was closed.
  if (!aError) {
    this->TakeSocket(std::move(aSocket));
  }
  if (!this->acceptor.is_open()) {
    return;
  }
  if (!aError) {
    this->Accept();
    return;
  }
  // At once, it would fail again until a descriptor is free.
  if (this->hooks.onFailure) {
    this->hooks.onFailure(aError);
  }
  this->AcceptLater();
}

void
TcpListener::StopEstablishing()
{
  // Drops the packets that begin a handshake. One that has begun may end, since
  // its caller counts as connected before the kernel has the last packet.
  constexpr unsigned kFlagsOffset = 13;
  constexpr unsigned kSyn = 0x02;
  constexpr unsigned kWholePacket = 0xffffffff;
  std::array<sock_filter, 4> dropSyn{ {
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSyn, 1, 0),
    BPF_STMT(BPF_RET | BPF_K, kWholePacket),
    BPF_STMT(BPF_RET | BPF_K, 0),
  } };
  const sock_fprog program{ .len = dropSyn.size(), .filter = dropSyn.data() };
  setsockopt(this->acceptor.native_handle(),
             SOL_SOCKET,
             SO_ATTACH_FILTER,
             &program,
             sizeof(program));
}

void
TcpListener::AcceptUntil(std::chrono::steady_clock::time_point aEnd)
{
  pollfd state{ this->acceptor.native_handle(), POLLIN, 0 };
  std::chrono::milliseconds left{ 0 };
  do {
    this->AcceptEstablished();
    left = std::chrono::ceil<std::chrono::milliseconds>(
      aEnd - std::chrono::steady_clock::now());
  } while (this->acceptor.is_open() && left.count() > 0 &&
           poll(&state, 1, static_cast<int>(left.count())) > 0);
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
