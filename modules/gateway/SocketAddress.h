#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace fireflytrail::gateway {

/** Reads `IP:PORT` or `[IPV6]:PORT`; nothing if it is neither. Thread-safe. */
std::optional<boost::asio::ip::tcp::endpoint>
ParseSocketAddress(std::string_view aText);

/** Returns the form that `ParseSocketAddress` reads. Thread-safe. */
std::string
FormatSocketAddress(const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace fireflytrail::gateway
