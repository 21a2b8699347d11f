#pragma once

#include <string>

namespace fireflytrail::proxy {

/** Describes a daemon's host. */
struct PeerHost
{
  std::string name;
  /**
   * Whether the host can read the store and dispatch services for the whole
   * fleet; such a host is called strong.
   */
  bool isStrong = false;
  std::string failureDomain;
};

} // namespace fireflytrail::proxy
