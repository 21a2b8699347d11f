#pragma once

#include <chrono>
#include <string>

namespace fireflytrail::daemon {

/** One attempt at a server that ended with a whole answer or was lost. */
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
