#pragma once

#include "calls/CrashGuard.h"
#include "calls/TicketLedger.h"
#include "configuration/DaemonSettings.h"
#include "configuration/DesiredState.h"
#include "configuration/OperatorText.h"
#include "core/DaemonId.h"
#include "core/Log.h"
#include "daemon/DrainSequence.h"
#include "daemon/GossipRecords.h"
#include "daemon/Metrics.h"
#include "daemon/MoveController.h"
#include "daemon/OperatorEndpoint.h"
#include "daemon/RoutingTableFactory.h"
#include "daemon/StoreFeed.h"
#include "daemon/TrafficHooks.h"
#include "daemon/TrafficStateFactory.h"
#include "gateway/PeerHub.h"
#include "gossip/GossipNode.h"
#include "routing/HealthMonitor.h"
#include "routing/ServiceActivity.h"
#include "statechart/Machine.h"
#include "store/HostList.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fireflytrail::daemon {

class TrafficThread;

/**
 * Owns the control state of an entry daemon and publishes snapshots of it to
 * the traffic threads. The thread that calls `Run` becomes the control thread.
 */
class Controller
{
public:
  /** `aSettings` must be valid. `aLog` must outlive the controller. */
  Controller(const configuration::DaemonSettings& aSettings,
             const core::Log& aLog);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /** Binds the addresses. Returns false and logs the error if one is not
   * available. Call once. */
  bool Open();

  /** Makes SIGTERM and SIGINT request a graceful stop, also if they have
   * arrived while held back (see `core::StopSignals`). Call before `Run`. */
  void StopOnSignals();

  /**
   * Serves until a stop has been requested and all calls in progress have ended
   * or the drain limit is reached. `Open` must have succeeded. Call once.
   */
  void Run();

  /** Starts a graceful stop. Callable from any thread. */
  void RequestStop();

  /** The bound addresses; `Open` must have succeeded. */
  boost::asio::ip::tcp::endpoint CallerEndpoint() const;
  boost::asio::ip::tcp::endpoint PeerEndpoint() const;
  boost::asio::ip::tcp::endpoint OperatorEndpointAddress() const;

private:
  void StartTimers();
  void SchedulePeriodic(boost::asio::steady_timer& aTimer,
                        std::chrono::milliseconds aInterval,
                        std::function<void()> aFunction);

  void OnDesiredState(std::uint64_t aVersion, const std::string& aDocument);
  void OnHostList(const std::string& aText);
  void OnRecord(const core::DaemonId& aOrigin, const gossip::Record& aRecord);
  void OnForwardedCall(wire::ForwardCall aCall,
                       gateway::PeerHubHooks::ReplyFunction aReply);
  void OnHealthTick();
  void OnGossipTick();
  void OnRefreshTick();
  void RecordAttempt(const AttemptRecord& aRecord);
  void WriteMoveState(const std::string& aId,
                      configuration::MoveState aState,
                      const std::string& aReason);

  void RebuildTable();
  void Publish();
  void OnApplied(std::uint64_t aVersion, std::uint64_t aPublicationNumber);
  core::ErrorKind RefusalKind() const;
  bool HasInitialSyncEnded() const;

  void RunAction(std::string_view aAction);
  void BeginStop();

  std::string DumpText() const;
  std::string StatusText() const;
  std::string MetricsText();

  configuration::DaemonSettings settings;
  const core::Log& log;
  core::RandomFunction random;
  core::DaemonId self;
  boost::asio::io_context context{ 1 };
  boost::asio::signal_set signals;
  boost::asio::steady_timer healthTimer;
  boost::asio::steady_timer gossipTimer;
  boost::asio::steady_timer moveTimer;
  boost::asio::steady_timer refreshTimer;
  DrainSequence drain;
  Metrics metrics;
  calls::TicketLedger ledger;
  calls::CrashGuard guard;
  TrafficHooks trafficHooks;
  std::shared_ptr<gateway::PeerHub> hub;
  std::unique_ptr<gossip::GossipNode> node;
  std::unique_ptr<GossipRecords> records;
  std::unique_ptr<routing::HealthMonitor> health;
  std::unique_ptr<routing::ServiceActivity> activity;
  std::unique_ptr<MoveController> moves;
  std::unique_ptr<StoreFeed> feed;
  std::unique_ptr<OperatorEndpoint> endpoint;
  RoutingTableFactory tableFactory;
  statechart::Machine machine;
  std::uint64_t desiredVersion = 0;
  configuration::DesiredState desired;
  std::optional<configuration::OperatorText> text;
  store::HostList hosts;
  std::shared_ptr<const routing::RoutingTable> table;
  TrafficStateFactory stateFactory;
  std::vector<std::string> entryHosts;
  std::vector<std::unique_ptr<TrafficThread>> threads;
  std::size_t nextForwardThread = 0;
  bool isTableOutdated = false;
  /** Whether the daemon no longer waits for its first exchange with a peer; see
   * `HasInitialSyncEnded`. */
  bool hasInitialSyncEnded = false;
  core::TimePoint startedAt;
  std::uint64_t publicationNumber = 0;
  std::size_t appliedThreads = 0;
};

} // namespace fireflytrail::daemon
