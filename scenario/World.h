#pragma once

#include "calls/calls.h"
#include "scenario/Fields.h"
#include "scenario/Models.h"
#include "scenario/Random.h"
#include "scenario/Record.h"
#include "scenario/SimulatedCaller.h"
#include "scenario/SimulatedDaemon.h"
#include "scenario/SimulatedServer.h"
#include "scenario/VirtualClock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace fireflytrail::scenario {

/** Chooses a server for one daemon process; see `ServerChoice.h`. */
using ChooseServerFunction = std::function<core::Result<calls::ServerHandle>(
  DaemonProcess&,
  const std::string&,
  std::span<const std::uint64_t>)>;

/**
 * Receives the end of each attempt at a server: the daemon process, the
 * server's key, how far it got, the server's reply with its report, and the
 * time that it took.
 */
using AttemptEndedFunction = std::function<void(DaemonProcess&,
                                                std::uint64_t,
                                                calls::AttemptProgress,
                                                const ServerReply&,
                                                microseconds)>;

/** The simulated fleet: clock, network, store, daemons, servers, callers. */
class World
{
public:
  /** Builds the topology; throws `std::runtime_error` on a faulty script. */
  World(const boost::json::object& aScript, std::uint64_t aSeed);

  std::uint64_t NextId() { return ++this->lastId; }

  SimulatedServer* ServerOf(std::uint64_t aKey);
  /** Returns null if there is no such daemon. */
  SimulatedDaemon* DaemonOf(const std::string& aName);
  SimulatedDaemon& AnyDaemon();

  /** Returns the one-way latency between two failure domains. */
  microseconds Latency(const std::string& aFrom, const std::string& aTo) const;
  /** Returns the latency of one message between daemons with its jitter. */
  microseconds MessageDelay(const std::string& aFrom, const std::string& aTo);
  bool IsCut(const SimulatedDaemon& aFrom, const SimulatedDaemon& aTo) const;
  /** Delivers an event at another daemon unless it is lost. */
  void SendMessage(const SimulatedDaemon& aFrom,
                   const SimulatedDaemon& aTo,
                   std::function<void()> aEvent);

  /** Returns the byte at which the next connection fails, if it does. */
  std::optional<unsigned> DrawCut(const CallModel& aCall);

  /** Makes a call on behalf of a server that runs a request. */
  void CallFromServer(const SimulatedRequest& aAbove,
                      microseconds aTimeLeftAbove,
                      const std::string& aCall,
                      std::function<void(bool)> aDone);

  VirtualClock clock;
  Random random;
  Record record;
  std::map<std::string, ServiceModel> services;
  std::map<std::string, CallModel> calls;
  std::vector<std::string> domains;
  calls::TicketLimits ticketLimits;
  ChooseServerFunction chooseServer;
  /** Called before the lease of the server is released. */
  AttemptEndedFunction attemptEnded;
  std::vector<std::unique_ptr<SimulatedServer>> servers;
  std::vector<std::string> daemonNames;
  std::vector<std::unique_ptr<SimulatedDaemon>> daemons;
  std::vector<std::unique_ptr<SimulatedCaller>> callers;

  microseconds domainLatency{ 0 };
  microseconds clientLatency{ 0 };
  /** Additional random delay of callers' requests and of peer messages. */
  microseconds clientJitter{ 0 };
  microseconds peerJitter{ 0 };
  /** Share of messages between daemons that are lost. */
  double messageLoss = 0.0;
  /** Pairs of daemon names that cannot reach each other, in both orders. */
  std::set<std::pair<std::string, std::string>> cuts;
  /** Share of attempts whose connection fails at a random byte. */
  double cutShare = 0.0;
  /** If set, each attempt fails one byte later than the one before. */
  std::optional<unsigned> nextCut;
  bool answersAreInvalid = false;

  bool storeIsUp = true;
  microseconds storeLatency{ 2000 };
  /** Share of the store's answers that are lost after it has acted. */
  double storeAnswerLoss = 0.0;
  SimulatedDesire desire;
  /** All versions that the store has held. */
  std::map<std::uint64_t, SimulatedDesire> desires{ { 1, desire } };

private:
  void ReadServices(const boost::json::object& aServices);
  void ReadCalls(const boost::json::object& aCalls);
  void AddBelow(const std::string& aService, std::set<std::string>& aInto);

  std::uint64_t lastId = 0;
};

} // namespace fireflytrail::scenario
