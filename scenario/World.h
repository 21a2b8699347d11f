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

/** Chooses a server for one daemon process; see `ServerChooser.h`. */
using ChooseServerFunction = std::function<core::Result<calls::ServerHandle>(
  DaemonProcess&,
  const std::string&,
  std::span<const std::uint64_t>)>;

/**
 * Callback for the end of each attempt at a server. Arguments: the daemon
 * process, the server's key, the attempt's progress, the server's reply with
 * its load report, and the duration of the attempt.
 */
using AttemptEndedFunction = std::function<void(DaemonProcess&,
                                                std::uint64_t,
                                                calls::AttemptProgress,
                                                const ServerReply&,
                                                microseconds)>;

/** The simulation: clock, network, store, daemons, servers and callers. */
class World
{
public:
  /**
   * Builds the topology and lets the daemons run until they know each other.
   * Throws `std::runtime_error` on an invalid script.
   */
  World(const boost::json::object& aScript, std::uint64_t aSeed);

  std::uint64_t NextId() { return ++this->lastId; }

  SimulatedServer* ServerByKey(std::uint64_t aKey);
  /** Returns null if there is no such daemon. */
  SimulatedDaemon* FindDaemon(const std::string& aName);
  SimulatedDaemon& RandomDaemon();

  /** Returns the one-way latency between two failure domains. */
  microseconds Latency(const std::string& aFrom, const std::string& aTo) const;
  /** Returns the latency of one message between daemons, with random jitter. */
  microseconds MessageDelay(const std::string& aFrom, const std::string& aTo);
  bool IsPartitioned(const SimulatedDaemon& aFrom,
                     const SimulatedDaemon& aTo) const;
  /** Runs an event at the arrival of a message, unless the message is lost. */
  void SendMessage(const SimulatedDaemon& aFrom,
                   const SimulatedDaemon& aTo,
                   std::function<void()> aEvent);

  /**
   * Decides whether the connection of the next attempt fails. If so, returns
   * the number of bytes of request and answer that get through before.
   */
  std::optional<unsigned> DrawConnectionFailure(const CallModel& aCall);

  /**
   * Makes a nested call for a server that runs `aParent`. `aDone` receives
   * whether it succeeded before the deadline of `aParent`.
   */
  void CallFromServer(const SimulatedRequest& aParent,
                      microseconds aParentTimeLeft,
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
  /** Maximum random delay that is added to each message of callers or peers. */
  microseconds clientJitter{ 0 };
  microseconds peerJitter{ 0 };
  /** Share of messages between daemons that are lost. */
  double messageLoss = 0.0;
  /** Pairs of daemons in different partitions, each pair in both orders. */
  std::set<std::pair<std::string, std::string>> partitionedPairs;
  /** Share of attempts whose connection fails at a random byte. */
  double connectionFailureShare = 0.0;
  /**
   * If set, each attempt fails one byte later than the one before; after the
   * last byte of an answer it starts again at byte 0.
   */
  std::optional<unsigned> nextFailAtByte;
  bool answersAreInvalid = false;

  bool storeIsUp = true;
  microseconds storeLatency{ 2000 };
  /**
   * Share of the store's answers that are lost after the write was applied. Not
   * used, because the loss does not change the recorded outcome; see
   * `WriteDesiredState`.
   */
  double storeAnswerLoss = 0.0;
  SimulatedDesiredState desiredState;
  /** All versions that the store has held, by version number. */
  std::map<std::uint64_t, SimulatedDesiredState> desiredStates{
    { 1, desiredState }
  };

private:
  void ReadServices(const boost::json::object& aServices);
  void ReadCalls(const boost::json::object& aCalls);
  void AddReachableServices(const std::string& aService,
                            std::set<std::string>& aInto);

  std::uint64_t lastId = 0;
};

} // namespace fireflytrail::scenario
