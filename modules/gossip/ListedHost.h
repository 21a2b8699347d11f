#pragma once

#include <string>

namespace fireflytrail::gossip {

/** One entry host of the platform's host list, which may be out of date. */
struct ListedHost
{
  std::string name;
  /** Address of the daemon's peer port, `ip:port`. */
  std::string peerAddress;
  bool leaving = false;

  bool operator==(const ListedHost&) const = default;
};

} // namespace fireflytrail::gossip
