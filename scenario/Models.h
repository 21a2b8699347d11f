#pragma once

#include "core/ErrorKind.h"
#include "core/Hooks.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fireflytrail::scenario {

using std::chrono::microseconds;

/** An entry of `calls` in a script: one kind of call. */
struct CallModel
{
  std::string name;
  std::string service;
  bool atMostOnce = false;
  bool repeatable = false;
  /** Every server that runs the call crashes. */
  bool crashes = false;
  microseconds deadline{ 0 };
  unsigned requestBytes = 0;
  unsigned answerBytes = 0;
};

/** An entry of `services` in a script. */
struct ServiceModel
{
  std::string name;
  unsigned slots = 0;
  microseconds serviceTime{ 0 };
  microseconds connectTime{ 0 };
  microseconds restartTime{ 0 };
  /** Calls to other services that each run makes, in this order. */
  std::vector<std::string> nestedCalls;
  /** All services reachable through nested calls, without this one. */
  std::set<std::string> reachableServices;
  /**
   * How a server ends a request whose nested call failed: `answer` (with status
   * 500) or `reset`.
   */
  std::string nestedFailureMode;
};

/** One send of a call, as it travels through daemons to a server. */
struct SimulatedRequest
{
  const CallModel* call = nullptr;
  /** Identity of the logical call, the same for all its resends. */
  std::uint64_t logicalCall = 0;
  /**
   * What a "not run" answer applies to: the ticket, or the single send if there
   * is no ticket. The answer is false if a server runs a request with this key.
   */
  std::string runKey;
  std::string ticket;
  std::uint64_t digest = 0;
  core::TimePoint deadline;
  unsigned attempt = 0;
  bool forwarded = false;
  /**
   * Time that the request that makes this nested call had left when it arrived
   * at its server; zero for a call from outside.
   */
  microseconds parentTimeLeft{ 0 };
};

/** Reply to a caller: the status of an answer, or an error kind. */
struct SimulatedReply
{
  core::ErrorKind kind = core::ErrorKind::None;
  unsigned status = 0;
  /** The connection broke or the caller timed out; the outcome is unknown. */
  bool isLost = false;
};

/** Simulated desired state document: what operators have requested. */
struct SimulatedDesiredState
{
  std::uint64_t version = 1;
  std::set<std::string> domainsOut;
  /** Share of traffic for servers of the new version, by service. */
  std::map<std::string, double> newVersionShare;
};

} // namespace fireflytrail::scenario
