#include "configuration/Endpoint.h"

#include <fmt/format.h>

#include <arpa/inet.h>

#include <charconv>

namespace fireflytrail::configuration {

std::optional<Endpoint>
Endpoint::Parse(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint;
  const std::string_view port = aText.substr(colon + 1);
  const auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (error != std::errc{} || end != port.data() + port.size()) {
    return std::nullopt;
  }
  std::string_view address = aText.substr(0, colon);
  const bool isBracketed =
    address.size() > 2 && address.front() == '[' && address.back() == ']';
  if (isBracketed) {
    address = address.substr(1, address.size() - 2);
  }
  endpoint.address = address;
  in6_addr parsed{};
  if (inet_pton(isBracketed ? AF_INET6 : AF_INET,
                endpoint.address.c_str(),
                &parsed) != 1) {
    return std::nullopt;
  }
  return endpoint;
}

std::string
Endpoint::ToString() const
{
  const bool isIpv6 = this->address.find(':') != std::string::npos;
  return isIpv6 ? fmt::format("[{}]:{}", this->address, this->port)
                : fmt::format("{}:{}", this->address, this->port);
}

} // namespace fireflytrail::configuration
