#pragma once

#include <chrono>
#include <string>

namespace fireflytrail::daemon {

/**
 * One attempt at a server, as evidence about the server's version. Attempts
 * that the server refused or that failed to connect are not recorded.
 */
struct AttemptRecord
{
  std::string serverId;
  std::string service;
  std::string call;
  std::string version;
  std::string failureDomain;
  bool isFailure = false;
  std::chrono::steady_clock::duration duration{};
};

} // namespace fireflytrail::daemon
