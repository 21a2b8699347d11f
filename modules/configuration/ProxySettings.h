#pragma once

#include "configuration/Checked.h"
#include "configuration/Endpoint.h"
#include "configuration/OrderOfService.h"
#include "core/Log.h"

#include <chrono>
#include <optional>
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
  /** Address for callers. */
  Endpoint listen;
  /** Address for readiness checks by the platform's load balancer. */
  Endpoint readyListen;
  /** Address for metrics, state dump and status. */
  Endpoint operatorListen;
  /** Address for other daemons. */
  Endpoint peerListen;
  /** Addresses of some other hosts, to be contacted first. Their ports are
   * ignored, since all daemons use the same peer port. */
  std::vector<Endpoint> seedPeers;
  core::LogLevel logLevel = core::LogLevel::Info;
  /** Maximum bytes of log lines per second; lines above this are counted and
   * dropped. */
  std::size_t logBytesPerSecond = 65'536;
  /** Maximum duration of a graceful stop; `stop_limit_s`, which may be a
   * fraction, or `stop_limit_ms` in the text. */
  std::chrono::milliseconds stopLimit{ 6000 };
  /** Time between two reports of a server to the store. */
  std::chrono::milliseconds reportInterval{ 1500 };
  /** Retries that the whole fleet may send per request in any 10 s. */
  double retryRatio = 0.2;
  /** Retries that the whole fleet may send in any 10 s in addition, regardless
   * of the number of requests. */
  double freeRetries = 64;
  /** Share of a service's requests that a new version gets until there is
   * evidence on it, and thus at least the share that a bad version gets before
   * it is recognized. */
  double trialShare = 0.1;
  /** Processor cores that the host grants the daemon; may be a fraction. */
  double processorShare = 1;
  /** Memory that the host grants the daemon, in megabytes of 2^20 bytes. */
  double memoryMegabytes = 256;
  /** Descriptors that the host grants the daemon; 0 if that is not known. */
  std::size_t maxDescriptors = 0;
  /** Most connections of callers; 0 derives it from memory and descriptors. */
  std::size_t maxCallerConnections = 0;
  /** Most connections to `readyListen`, and to `operatorListen`. */
  std::size_t maxOperatorConnections = 64;
  /** Most connections from other daemons; 0 derives it from memory and
   * descriptors. */
  std::size_t maxPeerConnections = 0;
  /** Bandwidth of the host's link, in Mbit/s. */
  double linkMegabitsPerSecond = 1000;
  /** Minimum number of entry hosts among which budgets of the whole fleet are
   * divided; also applies if fewer hosts are known. */
  unsigned expectedHosts = 19;
  /** Address of the platform that takes reports of usage; nothing is reported
   * without one. */
  std::optional<Endpoint> usageReportAddress;
  /** Length of a window of usage; `usage_window_ms` or `usage_window_s`. */
  std::chrono::milliseconds usageWindow{ 60'000 };
  /** Time after the end of a window in which its report is due;
   * `usage_late_ms` or `usage_late_s`. */
  std::chrono::milliseconds usageLate{ 30'000 };
  /** Reports of usage that the platform takes in a second. */
  double usageCallsPerSecond = 1;
  /** Time for which a lease in the store holds after its last renewal. */
  std::chrono::milliseconds lease{ 3000 };
  /** Order of the requests that wait for servers; `order_of_service` in the
   * text, `newest_first` or `by_worth`. Read at the start only. */
  OrderOfService orderOfService = OrderOfService::NewestFirst;

  /**
   * Parses and checks settings. On failure the result holds every error found,
   * in line order. Thread-safe.
   */
  static Checked<ProxySettings> Parse(std::string_view aText);

  /**
   * Returns whether the host has enough bandwidth and processor time to work
   * for all other hosts: to read the store and dispatch requests of services. A
   * batch of changes for 100 hosts is up to 1.5 MB, which takes more than a
   * second on a link of 10 Mbit/s. Thread-safe.
   */
  bool IsStrong() const;

  /**
   * Returns the bytes that bodies of requests and answers may take together.
   * The rest is for the daemon itself and for copies while a body of unknown
   * length grows. Thread-safe.
   */
  std::size_t BodyMemoryBytes() const;

  /**
   * Returns how many connections of callers may be open at once: as many as
   * `maxCallerConnections` says, else as the memory and the descriptors allow,
   * of which none count if `maxDescriptors` is 0. The rest of the descriptors
   * is for files and for connections to servers, other daemons and the store.
   * Thread-safe.
   */
  std::size_t MaxCallerConnections() const;

  /** Returns how many connections from other daemons may be open at once.
   * Thread-safe. */
  std::size_t MaxPeerConnections() const;

  /** Returns the bytes that the kernel may keep of all connections of callers,
   * in each direction, until they are read or acknowledged. Thread-safe. */
  std::size_t SocketMemoryBytes() const;

  /**
   * Returns the bytes that heads and buffers of connections may take beyond
   * those that are left of bodies. Thread-safe.
   */
  std::size_t BufferMemoryBytes() const;
};

} // namespace fireflytrail::configuration
