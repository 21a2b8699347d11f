#include "soak/FaultLink.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace fireflytrail::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t kBufferBytes = 16'384;

void
ResetSocket(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

} // namespace

FaultLink::FaultLink(asio::io_context& aContext)
  : context(aContext)
  , acceptor(aContext)
{
}

void
FaultLink::Open()
{
  this->acceptor =
    tcp::acceptor(this->context, { asio::ip::make_address("127.0.0.1"), 0 });
  this->port = this->acceptor.local_endpoint().port();
  asio::co_spawn(
    this->context,
    [self = this->shared_from_this()] { return self->Accept(); },
    asio::detached);
}

void
FaultLink::Reset()
{
  for (const Socket& socket : std::exchange(this->sockets, {})) {
    ResetSocket(*socket);
  }
}

asio::awaitable<void>
FaultLink::Accept()
{
  for (;;) {
    const auto client = std::make_shared<tcp::socket>(
      co_await this->acceptor.async_accept(asio::use_awaitable));
    asio::co_spawn(
      this->context,
      [self = this->shared_from_this(), client] {
        return self->Connect(client);
      },
      asio::detached);
  }
}

asio::awaitable<void>
FaultLink::Connect(Socket aClient)
{
  const auto upstream = std::make_shared<tcp::socket>(this->context);
  boost::system::error_code error;
  co_await upstream->async_connect(
    this->target, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    ResetSocket(*aClient);
    co_return;
  }
  this->sockets.insert(aClient);
  this->sockets.insert(upstream);
  asio::co_spawn(
    this->context,
    [self = this->shared_from_this(), aClient, upstream] {
      return self->Forward(aClient, upstream, true);
    },
    asio::detached);
  co_await this->Forward(upstream, aClient, false);
}

asio::awaitable<void>
FaultLink::Forward(Socket aFrom, Socket aTo, bool aIsToTarget)
{
  std::array<char, kBufferBytes> buffer{};
  for (;;) {
    boost::system::error_code error;
    const std::size_t count = co_await aFrom->async_read_some(
      asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::eof) {
      // Orderly close of this direction; bytes in the other direction are still
      // forwarded.
      aTo->shutdown(tcp::socket::shutdown_send, error);
      co_return;
    }
    if (error) {
      break;
    }
    if (this->faults.delay.count() > 0) {
      asio::steady_timer timer(this->context, this->faults.delay);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (this->IsDropping(aIsToTarget)) {
      // Dropped bytes are never delivered later, as after a lost network path.
      continue;
    }
    co_await asio::async_write(
      *aTo,
      asio::buffer(buffer.data(), count),
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
  }
  this->sockets.erase(aFrom);
  this->sockets.erase(aTo);
  ResetSocket(*aFrom);
  ResetSocket(*aTo);
}

} // namespace fireflytrail::soak
