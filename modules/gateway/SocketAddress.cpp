#include "gateway/SocketAddress.h"

#include "configuration/Endpoint.h"

namespace fireflytrail::gateway {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint>
ParseSocketAddress(std::string_view aText)
{
  const auto endpoint = configuration::Endpoint::Parse(aText);
  if (!endpoint) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(endpoint->address, error);
  if (error) {
    return std::nullopt;
  }
  return tcp::endpoint(address, endpoint->port);
}

std::string
FormatSocketAddress(const tcp::endpoint& aEndpoint)
{
  return configuration::Endpoint{ aEndpoint.address().to_string(),
                                  aEndpoint.port() }
    .ToString();
}

} // namespace fireflytrail::gateway
