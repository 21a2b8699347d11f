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

/** One kind of call in a script. */
struct CallModel
{
  std::string name;
  std::string service;
  bool atMostOnce = false;
  bool repeatable = false;
  /** Each server that runs it dies. */
  bool crashes = false;
  microseconds deadline{ 0 };
  unsigned requestBytes = 0;
  unsigned answerBytes = 0;
};

/** One service in a script. */
struct ServiceModel
{
  std::string name;
  unsigned slots = 0;
  microseconds serviceTime{ 0 };
  microseconds connectTime{ 0 };
  microseconds restartTime{ 0 };
  /** Calls that each run makes to other services, one after the other. */
  std::vector<std::string> callsBelow;
  /** All services that a call can reach, without this one. */
  std::set<std::string> servicesBelow;
  /** What a server does when a call below fails: answer, reset or refuse. */
  std::string whenBelowFails;
};

/** A request on its way. */
struct SimulatedRequest
{
  const CallModel* call = nullptr;
  /** Identity of the caller's intention, the same for all its resends. */
  std::uint64_t sale = 0;
  /** What a "not run" speaks of: the ticket, or one send without a ticket. */
  std::string runKey;
  std::string ticket;
  std::uint64_t digest = 0;
  core::TimePoint deadline;
  unsigned attempt = 0;
  bool forwarded = false;
  /** Time that the server above had left; zero for a call from outside. */
  microseconds timeLeftAbove{ 0 };
};

/** What a caller gets: an answer's status or an error kind. */
struct SimulatedReply
{
  core::ErrorKind kind = core::ErrorKind::None;
  unsigned status = 0;
  /** The connection to the daemon broke; nothing else is known. */
  bool isLost = false;
};

/** What operators have asked for; stands in for the desired state document. */
struct SimulatedDesire
{
  std::uint64_t version = 1;
  std::set<std::string> domainsOut;
  /** Share of traffic for servers of the new version, for each service. */
  std::map<std::string, double> newVersionShare;
};

} // namespace fireflytrail::scenario
