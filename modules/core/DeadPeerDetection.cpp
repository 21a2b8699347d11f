#include "core/DeadPeerDetection.h"

#include <boost/asio/detail/socket_option.hpp>

#include <cassert>

namespace fireflytrail::core {

namespace {

constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

} // namespace

void
EnableDeadPeerDetection(boost::asio::ip::tcp::socket& aSocket,
                        std::chrono::milliseconds aTimeout)
{
  using boost::asio::detail::socket_option::integer;
  assert(aTimeout.count() > 0);
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  aSocket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(kKeepAliveIdleSeconds),
                     ignored);
  aSocket.set_option(
    integer<IPPROTO_TCP, TCP_KEEPINTVL>(kKeepAliveIntervalSeconds), ignored);
  aSocket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(kKeepAliveProbes),
                     ignored);
  aSocket.set_option(
    integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(static_cast<int>(aTimeout.count())),
    ignored);
}

} // namespace fireflytrail::core
