#pragma once

#include "calls/CrashGuard.h"
#include "calls/RetryBudget.h"
#include "calls/TicketLedger.h"
#include "configuration/ProxySettings.h"
#include "configuration/RouteConfiguration.h"
#include "configuration/SettingsFile.h"
#include "core/DaemonId.h"
#include "core/Log.h"
#include "daemon/Metrics.h"
#include "daemon/OperatorEndpoint.h"
#include "gateway/CallerSession.h"
#include "gateway/SocketBuffers.h"
#include "proxy/LoadProber.h"
#include "proxy/PauseGuard.h"
#include "proxy/PeerNetwork.h"
#include "proxy/PlatformAdapter.h"
#include "proxy/ProxyShared.h"
#include "proxy/RetryBudgets.h"
#include "proxy/RolloutDriver.h"
#include "proxy/SlotBroker.h"
#include "proxy/StopSchedule.h"
#include "proxy/StoreRelay.h"
#include "proxy/StoreView.h"
#include "proxy/UsageReporter.h"
#include "routing/SplitSelector.h"
#include "routing/TransferSizes.h"
#include "store/ObjectWatcher.h"
#include "store/StoreTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fireflytrail::core {
class MemoryBudget;
} // namespace fireflytrail::core

namespace fireflytrail::gateway {
class TcpListener;
class ServerPool;
}

namespace fireflytrail::proxy {

class RequestRunner;

/**
 * The entry daemon for HTTP routes. All work runs on the thread that calls
 * `Run`: hosts have one core, and a second thread would cost them memory and
 * context switches.
 */
class ProxyDaemon
{
public:
  using SettingsFile =
    configuration::SettingsFile<configuration::ProxySettings>;

  /**
   * `aSettings` must have passed the checks of `ProxySettings::Parse`. `aLog`
   * must outlive the daemon. `aSettingsFile` is read for a reload.
   */
  ProxyDaemon(const configuration::ProxySettings& aSettings,
              PlatformAdapter aPlatform,
              const core::Log& aLog,
              SettingsFile aSettingsFile);
  ~ProxyDaemon();
  ProxyDaemon(const ProxyDaemon&) = delete;
  ProxyDaemon& operator=(const ProxyDaemon&) = delete;

  /**
   * Binds the addresses. Waits for an address that is in use, in case a
   * predecessor is stopping. Returns false and logs the reason if one is not
   * available, or if a stop is requested meanwhile. Call once.
   */
  bool Open();

  /**
   * Serves until SIGTERM or SIGINT, and then until the requests in progress
   * have ended or the stop limit is near. `Open` must have succeeded. Call
   * once.
   */
  void Run();

private:
  void ListenForSignals();
  void OnObjects(const std::string& aKind,
                 const std::vector<store::ObjectRecord>& aObjects);
  void OnPeerMessage(const core::DaemonId& aFrom,
                     const wire::WireMessage& aPeerMessage);
  /** Logs the sizes of received configurations, to explain late ones. */
  void LogUpdate(const std::string& aFrom,
                 const wire::StoreNews& aUpdate) const;
  void OnHeartbeatTimer();
  /** Calls the relay and watches the store if this daemon should. */
  void RunRelay();
  /** Calls `RunRelay` at a time unless it is to be called before. */
  void ScheduleRelay(core::TimePoint aDue);
  store::WatcherHooks MakeWatcherHooks();
  void Measure(const routing::BackendInstance& aInstance,
               LoadProber::MeasuredFunction aOnMeasured);
  StoreRelayHooks MakeRelayHooks();
  SlotBrokerHooks MakeBrokerHooks();
  RolloutDriverHooks MakeRolloutHooks();
  void WriteRolloutState(
    const routing::RolloutOrder& aOrder,
    std::function<void(std::optional<unsigned>)> aOnWritten);
  void OnRolloutVerdict(const routing::RolloutOrder& aOrder,
                        const std::string& aWhy);
  void UpdateRollouts();
  void UpdateBroker();
  void ScheduleExpiredRemoval();

  gateway::CallerSessionHooks::CancelFunction Handle(
    gateway::CallRequest aCall,
    gateway::CallerSessionHooks::AnswerFunction aOnAnswer);
  /** See `ProxyShared::mayStart`. */
  bool MayStart(const configuration::HttpRoute& aRoute,
                core::TimePoint aExpectedEnd,
                core::TimePoint aLatestEnd) const;
  /** See `ProxyShared::identifyCaller`; a configuration must be in force. */
  core::ErrorKind IdentifyCaller(gateway::CallRequest& aCall,
                                 const configuration::HttpRoute& aRoute);
  std::shared_ptr<gateway::ServerPool> PoolOf(
    const routing::BackendInstance& aInstance);
  /** Returns the largest plausible number of hosts. */
  std::size_t HostCount() const;
  calls::RetryBudget::Allowance RetryAllowance() const;

  void BeginStop(int aSignal);
  void CheckStop();
  void CloseIdleSessions();
  /** Logs the requests and connections that the end of the process cuts. */
  void ReportCutRequests();
  /** Closes connections of callers that are expected to send no request; they
   * lose nothing. */
  void MakeRoom();
  /** Sets the kernel's buffers of all callers' connections if their number
   * calls for another size. */
  void UpdateSocketBuffers();
  /** Ends the requests that hold most memory for least progress. */
  void RelieveMemory();
  /** Returns free memory to the system after a peak. */
  void ReturnMemory();
  void OnCallerConnected(boost::asio::ip::tcp::socket aSocket);
  /** Logs that accepting failed for the first time in a while. */
  void OnAcceptFailed(boost::system::error_code aError);
  void UpdateKeepAliveTime();
  void ReloadSettings();
  void OnSettingsUnreadable(const SettingsFile::Content& aContent);
  void ScheduleSettingsCheck();
  void LogPeerTraffic() const;

  std::string MetricsText();
  std::string DumpText() const;

  configuration::ProxySettings settings;
  PlatformAdapter platform;
  const core::Log& log;
  SettingsFile settingsFile;
  boost::asio::io_context context{ 1 };
  boost::asio::signal_set signals;
  boost::asio::steady_timer stopTimer;
  boost::asio::steady_timer expiryTimer;
  boost::asio::steady_timer settingsTimer;
  boost::asio::steady_timer rereadTimer;
  boost::asio::steady_timer heartbeatTimer;
  boost::asio::steady_timer relayTimer;
  /** Whether `relayTimer` is waiting. */
  bool isRelayScheduled = false;
  /** Whether this daemon watched the store when that was last checked. */
  bool wasWatching = false;
  boost::asio::steady_timer rolloutTimer;
  core::DaemonId self;
  PeerNetwork peers;
  daemon::Metrics metrics;
  daemon::CallMetrics callMetrics;
  daemon::OrganisationMetrics organisationMetrics;
  calls::TicketLedger ledger;
  calls::CrashGuard guard;
  routing::TransferSizes transferSizes;
  LoadProber prober;
  RolloutDriver rollouts;
  SlotBroker broker;
  ProxyShared shared;
  /** Bounds the bodies of requests and answers. */
  std::shared_ptr<core::MemoryBudget> bodyMemory;
  store::StoreTransport transport;
  std::unique_ptr<store::ObjectWatcher> watcher;
  std::unique_ptr<StoreRelay> relay;
  /** Null if no usage is reported. */
  std::unique_ptr<UsageReporter> usage;
  StoreView storeView;
  PauseGuard pauseGuard;
  std::shared_ptr<gateway::CallerSessionHooks> sessionHooks;
  std::shared_ptr<gateway::TcpListener> listener;
  std::vector<std::weak_ptr<gateway::CallerSession>> sessions;
  std::unique_ptr<daemon::OperatorEndpoint> readyEndpoint;
  std::unique_ptr<daemon::OperatorEndpoint> operatorEndpoint;
  RetryBudgets budgets;
  /**
   * By instance id. A changed address shows that another process has replaced
   * the instance's process.
   */
  std::map<std::string,
           std::pair<std::string, std::shared_ptr<gateway::ServerPool>>>
    pools;
  routing::SplitSelector splits;
  std::size_t sessionCount = 0;
  /** Time of the last line about descriptors, and of the last closing of idle
   * sessions because there are too many. */
  core::TimePoint descriptorsLoggedAt{};
  core::TimePoint idleClosedAt{};
  gateway::SocketBuffers socketBuffers;
  /** Time of the last look for requests that stall. */
  core::TimePoint relievedAt{};
  /** Most bytes that connections held since memory was returned. */
  std::size_t peakHeldBytes = 0;
  std::size_t requestCount = 0;
  /** Requests in progress, and some that have ended. */
  std::vector<std::weak_ptr<RequestRunner>> runners;
  /** Errors of the last reading of the settings. */
  std::vector<std::string> settingsErrors;
  /** Readings of an incomplete settings file since the last complete one. */
  int incompleteReadings = 0;
  bool isStopping = false;
  /** Set while this daemon stops. */
  std::optional<StopSchedule> stop;
};

} // namespace fireflytrail::proxy
