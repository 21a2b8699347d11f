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
  /** Address for callers. With port 0 the system chooses the port. */
  Endpoint listen;
  Endpoint peerListen;
  Endpoint operatorListen;
  /**
   * Peer addresses of some other daemons by name. A daemon that starts while
   * the store is down has no host list and contacts these peers first.
   */
  std::map<std::string, Endpoint> peers;
  unsigned trafficThreads = 1;
  core::LogLevel logLevel = core::LogLevel::Info;
  /** Maximum duration of a graceful stop. */
  std::chrono::milliseconds drainLimit{ 30'000 };

  /**
   * Parses and checks settings. On failure the result holds every error found,
   * in line order. Thread-safe.
   */
  static Checked<DaemonSettings> Parse(std::string_view aText);

  /**
   * Checks these settings against an operators' text. Errors are an unknown
   * failure domain, a region that does not contain it, and a drain limit below
   * the largest deadline, which would abort calls. The errors have line 0.
   * Thread-safe.
   */
  std::vector<TextError> CheckAgainst(const OperatorText& aText) const;
};

} // namespace fireflytrail::configuration
