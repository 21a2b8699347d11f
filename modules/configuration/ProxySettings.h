#pragma once

#include "configuration/Checked.h"
#include "configuration/Endpoint.h"
#include "core/Log.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::configuration {

/** Settings of one entry daemon that serves HTTP routes. */
struct ProxySettings
{
  std::string name;
  std::string failureDomain;
  Endpoint store;
  /** Callers' address. */
  Endpoint listen;
  /** Address that the platform's balancer asks whether the daemon is ready. */
  Endpoint readyListen;
  /** Address of metrics, dump and status. */
  Endpoint operatorListen;
  /** Address for other daemons. */
  Endpoint peerListen;
  /** Addresses of some other hosts, whose daemons use the same peer port. */
  std::vector<Endpoint> firstPeers;
  core::LogLevel logLevel = core::LogLevel::Info;
  /** Bytes of log lines a second; lines beyond it are counted and dropped. */
  std::size_t logBytesPerSecond = 65'536;
  /** Upper bound of a planned stop. */
  std::chrono::milliseconds stopLimit{ 6000 };
  /** Retries of the whole fleet for each request, in any 10 s. */
  double retryRatio = 0.2;
  /** Retries of the whole fleet in any 10 s that need no requests. */
  double freeRetries = 64;
  /** Least part of a service's requests that a bad version may get. */
  double trialShare = 0.1;
  /** Part of a processor core that the host gives the daemon. */
  double processorShare = 1;
  /** Bandwidth of the host's link, in Mbit/s. */
  double linkMegabits = 1000;
  /** Entry hosts that share budgets when their number is not known. */
  unsigned expectedHosts = 19;

  /**
   * Parses and checks settings. On failure the result holds every error found,
   * in line order. Thread-safe.
   */
  static Checked<ProxySettings> Parse(std::string_view aText);

  /**
   * Whether the host can carry work for all others: reading the store and
   * dispatching services. A batch of changes for 100 hosts is up to 1.5 MB,
   * more than a second on a link of 10 Mbit/s. Thread-safe.
   */
  bool IsStrong() const;
};

} // namespace fireflytrail::configuration
