#pragma once

#include "core/ErrorKind.h"
#include "scenario/Models.h"

#include <map>
#include <string>
#include <vector>

namespace fireflytrail::scenario {

/**
 * Events of a simulation run, from which expectations are evaluated. Times
 * count from the start of the scenario.
 */
struct Record
{
  struct Run
  {
    microseconds at;
    std::uint64_t logicalCall;
    std::string runKey;
    std::string call;
    std::string server;
    std::string domain;
  };
  struct Reply
  {
    microseconds at;
    microseconds sentAt;
    std::uint64_t logicalCall;
    std::string runKey;
    std::string call;
    SimulatedReply reply;
    bool isFirstSend;
  };
  struct Attempt
  {
    microseconds at;
    bool isRetry;
  };

  /** Recorded by the servers, independently of the code under test. */
  std::vector<Run> runs;
  std::vector<Reply> replies;
  /** Attempts that daemons started, by service. */
  std::map<std::string, std::vector<Attempt>> attempts;
  /** Calls that daemons ended, by kind, also if no reply reached the caller. */
  std::map<core::ErrorKind, std::uint64_t> ended;
  /** Server deaths, by the call that crashed the server, or "" for a step. */
  std::map<std::string, std::uint64_t> deaths;
  /**
   * Calls other than the crashing one that were on a server, or on the way to
   * it, when it died.
   */
  std::uint64_t collateralCalls = 0;
  std::uint64_t deadlineFaults = 0;
  std::uint64_t writesAccepted = 0;
  std::uint64_t writeConflicts = 0;
  std::uint64_t writesFailed = 0;
  /** Logical calls that callers started, by name of the call. */
  std::map<std::string, std::uint64_t> startedCalls;
};

} // namespace fireflytrail::scenario
