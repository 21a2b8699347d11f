#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace fireflytrail::core {

/**
 * Makes a connection fail if the other side stays silent: if sent bytes are not
 * acknowledged for `aTimeout`, or if an idle connection does not answer three
 * seconds of keep-alive probes. A connection can go silent without a reset when
 * the other host loses power or the path is cut. The socket must be open.
 * `aTimeout` must be above 0. Errors are ignored. Not thread-safe.
 */
void
EnableDeadPeerDetection(boost::asio::ip::tcp::socket& aSocket,
                        std::chrono::milliseconds aTimeout);

} // namespace fireflytrail::core
