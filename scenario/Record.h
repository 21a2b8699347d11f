#pragma once

#include "core/ErrorKind.h"
#include "scenario/Models.h"

#include <map>
#include <string>
#include <vector>

namespace fireflytrail::scenario {

/** Everything that expectations are judged by. Times are since the start. */
struct Record
{
  struct Run
  {
    microseconds at;
    std::uint64_t sale;
    std::string runKey;
    std::string call;
    std::string server;
    std::string domain;
  };
  struct Reply
  {
    microseconds at;
    microseconds sentAt;
    std::uint64_t sale;
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

  /** Kept by the servers themselves, independent of the code under test. */
  std::vector<Run> runs;
  std::vector<Reply> replies;
  /** Attempts that daemons sent, by service. */
  std::map<std::string, std::vector<Attempt>> attempts;
  /** Kinds with which daemons ended calls, heard by the caller or not. */
  std::map<core::ErrorKind, std::uint64_t> ended;
  /** Deaths of servers by the call that crashed them; "" for a step. */
  std::map<std::string, std::uint64_t> deaths;
  /** Calls, other than the crashing one, on servers when they died. */
  std::uint64_t besideDeaths = 0;
  std::uint64_t deadlineFaults = 0;
  std::uint64_t writesAccepted = 0;
  std::uint64_t writeConflicts = 0;
  std::uint64_t writesFailed = 0;
  /** Calls started by callers, by call. */
  std::map<std::string, std::uint64_t> startedCalls;
};

} // namespace fireflytrail::scenario
