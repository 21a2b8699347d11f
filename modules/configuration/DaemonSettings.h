#pragma once

#include "configuration/Checked.h"
#include "configuration/Endpoint.h"
#include "configuration/OperatorText.h"
#include "core/Log.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace fireflytrail::configuration {

/** Settings of one entry daemon, read once at its start. */
struct DaemonSettings
{
  std::string name;
  std::string region;
  std::string failureDomain;
  Endpoint store;
  /** Callers' address. Port 0 lets the system choose. */
  Endpoint listen;
  Endpoint peerListen;
  Endpoint operatorListen;
  /**
   * Peer addresses of some other daemons by name. A daemon that starts while
   * the store is down has no host list and finds its first peers here.
   */
  std::map<std::string, Endpoint> peers;
  unsigned trafficThreads = 1;
  core::LogLevel logLevel = core::LogLevel::Info;
  /** Upper bound of a planned stop. */
  std::chrono::milliseconds drainLimit{ 30'000 };

  /**
   * Parses and checks settings. On failure the result holds every error found,
   * in line order. Thread-safe.
   */
  static Checked<DaemonSettings> Parse(std::string_view aText);

  /**
   * Returns what is wrong with these settings under an operators' text: an
   * unknown failure domain, another region, or a drain limit below the largest
   * deadline, which would cut off a call. The errors have no line. Thread-safe.
   */
  std::vector<TextError> CheckAgainst(const OperatorText& aText) const;
};

} // namespace fireflytrail::configuration
