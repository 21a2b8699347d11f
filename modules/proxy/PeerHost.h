#pragma once

#include <string>

namespace fireflytrail::proxy {

/** What is known of the host of another daemon. */
struct PeerHost
{
  std::string name;
  /** Whether it can carry work for all others. */
  bool isStrong = false;
  std::string failureDomain;
};

} // namespace fireflytrail::proxy
