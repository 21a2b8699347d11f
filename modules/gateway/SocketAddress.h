#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace fireflytrail::gateway {

/** Parses `IP:PORT` or `[IPV6]:PORT`; returns nothing for any other text.
 * Thread-safe. */
std::optional<boost::asio::ip::tcp::endpoint>
ParseSocketAddress(std::string_view aText);

/** Returns the text that `ParseSocketAddress` reads. Thread-safe. */
std::string
FormatSocketAddress(const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace fireflytrail::gateway
