#pragma once

#include <string>

namespace fireflytrail::wire {

/** One HTTP header field of a forwarded call or answer. */
struct Header
{
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

} // namespace fireflytrail::wire
