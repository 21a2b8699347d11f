#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflytrail::configuration {

/** An IP address and a TCP port. */
struct Endpoint
{
  /** IPv4 or IPv6 address without brackets. */
  std::string address;
  std::uint16_t port = 0;

  /**
   * Parses `IPV4:PORT` or `[IPV6]:PORT`. Host names are rejected, because
   * processes connect to each other by IP address only. Thread-safe.
   */
  static std::optional<Endpoint> Parse(std::string_view aText);

  /** Returns the form that `Parse` accepts. Thread-safe. */
  std::string ToString() const;

  bool operator==(const Endpoint&) const = default;
};

} // namespace fireflytrail::configuration
