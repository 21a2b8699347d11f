#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fireflytrail::wire {

/** Requests that servers began to run in a window, by organisation. */
struct UsageWindow
{
  std::uint64_t window = 0;
  std::map<std::string, std::uint64_t, std::less<>> counts;
  /** Nothing will be added, and these are all counts. */
  bool isComplete = false;

  bool operator==(const UsageWindow&) const = default;
};

/** Growing counters of one lifetime of a daemon. */
struct UsageLifetime
{
  /** `core::DaemonId::start` of the daemon. */
  std::uint64_t start = 0;
  /** Hash of the host's name. */
  std::uint64_t host = 0;
  std::vector<UsageWindow> windows;

  bool operator==(const UsageLifetime&) const = default;
};

/** Counters that a daemon has; only those that the receiver may lack. */
struct UsageNews
{
  std::vector<UsageLifetime> lifetimes;
  /** The sender's corrected time of day, since the epoch. */
  std::chrono::microseconds time{ 0 };

  bool operator==(const UsageNews&) const = default;
};

} // namespace fireflytrail::wire
