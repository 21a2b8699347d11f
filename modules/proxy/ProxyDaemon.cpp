#include "proxy/ProxyDaemon.h"

#include "core/ErrorTable.h"
#include "core/MemoryBudget.h"
#include "core/SignalName.h"
#include "core/StopSignals.h"
#include "daemon/AddressBinder.h"
#include "gateway/ServerPool.h"
#include "gateway/SocketAddress.h"
#include "gateway/TcpListener.h"
#include "proxy/CallerIdentity.h"
#include "proxy/RequestRunner.h"
#include "store/StoreRevision.h"

#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <csignal>
#include <random>
#include <utility>

#include <malloc.h>

namespace fireflytrail::proxy {

namespace json = boost::json;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using core::ErrorKind;
using core::LogLevel;
using std::chrono::milliseconds;

namespace {

// An instance allows 260 connections from all hosts together, 13 for each of 19
// hosts. One host seldom has more than four requests at one instance.
constexpr std::size_t kMaxIdleConnections = 4;

// Sessions are listed for the graceful stop. Entries of ended sessions are
// removed when the list has at least this length and twice as many entries as
// there are open sessions.
constexpr std::size_t kMinSessionsToSweep = 64;

constexpr milliseconds kStopCheckInterval = 100ms;

// Memory of a connection beside what the budget counts, and size of a decline
// after which free memory is returned to the system: blocks between others that
// are in use stay resident until then.
constexpr std::size_t kSessionBytes = std::size_t{ 8 } * 1024;
constexpr std::size_t kReturnedBytes = std::size_t{ 16 } << 20U;

// Interval at which a daemon without routes or servers looks whether it may put
// in force what it has read.
constexpr milliseconds kStartTickInterval = 50ms;

// Part of the callers' connections that is used to refuse requests.
constexpr std::size_t kRefusedPart = 8;
constexpr milliseconds kIdleCloseInterval = 100ms;
constexpr milliseconds kDescriptorLogInterval = 10'000ms;

// Most bytes that the kernel keeps of a connection until they are read, or
// acknowledged; they count as the daemon's. This transfers 64 MB/s at a round
// trip of 1 ms.
constexpr std::size_t kSocketBufferBytes = std::size_t{ 64 } * 1024;

// Part of the memory budget that is freed at once when a request did not fit,
// how often, and how long a request has had no part that is ended for it.
constexpr std::size_t kFreedPart = 8;
constexpr std::size_t kMaxEndedAtOnce = 32;
constexpr milliseconds kRelieveInterval = 50ms;
constexpr milliseconds kMinStall = 250ms;

// Maximum time that a watch waits for a change. If its connection goes silent
// without a reset, this time also passes before the daemon calls again. The
// platform then allows 3 s in addition to its time limits. An urgent watch and
// the next call together stay below these 3 s; any other watch and the next
// call stay below 3 s plus their time limit of 5 s.
constexpr milliseconds kUrgentWatchWait = 2200ms;
constexpr milliseconds kWatchWait = 4000ms;

// A write that takes longer is retried; even a slow store answers in a quarter
// of a second.
constexpr milliseconds kWriteTimeout = 1500ms;

// Interval at which the settings file is read, since it may change without a
// signal. A read costs 0.1 ms.
constexpr milliseconds kSettingsInterval = 5000ms;

// A settings file that is missing, empty or cut is being written; it is read
// again this often at this interval, and after that at the interval above.
constexpr int kMaxIncompleteReadings = 30;
constexpr milliseconds kRereadInterval = 100ms;

// An address that is in use is tried for the stop limit, in case a predecessor
// is stopping, and for this time in addition.
constexpr milliseconds kBindReserve = 5000ms;

// Retry delay sent to callers while the daemon has no configuration.
constexpr milliseconds kRetryWithoutConfiguration = 500ms;

// Retry delay sent to callers while the daemon stops: other daemons serve them.
constexpr milliseconds kRetryAfterStopping = 50ms;

std::uint64_t
RandomNumber()
{
  static std::mt19937_64 engine{
    std::random_device{}() ^ (std::uint64_t{ std::random_device{}() } << 32U)
  };
  return engine();
}

/**
 * Returns the kilobytes of sent messages of some types to other failure
 * domains.
 */
template<typename... Message>
std::int64_t
FarKilobytes(const gateway::PeerCounts& aCounts)
{
  const std::uint64_t bytes =
    (aCounts.sentFarBytes[wire::WireMessage(Message{}).index()] + ...);
  return static_cast<std::int64_t>(bytes / 1000);
}

/** Returns the number of sent messages of a type. */
template<typename Message>
std::int64_t
SentCount(const gateway::PeerCounts& aCounts)
{
  const std::size_t messageIndex = wire::WireMessage(Message{}).index();
  return static_cast<std::int64_t>(aCounts.sent[messageIndex]);
}

tcp::endpoint
SocketEndpoint(const configuration::Endpoint& aEndpoint)
{
  return { boost::asio::ip::make_address(aEndpoint.address), aEndpoint.port };
}

} // namespace

ProxyDaemon::ProxyDaemon(const configuration::ProxySettings& aSettings,
                         PlatformAdapter aPlatform,
                         const core::Log& aLog,
                         SettingsFile aSettingsFile)
  : settings(aSettings)
  , platform(std::move(aPlatform))
  , log(aLog)
  , settingsFile(std::move(aSettingsFile))
  , signals(this->context)
  , stopTimer(this->context)
  , expiryTimer(this->context)
  , settingsTimer(this->context)
  , rereadTimer(this->context)
  , heartbeatTimer(this->context)
  , relayTimer(this->context)
  , rolloutTimer(this->context)
  , self{ aSettings.peerListen.ToString(), RandomNumber() }
  , peers(this->context,
          this->settings,
          this->self,
          RandomNumber,
          [this](const core::DaemonId& aFrom,
                 const wire::WireMessage& aPeerMessage) {
            this->OnPeerMessage(aFrom, aPeerMessage);
          })
  , callMetrics(this->metrics)
  , organisationMetrics(this->metrics)
  , ledger(this->self, RandomNumber(), std::chrono::steady_clock::now)
  , guard(std::chrono::steady_clock::now)
  , prober(this->context, this->platform.loadMeasurement)
  , rollouts(this->MakeRolloutHooks(), aSettings.trialShare)
  , broker(this->context,
           this->self,
           this->MakeBrokerHooks(),
           { .order = aSettings.orderOfService })
  , shared{ .context = this->context,
            .broker = this->broker,
            .ledger = this->ledger,
            .guard = this->guard,
            .log = aLog,
            .metrics = this->metrics,
            .callMetrics = this->callMetrics,
            .organisationMetrics = this->organisationMetrics,
            .transferSizes = this->transferSizes,
            .now = std::chrono::steady_clock::now,
            .random = RandomNumber,
            .failureDomain = aSettings.failureDomain,
            .budgetOf = [this](const std::string& aService)
              -> calls::RetryBudget& { return this->budgets.Of(aService); },
            .poolOf =
              [this](const routing::BackendInstance& aInstance) {
                return this->PoolOf(aInstance);
              },
            .identifyCaller =
              [this](gateway::CallRequest& aCall,
                     const configuration::HttpRoute& aRoute) {
                return this->IdentifyCaller(aCall, aRoute);
              },
            .mayStart =
              [this](const configuration::HttpRoute& aRoute,
                     core::TimePoint aExpectedEnd,
                     core::TimePoint aLatestEnd) {
                return this->MayStart(aRoute, aExpectedEnd, aLatestEnd);
              } }
  , bodyMemory(std::make_shared<core::MemoryBudget>(
      aSettings.BodyMemoryBytes() + aSettings.BufferMemoryBytes(),
      aSettings.BufferMemoryBytes()))
  , transport(this->context,
              SocketEndpoint(aSettings.store),
              this->platform.objects.eraField)
  , storeView(this->platform,
              aLog,
              std::chrono::steady_clock::now,
              aSettings.reportInterval,
              aSettings.IsStrong(),
              RandomNumber())
  , sessionHooks(std::make_shared<gateway::CallerSessionHooks>())
  , budgets(std::chrono::steady_clock::now,
            calls::RetryBudget::Allowance::OfFleet(aSettings.retryRatio,
                                                   aSettings.freeRetries,
                                                   aSettings.expectedHosts))
  , socketBuffers(aSettings.SocketMemoryBytes(), kSocketBufferBytes)
{
  this->sessionHooks->handleCall =
    [this](gateway::CallRequest aCall,
           gateway::CallerSessionHooks::AnswerFunction aOnAnswer) {
      return this->Handle(std::move(aCall), std::move(aOnAnswer));
    };
  this->sessionHooks->isStopping = [this] { return this->isStopping; };
  this->sessionHooks->sessionCountChanged = [this](int aChange) {
    this->sessionCount += static_cast<std::size_t>(aChange);
  };
  this->sessionHooks->requestCut =
    [&aLog](const gateway::CallerConnectionEnd& aEnd) { aEnd.WriteTo(aLog); };
  this->sessionHooks->dialect = this->platform.callers;
  this->sessionHooks->memory = this->bodyMemory;
  this->sessionHooks->memoryShort = [this] { this->RelieveMemory(); };
  this->UpdateKeepAliveTime();
  const ObjectKinds& kinds = this->platform.kinds;
  this->relay = std::make_unique<StoreRelay>(
    PeerHost{ this->self.name, aSettings.IsStrong(), aSettings.failureDomain },
    std::vector<std::string>{
      kinds.configuration, kinds.instances, kinds.rollouts, kinds.domainsOut },
    this->MakeRelayHooks());
  this->watcher = std::make_unique<store::ObjectWatcher>(
    std::vector<store::WatchedKind>{ { kinds.configuration, kUrgentWatchWait },
                                     { kinds.instances, kUrgentWatchWait },
                                     { kinds.rollouts, kWatchWait },
                                     { kinds.domainsOut, kWatchWait } },
    this->platform.objects,
    this->MakeWatcherHooks());
  if (aSettings.usageReportAddress) {
    this->usage = std::make_unique<UsageReporter>(this->context,
                                                  this->settings,
                                                  this->self,
                                                  this->platform.usage,
                                                  this->peers,
                                                  this->transport,
                                                  aLog,
                                                  this->metrics);
    this->shared.onRunBegan = [this](const std::string& aOrganisation,
                                     core::TimePoint aSentAt) {
      this->usage->OnRunBegan(aOrganisation, aSentAt);
    };
  }
}

ProxyDaemon::~ProxyDaemon() = default;

store::WatcherHooks
ProxyDaemon::MakeWatcherHooks()
{
  return {
    .now = std::chrono::steady_clock::now,
    .random = RandomNumber,
    .send =
      [this](const store::StoreRequest& aRequest,
             std::function<void(store::StoreResponse)> aDone) {
        this->transport.Send(aRequest, std::move(aDone));
      },
    .after =
      [this](milliseconds aTime, std::function<void()> aFunction) {
        const auto timer =
          std::make_shared<boost::asio::steady_timer>(this->context, aTime);
        timer->async_wait([timer, function = std::move(aFunction)](
                            boost::system::error_code aError) {
          if (!aError) {
            function();
          }
        });
      },
    .onList =
      [this](const std::string& aKind,
             std::uint64_t aRevision,
             std::vector<store::ObjectRecord> aObjects) {
        this->relay->OnListed(aKind, aRevision, std::move(aObjects));
      },
    .onPartialList =
      [this](const std::string& aKind,
             std::uint64_t aRevision,
             std::vector<store::ObjectRecord> aObjects,
             const std::string& aAfter) {
        this->log.Write(
          LogLevel::Warning,
          "list_incomplete",
          { { "kind", aKind },
            { "after", aAfter },
            { "objects", static_cast<std::int64_t>(aObjects.size()) } });
        this->relay->OnPartlyListed(aKind, aRevision, std::move(aObjects));
      },
    .onChanges =
      [this](const std::string& aKind,
             std::vector<store::ObjectRecord> aObjects) {
        this->relay->OnWatched(aKind, std::move(aObjects));
      },
    .onConfirmed =
      [this](const std::string& aKind, std::uint64_t aRevision) {
        this->relay->OnConfirmed(aKind, aRevision);
      },
    .onRequestEnded =
      [this](const store::StoreRequest& aRequest,
             const store::StoreResponse& aResponse) {
        this->log.Write(
          LogLevel::Debug,
          "store_call",
          { { "target", aRequest.target },
            { "status", static_cast<std::int64_t>(aResponse.status) },
            { "detail", aResponse.detail },
            { "bytes", static_cast<std::int64_t>(aResponse.body.size()) } });
      },
    .onRefused =
      [this](const std::string& aKind,
             const store::StoreRequest& aRequest,
             unsigned aStatus) {
        this->log.Write(LogLevel::Warning,
                        "store_request_refused",
                        { { "kind", aKind },
                          { "target", aRequest.target },
                          { "status", static_cast<std::int64_t>(aStatus) } });
      },
    .onAvailabilityChange =
      [this](bool aIsLost, const std::string& aDetail) {
        if (aIsLost) {
          this->log.Write(
            LogLevel::Warning, "store_lost", { { "why", aDetail } });
          // A heartbeat that reports the loss lets other daemons take over at
          // once.
          this->relay->OnStoreLost();
          this->relay->Tick();
          return;
        }
        this->relay->OnStoreRegained();
        this->RunRelay();
        this->log.Write(LogLevel::Info, "store_regained");
      },
    .onEraRaised =
      [this](std::uint64_t aEra, std::uint64_t aPreviousEra) {
        this->log.Write(
          LogLevel::Warning,
          "store_returned_older",
          { { "era", static_cast<std::int64_t>(aEra) },
            { "previous_era", static_cast<std::int64_t>(aPreviousEra) } });
      },
    .onAnswered =
      [this] {
        // The heartbeat that this sends keeps others from taking over.
        if (!this->relay->IsReportingAvailable() &&
            this->relay->ShouldWatch()) {
          this->ScheduleRelay(std::chrono::steady_clock::now());
        }
      }
  };
}

StoreRelayHooks
ProxyDaemon::MakeRelayHooks()
{
  return {
    .now = std::chrono::steady_clock::now,
    .peers =
      [this] {
        std::vector<PeerHost> peers;
        for (const std::string& name : this->peers.LivePeerNames()) {
          peers.push_back(this->peers.DescriptionOf(name));
        }
        return peers;
      },
    .broadcast =
      [this](const wire::WireMessage& aMessage) {
        for (const std::string& name : this->peers.LivePeerNames()) {
          this->peers.Send(name, aMessage);
        }
      },
    .send =
      [this](const std::string& aTo, wire::WireMessage aMessage) {
        this->peers.Send(aTo, std::move(aMessage));
      },
    .onObjects =
      [this](const std::string& aKind,
             const std::vector<store::ObjectRecord>& aObjects) {
        this->OnObjects(aKind, aObjects);
      },
    .onRevision =
      [this](const std::string& aKind, std::uint64_t aRevision) {
        this->watcher->NoteRevision(aKind, aRevision);
      },
    .lastAnswerTime = [this]() -> std::optional<core::TimePoint> {
      return this->watcher->IsStoreUnavailable()
               ? std::nullopt
               : this->watcher->LastAnswerTime();
    },
    .onOutageEnded =
      [this](std::chrono::nanoseconds aOutage) {
        this->log.Write(
          LogLevel::Info,
          "store_outage_ended",
          { { "outage_ms",
              std::chrono::duration_cast<milliseconds>(aOutage).count() } });
        this->storeView.Directory().OnStoreRegained(aOutage);
      },
    .onReleased =
      [this](const std::string& aKind, bool aIsConfirmed) {
        this->log.Write(
          LogLevel::Info,
          "kind_in_force",
          { { "kind", aKind }, { "is_confirmed", aIsConfirmed } });
      },
    .onOlderCopy =
      [this](const std::string& aKind, std::uint64_t aEra) {
        this->log.Write(
          LogLevel::Info,
          "older_copy_read",
          { { "kind", aKind }, { "era", static_cast<std::int64_t>(aEra) } });
        this->storeView.OnOlderCopy(aKind);
      },
    .onComplete =
      [this](const std::string& aKind) { this->watcher->NoteComplete(aKind); },
    .onDifference =
      [this](const std::string& aKind, bool aMustList) {
        this->log.Write(LogLevel::Warning,
                        "objects_differ",
                        { { "kind", aKind }, { "is_listing", aMustList } });
        this->watcher->Doubt(aKind);
      }
  };
}

SlotBrokerHooks
ProxyDaemon::MakeBrokerHooks()
{
  return { .now = std::chrono::steady_clock::now,
           .random = RandomNumber,
           .peers = [this] { return this->peers.StrongPeerNames(); },
           .mayDispatch =
             [this] { return !this->isStopping && this->settings.IsStrong(); },
           .hostCount = [this] { return this->HostCount(); },
           .send =
             [this](const std::string& aTo, wire::WireMessage aMessage) {
               this->peers.Send(aTo, std::move(aMessage));
             },
           .isUsable =
             [this](const routing::BackendInstance& aInstance) {
               // A daemon that has just started relies on the dispatching
               // daemon's data until it has its own.
               return !this->relay->IsListed(this->platform.kinds.instances) ||
                      this->storeView.Directory().IsUsable(aInstance);
             },
           .guard = this->guard,
           .measure =
             [this](const routing::BackendInstance& aInstance,
                    LoadProber::MeasuredFunction aOnMeasured) {
               this->Measure(aInstance, std::move(aOnMeasured));
             },
           .onRequestEnded =
             [this](const routing::EndedRequest& aRequest) {
               this->rollouts.OnRequestEnded(aRequest);
             },
           .hasInstances =
             [this] {
               // Single changes arrive before the list.
               return this->relay->IsListed(this->platform.kinds.instances);
             },
           .onLimitChanged =
             [this](const routing::BackendInstance& aInstance,
                    std::optional<double> aLimit) {
               this->log.Write(LogLevel::Info,
                               "server_limit_changed",
                               { { "instance", aInstance.id },
                                 { "service", aInstance.service },
                                 { "is_limited", aLimit.has_value() },
                                 { "requests_per_s", aLimit.value_or(0) } });
             },
           .onLeaving =
             [this](const routing::BackendInstance& aInstance) {
               this->log.Write(LogLevel::Info,
                               "server_leaving",
                               { { "instance", aInstance.id },
                                 { "service", aInstance.service } });
             },
           .onPeerAvailabilityChange =
             [this](const std::string& aName, bool aIsLost) {
               this->log.Write(LogLevel::Info,
                               aIsLost ? "dispatcher_lost"
                                       : "dispatcher_regained",
                               { { "peer", aName } });
             } };
}

RolloutDriverHooks
ProxyDaemon::MakeRolloutHooks()
{
  return {
    .now = std::chrono::steady_clock::now,
    .isDispatching =
      [this](const std::string& aService) {
        // Daemons that have lost the store together choose a dispatching daemon
        // among themselves and do not learn the verdicts of the others, so they
        // run no trials.
        const auto staleness = this->relay->Staleness();
        return !this->isStopping && this->settings.IsStrong() && staleness &&
               *staleness <= StoreRelay::kStoreTimeout &&
               this->broker.DispatchingDaemonName(aService).empty();
      },
    .capacityOf =
      [this](const std::string& aService) {
        const auto* dispatcher = this->broker.FindDispatcher(aService);
        return dispatcher == nullptr
                 ? moves::VersionTrial::Capacity{}
                 : moves::VersionTrial::Capacity{
                     .newInstances = dispatcher->WarmCount(true),
                     .oldInstances = dispatcher->WarmCount(false),
                     .oldRequests = dispatcher->GrantCount(false)
                   };
      },
    .setShare =
      [this](const std::string& aService, double aShare) {
        this->broker.SetTrialShare(aService, aShare);
      },
    .write =
      [this](const routing::RolloutOrder& aOrder,
             std::function<void(std::optional<unsigned>)> aOnWritten) {
        this->WriteRolloutState(aOrder, std::move(aOnWritten));
      },
    .decided =
      [this](const routing::RolloutOrder& aOrder, const std::string& aWhy) {
        this->OnRolloutVerdict(aOrder, aWhy);
      },
    .written =
      [this](const routing::RolloutOrder& aOrder,
             std::optional<unsigned> aStatus) {
        this->log.Write(
          LogLevel::Info,
          "rollout_state_written",
          { { "service", aOrder.service },
            { "version", aOrder.targetVersion },
            { "state", routing::NameOf(aOrder.state) },
            { "revision",
              static_cast<std::int64_t>(
                store::StatedRevision(aOrder.revision)) },
            { "status", static_cast<std::int64_t>(aStatus.value_or(0)) } });
      }
  };
}

void
ProxyDaemon::WriteRolloutState(
  const routing::RolloutOrder& aOrder,
  std::function<void(std::optional<unsigned>)> aOnWritten)
{
  store::StoreRequest request;
  request.kind = store::StoreRequestKind::RawWrite;
  request.target = this->platform.objects.statusTarget(
    this->platform.kinds.rollouts, aOrder.service);
  request.body = this->platform.writeRolloutState(aOrder);
  request.timeout = kWriteTimeout;
  this->transport.Send(
    request,
    [onWritten = std::move(aOnWritten), era = store::EraOf(aOrder.revision)](
      const store::StoreResponse& aResponse) {
      // In another era the revision, on which the write is conditional, may
      // belong to another order. The next list shows what the store has.
      const bool isOfSameEra = aResponse.era == 0 || aResponse.era == era;
      onWritten(aResponse.delivery == store::StoreDelivery::Answered &&
                    isOfSameEra
                  ? std::optional(aResponse.status)
                  : std::nullopt);
    });
}

void
ProxyDaemon::OnRolloutVerdict(const routing::RolloutOrder& aOrder,
                              const std::string& aWhy)
{
  this->log.Write(LogLevel::Info,
                  "rollout_decided",
                  { { "service", aOrder.service },
                    { "version", aOrder.targetVersion },
                    { "state", routing::NameOf(aOrder.state) },
                    { "why", aWhy } });
  this->metrics.Count("rollouts_decided_total");
  // Apply the verdict here before it arrives from the store, so that no more
  // callers reach a bad version. This is deferred to the event loop because the
  // driver is iterating over the orders.
  boost::asio::post(this->context, [this, aOrder] {
    this->storeView.Directory().PutRollout(aOrder);
    this->UpdateBroker();
  });
}

void
ProxyDaemon::UpdateRollouts()
{
  this->rollouts.Update(this->storeView.Directory().Rollouts());
  if (this->storeView.Directory().Rollouts().empty()) {
    return;
  }
  this->rolloutTimer.expires_after(RolloutDriver::kTickInterval);
  this->rolloutTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->UpdateRollouts();
    }
  });
}

void
ProxyDaemon::Measure(const routing::BackendInstance& aInstance,
                     LoadProber::MeasuredFunction aOnMeasured)
{
  const auto& services = this->storeView.Routes()->Configuration().services;
  const auto service = services.find(aInstance.service);
  if (service == services.end() || service->second.healthPath.empty()) {
    aOnMeasured(std::nullopt);
    return;
  }
  this->prober.Measure(
    aInstance, service->second.healthPath, std::move(aOnMeasured));
}

bool
ProxyDaemon::Open()
{
  this->listener = std::make_shared<gateway::TcpListener>(
    this->context,
    [this](tcp::socket aSocket) {
      this->OnCallerConnected(std::move(aSocket));
    },
    gateway::TcpListenerHooks{
      .mayAccept =
        [this] {
          if (this->sessionCount < this->settings.MaxCallerConnections()) {
            return true;
          }
          // Those that wait are beyond what is
          // counted.
          this->listener->SetSocketBuffers(gateway::SocketBuffers::kMinBytes);
          this->MakeRoom();
          return false;
        },
      .onFailure =
        [this](boost::system::error_code aError) {
          this->OnAcceptFailed(aError);
        },
      .simulatedError = nullptr,
      .receiveBufferBytes = kSocketBufferBytes,
      .waitingConnections = static_cast<int>(
        std::min<std::size_t>(this->settings.MaxCallerConnections(),
                              tcp::acceptor::max_listen_connections)) });
  daemon::OperatorPages pages{
    .metrics = [this] { return this->MetricsText(); },
    .dump = [this] { return this->DumpText(); },
    .status = [this] { return this->DumpText(); },
    .isReady =
      [this] {
        return !this->isStopping && this->storeView.Routes() != nullptr;
      }
  };
  const daemon::OperatorLimits limits{
    .memory = this->bodyMemory,
    .maxConnections = this->settings.maxOperatorConnections
  };
  this->readyEndpoint =
    std::make_unique<daemon::OperatorEndpoint>(this->context, pages, limits);
  this->operatorEndpoint =
    std::make_unique<daemon::OperatorEndpoint>(this->context, pages, limits);
  daemon::AddressBinder binder(this->log,
                               this->settings.stopLimit + kBindReserve);
  const auto bind = [&](std::string_view aPort,
                        const configuration::Endpoint& aEndpoint,
                        const auto& aOpen) {
    return binder.Bind(aPort, aEndpoint.ToString(), [&] {
      return aOpen(SocketEndpoint(aEndpoint));
    });
  };
  return bind("peer_listen",
              this->settings.peerListen,
              [this](const tcp::endpoint&) {
                return this->peers.Open(this->bodyMemory);
              }) &&
         bind("listen",
              this->settings.listen,
              [this](const tcp::endpoint& aEndpoint) {
                return this->listener->Open(aEndpoint);
              }) &&
         bind("ready_listen",
              this->settings.readyListen,
              [this](const tcp::endpoint& aEndpoint) {
                return this->readyEndpoint->Open(aEndpoint);
              }) &&
         bind("operator_listen",
              this->settings.operatorListen,
              [this](const tcp::endpoint& aEndpoint) {
                return this->operatorEndpoint->Open(aEndpoint);
              });
}

void
ProxyDaemon::Run()
{
  this->signals.add(SIGTERM);
  this->signals.add(SIGINT);
  this->signals.add(SIGHUP);
  this->ListenForSignals();
  core::StopSignals::Release();
  this->relay->Start(this->peers.SeedNames());
  this->watcher->SetActive(this->relay->ShouldWatch());
  this->watcher->Start();
  this->ScheduleSettingsCheck();
  this->OnHeartbeatTimer();
  this->peers.Start();
  if (this->usage) {
    this->usage->Start();
  }
  this->log.Write(LogLevel::Info,
                  "daemon_started",
                  { { "name", this->settings.name },
                    { "peer", this->self.name },
                    { "failure_domain", this->settings.failureDomain },
                    { "listen", this->settings.listen.ToString() },
                    { "store", this->settings.store.ToString() } });
  this->context.run();
  this->log.Write(
    LogLevel::Info, "daemon_stopped", { { "name", this->settings.name } });
}

void
ProxyDaemon::ListenForSignals()
{
  this->signals.async_wait(
    [this](boost::system::error_code aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        this->log.Write(LogLevel::Info,
                        "reload_requested",
                        { { "signal", core::SignalName(aSignal) } });
        this->ReloadSettings();
      } else {
        this->BeginStop(aSignal);
      }
      this->ListenForSignals();
    });
}

//==============================================================================
void
ProxyDaemon::OnHeartbeatTimer()
{
  this->pauseGuard.Tick(PauseGuard::Now());
  this->budgets.SetAllowance(this->RetryAllowance());
  this->ReturnMemory();
  this->UpdateSocketBuffers();
  this->RunRelay();
  const bool isStarting = !this->storeView.Routes() ||
                          this->storeView.Directory().InstanceCount() == 0;
  this->heartbeatTimer.expires_after(
    isStarting ? kStartTickInterval : StoreRelay::kHeartbeatInterval);
  this->heartbeatTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->OnHeartbeatTimer();
    }
  });
}

void
ProxyDaemon::RunRelay()
{
  this->relay->Tick();
  const bool isWatching = this->relay->ShouldWatch();
  if (isWatching != std::exchange(this->wasWatching, isWatching)) {
    this->log.Write(LogLevel::Info,
                    "store_watch_changed",
                    { { "is_watching", isWatching },
                      { "is_after_loss", this->relay->IsAfterLoss() } });
  }
  this->watcher->SetBackup(!this->relay->IsFirst());
  this->watcher->SetActive(isWatching);
  this->ScheduleRelay(this->relay->NextDue());
}

void
ProxyDaemon::ScheduleRelay(core::TimePoint aDue)
{
  if (this->isRelayScheduled && this->relayTimer.expiry() <= aDue) {
    return;
  }
  this->isRelayScheduled = true;
  this->relayTimer.expires_at(aDue);
  this->relayTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->isRelayScheduled = false;
      this->RunRelay();
    }
  });
}

void
ProxyDaemon::OnPeerMessage(const core::DaemonId& aFrom,
                           const wire::WireMessage& aPeerMessage)
{
  if (const auto* request = std::get_if<wire::SlotRequest>(&aPeerMessage)) {
    this->broker.OnMessage(aFrom, *request);
  } else if (const auto* decision =
               std::get_if<wire::SlotDecision>(&aPeerMessage)) {
    this->broker.OnMessage(aFrom, *decision);
  } else if (const auto* release =
               std::get_if<wire::SlotRelease>(&aPeerMessage)) {
    this->broker.OnMessage(aFrom, *release);
  } else if (const auto* update = std::get_if<wire::StoreNews>(&aPeerMessage)) {
    this->LogUpdate(aFrom.name, *update);
    this->relay->OnUpdate(aFrom.name, *update);
    this->ScheduleRelay(this->relay->NextDue());
  } else if (const auto* heartbeat =
               std::get_if<wire::StoreBeat>(&aPeerMessage)) {
    this->relay->OnHeartbeat(aFrom.name, *heartbeat);
    this->ScheduleRelay(this->relay->NextDue());
  } else if (const auto* updateRequest =
               std::get_if<wire::StoreNewsRequest>(&aPeerMessage)) {
    this->relay->OnUpdateRequest(aFrom.name, *updateRequest);
  } else if (this->usage) {
    this->usage->OnMessage(aFrom, aPeerMessage);
  }
}

void
ProxyDaemon::LogUpdate(const std::string& aFrom,
                       const wire::StoreNews& aUpdate) const
{
  for (const wire::KindNews& part : aUpdate.kinds) {
    if (part.kind != this->platform.kinds.configuration) {
      continue;
    }
    std::size_t bytes = 0;
    for (const wire::NewsObject& object : part.objects) {
      bytes += object.content.size() +
               gossip::DocumentPatch::EncodedSize(object.patch);
    }
    this->log.Write(
      LogLevel::Info,
      "configuration_update",
      { { "from", aFrom },
        { "base", static_cast<std::int64_t>(store::StatedRevision(part.base)) },
        { "revision",
          static_cast<std::int64_t>(store::StatedRevision(part.revision)) },
        { "era", static_cast<std::int64_t>(store::EraOf(part.revision)) },
        { "is_forwarder", aUpdate.isForwardRequested },
        { "bytes", static_cast<std::int64_t>(bytes) } });
  }
}

void
ProxyDaemon::OnObjects(const std::string& aKind,
                       const std::vector<store::ObjectRecord>& aObjects)
{
  const std::uint64_t previousVersion = this->storeView.ConfigurationVersion();
  this->storeView.Apply(aKind, aObjects);
  if (this->storeView.ConfigurationVersion() != previousVersion) {
    const auto& inForce = this->storeView.Routes()->Configuration();
    this->sessionHooks->limits = inForce.limits;
    this->UpdateKeepAliveTime();
    this->transferSizes.Keep([&inForce](const std::string& aRoute) {
      return std::ranges::any_of(inForce.routes, [&](const auto& aKnown) {
        return aKnown.name == aRoute;
      });
    });
    // Answers may lead to further requests, which change the list.
    for (const auto& weak : std::vector(this->runners)) {
      if (const auto runner = weak.lock()) {
        runner->CheckKey();
      }
    }
  }
  this->UpdateBroker();
}

void
ProxyDaemon::UpdateBroker()
{
  if (!this->storeView.Routes()) {
    return;
  }
  this->broker.Update(this->storeView.Routes()->Configuration(),
                      this->storeView.Directory());
  this->UpdateRollouts();
  this->ScheduleExpiredRemoval();
}

void
ProxyDaemon::ScheduleExpiredRemoval()
{
  const auto due = this->storeView.NextDue();
  if (!due) {
    return;
  }
  this->expiryTimer.expires_at(*due);
  this->expiryTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    if (this->storeView.ApplyDue()) {
      this->log.Write(LogLevel::Info, "lapsed_instances_removed");
    }
    this->UpdateBroker();
  });
}

//==============================================================================
gateway::CallerSessionHooks::CancelFunction
ProxyDaemon::Handle(gateway::CallRequest aCall,
                    gateway::CallerSessionHooks::AnswerFunction aOnAnswer)
{
  const auto refuse = [&](ErrorKind aKind,
                          std::optional<milliseconds> aRetryAfter) {
    this->log.Write(LogLevel::Info,
                    "request_refused",
                    { { "id", aCall.id },
                      { "host", aCall.host },
                      { "kind", core::ErrorTable::RowOf(aKind).name },
                      { "configuration",
                        static_cast<std::int64_t>(
                          this->storeView.ConfigurationVersion()) } });
    this->metrics.Count("refused_total");
    auto answer = gateway::CallAnswer::OfError(aKind);
    answer.retryAfter = aRetryAfter;
    aOnAnswer(std::move(answer));
    return gateway::CallerSessionHooks::CancelFunction{};
  };
  if (!this->storeView.Routes()) {
    return refuse(ErrorKind::NoConfiguration, kRetryWithoutConfiguration);
  }
  const configuration::HttpRoute* route =
    this->storeView.Routes()->Match(aCall.host, aCall.target);
  if (route == nullptr) {
    return refuse(ErrorKind::UnknownCall, std::nullopt);
  }
  // After the route, which says whether a key is needed.
  const ErrorKind keyError = this->IdentifyCaller(aCall, *route);
  if (keyError == ErrorKind::NoConfiguration) {
    return refuse(keyError, kRetryWithoutConfiguration);
  }
  if (keyError != ErrorKind::None) {
    this->log.Write(LogLevel::Info,
                    "key_refused",
                    { { "id", aCall.id },
                      { "key_hash",
                        aCall.key ? routing::KeyTable::ShortHash(*aCall.key)
                                  : std::string() } });
    return refuse(keyError, std::nullopt);
  }
  if (aCall.deadline && aCall.deadline->count() <= 0) {
    return refuse(ErrorKind::DeadlineBeforeSend, std::nullopt);
  }
  const core::TimePoint now = std::chrono::steady_clock::now();
  if (!this->MayStart(
        *route,
        now + std::min(route->latencyGoal, route->timeout),
        now - aCall.bodyTime +
          std::min(aCall.deadline.value_or(route->timeout), route->timeout))) {
    return refuse(ErrorKind::Stopping, kRetryAfterStopping);
  }
  ++this->requestCount;
  std::shared_ptr<void> countHolder(nullptr,
                                    [this](void*) { --this->requestCount; });
  const auto runner = std::make_shared<RequestRunner>(
    this->shared,
    std::move(aCall),
    *route,
    this->splits.Select(*route, RandomNumber()),
    this->storeView.Routes()->Configuration().version,
    std::move(countHolder),
    std::move(aOnAnswer));
  if (this->runners.size() >= kMinSessionsToSweep &&
      this->runners.size() >= 2 * this->requestCount) {
    std::erase_if(this->runners,
                  [](const auto& aWeak) { return aWeak.expired(); });
  }
  this->runners.push_back(runner);
  if (this->stop) {
    runner->LimitDeadline(this->stop->LastDeadline());
  }
  runner->Begin();
  return [weak = std::weak_ptr(runner)] {
    if (const auto running = weak.lock()) {
      running->CallerGone();
    }
  };
}

bool
ProxyDaemon::MayStart(const configuration::HttpRoute& aRoute,
                      core::TimePoint aExpectedEnd,
                      core::TimePoint aLatestEnd) const
{
  return !this->stop ||
         this->stop->MayStart(std::chrono::steady_clock::now(),
                              { .expectedEnd = aExpectedEnd,
                                .latestEnd = aLatestEnd,
                                .mayBeRepeated = aRoute.isIdempotent });
}

ErrorKind
ProxyDaemon::IdentifyCaller(gateway::CallRequest& aCall,
                            const configuration::HttpRoute& aRoute)
{
  if (this->storeView.Keys()->HasOrganisations() && !aRoute.isPublic &&
      this->pauseGuard.HasJustWoken(PauseGuard::Now())) {
    return ErrorKind::NoConfiguration;
  }
  return CallerIdentity::Apply(
    { *this->storeView.Routes(), *this->storeView.Keys() },
    *this->platform.callers,
    aRoute.isPublic,
    aCall);
}

std::shared_ptr<gateway::ServerPool>
ProxyDaemon::PoolOf(const routing::BackendInstance& aInstance)
{
  auto& [address, pool] = this->pools[aInstance.id];
  if (pool && address == aInstance.address) {
    return pool;
  }
  const auto endpoint = gateway::ParseSocketAddress(aInstance.address);
  if (!endpoint) {
    return nullptr;
  }
  address = aInstance.address;
  pool = std::make_shared<gateway::ServerPool>(this->context,
                                               *endpoint,
                                               kMaxIdleConnections,
                                               aInstance.id,
                                               this->platform.servers,
                                               this->bodyMemory);
  return pool;
}

std::size_t
ProxyDaemon::HostCount() const
{
  return std::max<std::size_t>(this->settings.expectedHosts,
                               this->peers.ConservativeHostCount());
}

calls::RetryBudget::Allowance
ProxyDaemon::RetryAllowance() const
{
  return calls::RetryBudget::Allowance::OfFleet(
    this->settings.retryRatio, this->settings.freeRetries, this->HostCount());
}

//==============================================================================
void
ProxyDaemon::BeginStop(int aSignal)
{
  if (this->isStopping) {
    return;
  }
  this->isStopping = true;
  this->peers.AnnounceLeaving();
  if (this->usage) {
    this->usage->BeginStop();
  }
  this->stop.emplace(std::chrono::steady_clock::now(),
                     this->settings.stopLimit);
  for (const auto& weak : this->runners) {
    if (const auto runner = weak.lock()) {
      runner->LimitDeadline(this->stop->LastDeadline());
    }
  }
  this->log.Write(
    LogLevel::Info,
    "stop_requested",
    { { "signal", core::SignalName(aSignal) },
      { "requests", static_cast<std::int64_t>(this->requestCount) },
      { "sessions", static_cast<std::int64_t>(this->sessionCount) } });
  this->CheckStop();
}

void
ProxyDaemon::CheckStop()
{
  const core::TimePoint now = std::chrono::steady_clock::now();
  // Answers may lead to further requests, which change the list.
  for (const auto& weak : std::vector(this->runners)) {
    if (const auto runner = weak.lock()) {
      runner->CheckStart();
    }
  }
  const bool isBalancerDelayOver = now >= this->stop->ListenUntil();
  if (isBalancerDelayOver) {
    this->listener->Close();
    this->CloseIdleSessions();
  }
  const bool isDone =
    isBalancerDelayOver && this->requestCount == 0 && this->sessionCount == 0;
  if ((isDone || now >= this->stop->End()) &&
      (!this->usage || this->usage->HandOver())) {
    this->log.Write(
      LogLevel::Info,
      "stop_finished",
      { { "is_complete", isDone },
        { "requests", static_cast<std::int64_t>(this->requestCount) } });
    this->ReportCutRequests();
    this->watcher->Stop();
    this->context.stop();
    return;
  }
  this->stopTimer.expires_after(kStopCheckInterval);
  this->stopTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->CheckStop();
    }
  });
}

void
ProxyDaemon::ReportCutRequests()
{
  for (const auto& weak : this->runners) {
    if (const auto runner = weak.lock()) {
      runner->ReportCut();
    }
  }
  for (const auto& weak : this->sessions) {
    if (const auto session = weak.lock()) {
      session->ReportStop();
    }
  }
}

void
ProxyDaemon::CloseIdleSessions()
{
  const core::TimePoint now = std::chrono::steady_clock::now();
  for (const auto& weak : this->sessions) {
    if (const auto session = weak.lock()) {
      session->CloseIfIdle(now);
    }
  }
}

void
ProxyDaemon::OnCallerConnected(tcp::socket aSocket)
{
  const auto session = std::make_shared<gateway::CallerSession>(
    std::move(aSocket), this->sessionHooks);
  if (this->sessions.size() >= kMinSessionsToSweep &&
      this->sessions.size() >= 2 * this->sessionCount) {
    std::erase_if(this->sessions,
                  [](const auto& aWeak) { return aWeak.expired(); });
  }
  this->sessions.push_back(session);
  session->SetSocketBuffers(this->socketBuffers.Bytes());
  this->UpdateSocketBuffers();
  const std::size_t limit = this->settings.MaxCallerConnections();
  if (this->sessionCount <= limit - limit / kRefusedPart) {
    session->Start();
    return;
  }
  // The last connections are kept free for answers that refuse.
  this->MakeRoom();
  const core::TimePoint now = std::chrono::steady_clock::now();
  this->metrics.Count("connections_refused_total");
  if (now - this->descriptorsLoggedAt >= kDescriptorLogInterval) {
    this->descriptorsLoggedAt = now;
    this->log.Write(
      LogLevel::Warning,
      "connections_refused",
      { { "sessions", static_cast<std::int64_t>(this->sessionCount) },
        { "limit", static_cast<std::int64_t>(limit) } });
  }
  session->StartRefusing();
}

void
ProxyDaemon::MakeRoom()
{
  const core::TimePoint now = std::chrono::steady_clock::now();
  if (now - this->idleClosedAt >= kIdleCloseInterval) {
    this->idleClosedAt = now;
    this->CloseIdleSessions();
  }
}

void
ProxyDaemon::UpdateSocketBuffers()
{
  if (!this->socketBuffers.Update(this->sessionCount)) {
    return;
  }
  this->listener->SetSocketBuffers(this->socketBuffers.Bytes());
  for (const auto& weak : this->sessions) {
    if (const auto session = weak.lock()) {
      session->SetSocketBuffers(this->socketBuffers.Bytes());
    }
  }
}

void
ProxyDaemon::RelieveMemory()
{
  const core::TimePoint now = std::chrono::steady_clock::now();
  if (now - this->relievedAt < kRelieveInterval) {
    return;
  }
  this->relievedAt = now;
  std::vector<std::shared_ptr<gateway::CallerSession>> open;
  std::vector<gateway::HeldConnection> held;
  for (const auto& weak : this->sessions) {
    if (auto session = weak.lock()) {
      held.push_back(session->Held());
      open.push_back(std::move(session));
    }
  }
  std::size_t freed = 0;
  for (std::size_t count = 0; count < kMaxEndedAtOnce &&
                              freed < this->bodyMemory->Limit() / kFreedPart;
       ++count) {
    const auto stalled =
      gateway::HeldConnection::SelectStalled(held, now, kMinStall);
    if (!stalled) {
      break;
    }
    const std::size_t bytes = std::exchange(held[*stalled].bytes, 0);
    if (open[*stalled]->RefuseStalled()) {
      freed += bytes;
      this->metrics.Count("stalled_requests_refused_total");
    }
  }
}

void
ProxyDaemon::ReturnMemory()
{
  const std::size_t held =
    this->bodyMemory->Used() + this->sessionCount * kSessionBytes;
  this->peakHeldBytes = std::max(this->peakHeldBytes, held);
  if (this->peakHeldBytes - held >= kReturnedBytes) {
    this->peakHeldBytes = held;
    malloc_trim(0);
  }
}

void
ProxyDaemon::OnAcceptFailed(boost::system::error_code aError)
{
  this->metrics.Count("accept_failures_total");
  const core::TimePoint now = std::chrono::steady_clock::now();
  if (now - this->descriptorsLoggedAt >= kDescriptorLogInterval) {
    this->descriptorsLoggedAt = now;
    this->log.Write(
      LogLevel::Warning,
      "accept_failed",
      { { "error", aError.message() },
        { "sessions", static_cast<std::int64_t>(this->sessionCount) } });
  }
}

void
ProxyDaemon::UpdateKeepAliveTime()
{
  this->sessionHooks->keepAliveTime = StopSchedule::KeepAliveTime(
    this->settings.stopLimit, this->sessionHooks->limits.idleTimeout);
}

void
ProxyDaemon::ReloadSettings()
{
  const auto content = this->settingsFile.Read();
  const auto& newSettings = content.settings;
  if (!newSettings) {
    this->OnSettingsUnreadable(content);
    return;
  }
  this->settingsErrors.clear();
  this->incompleteReadings = 0;
  const bool isChanged =
    newSettings->retryRatio != this->settings.retryRatio ||
    newSettings->freeRetries != this->settings.freeRetries ||
    newSettings->trialShare != this->settings.trialShare ||
    newSettings->stopLimit != this->settings.stopLimit ||
    newSettings->expectedHosts != this->settings.expectedHosts;
  if (!isChanged) {
    return;
  }
  this->settings.retryRatio = newSettings->retryRatio;
  this->settings.freeRetries = newSettings->freeRetries;
  this->settings.trialShare = newSettings->trialShare;
  this->settings.stopLimit = newSettings->stopLimit;
  this->settings.expectedHosts = newSettings->expectedHosts;
  this->budgets.SetAllowance(this->RetryAllowance());
  this->UpdateKeepAliveTime();
  this->UpdateBroker();
  this->log.Write(LogLevel::Info, "settings_reloaded");
}

void
ProxyDaemon::OnSettingsUnreadable(const SettingsFile::Content& aContent)
{
  if (aContent.errors != this->settingsErrors) {
    for (const std::string& error : aContent.errors) {
      this->log.Write(
        LogLevel::Warning, "settings_unreadable", { { "why", error } });
    }
    this->settingsErrors = aContent.errors;
  }
  if (!aContent.isIncomplete ||
      ++this->incompleteReadings > kMaxIncompleteReadings) {
    return;
  }
  this->rereadTimer.expires_after(kRereadInterval);
  this->rereadTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->ReloadSettings();
    }
  });
}

void
ProxyDaemon::LogPeerTraffic() const
{
  const gateway::PeerCounts& counts = this->peers.Counts();
  this->log.Write(
    LogLevel::Info,
    "peer_traffic",
    { { "bytes", static_cast<std::int64_t>(counts.bytes) },
      { "cross_domain_body_bytes",
        static_cast<std::int64_t>(this->shared.crossDomainBodyBytes) },
      { "dropped", static_cast<std::int64_t>(counts.dropped) },
      { "store_calls",
        static_cast<std::int64_t>(this->watcher->RequestCount()) },
      { "is_watching", this->relay->ShouldWatch() },
      { "gossip_digests", SentCount<gossip::Digest>(counts) },
      { "gossip_deltas", SentCount<gossip::Delta>(counts) },
      { "slot_requests", SentCount<wire::SlotRequest>(counts) },
      { "slot_decisions", SentCount<wire::SlotDecision>(counts) },
      { "slot_releases", SentCount<wire::SlotRelease>(counts) },
      { "store_news", SentCount<wire::StoreNews>(counts) },
      { "store_beats", SentCount<wire::StoreBeat>(counts) },
      { "store_requests", SentCount<wire::StoreNewsRequest>(counts) },
      { "far_gossip_kb", FarKilobytes<gossip::Digest, gossip::Delta>(counts) },
      { "far_slots_kb",
        FarKilobytes<wire::SlotRequest, wire::SlotDecision, wire::SlotRelease>(
          counts) },
      { "far_news_kb",
        FarKilobytes<wire::StoreNews, wire::StoreNewsRequest>(counts) },
      { "far_beats_kb", FarKilobytes<wire::StoreBeat>(counts) },
      { "far_usage_kb",
        FarKilobytes<wire::UsageNews, wire::UsageRequest, wire::UsageLease>(
          counts) } });
}

void
ProxyDaemon::ScheduleSettingsCheck()
{
  this->settingsTimer.expires_after(kSettingsInterval);
  this->settingsTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->LogPeerTraffic();
      this->ReloadSettings();
      this->ScheduleSettingsCheck();
    }
  });
}

//==============================================================================
std::string
ProxyDaemon::MetricsText()
{
  this->metrics.Set("store_requests",
                    static_cast<double>(this->watcher->RequestCount()));
  this->metrics.Set("measurements", static_cast<double>(this->prober.Count()));
  this->metrics.Set("peer_messages_dropped",
                    static_cast<double>(this->peers.Counts().dropped));
  const gateway::PeerCounts& counts = this->peers.Counts();
  this->metrics.Set(
    "far_gossip_kb",
    static_cast<double>(FarKilobytes<gossip::Digest, gossip::Delta>(counts)));
  this->metrics.Set(
    "far_slots_kb",
    static_cast<double>(
      FarKilobytes<wire::SlotRequest, wire::SlotDecision, wire::SlotRelease>(
        counts)));
  this->metrics.Set(
    "far_news_kb",
    static_cast<double>(
      FarKilobytes<wire::StoreNews, wire::StoreNewsRequest>(counts)));
  this->metrics.Set("far_beats_kb",
                    static_cast<double>(FarKilobytes<wire::StoreBeat>(counts)));
  this->metrics.Set("cross_domain_body_bytes",
                    static_cast<double>(this->shared.crossDomainBodyBytes));
  this->metrics.Set("requests_in_progress",
                    static_cast<double>(this->requestCount));
  this->metrics.Set("requests_waiting",
                    static_cast<double>(this->broker.WaitingCount()));
  this->metrics.Set("sessions", static_cast<double>(this->sessionCount));
  this->metrics.Set("body_memory_bytes",
                    static_cast<double>(this->bodyMemory->Used()));
  this->metrics.Set("body_memory_limit_bytes",
                    static_cast<double>(this->bodyMemory->Limit()));
  this->metrics.Set("body_memory_refusals",
                    static_cast<double>(this->bodyMemory->RefusedCount()));
  this->metrics.Set("socket_buffer_bytes",
                    static_cast<double>(this->socketBuffers.Bytes()));
  this->metrics.Set(
    "ready_connections_dropped",
    static_cast<double>(this->readyEndpoint->DroppedConnections()));
  this->metrics.Set(
    "operator_connections_dropped",
    static_cast<double>(this->operatorEndpoint->DroppedConnections()));
  this->metrics.Set("peer_connections_dropped",
                    static_cast<double>(counts.connectionsDropped));
  this->metrics.Set(
    "instances",
    static_cast<double>(this->storeView.Directory().InstanceCount()));
  this->metrics.Set("store_era", static_cast<double>(this->watcher->Era()));
  this->metrics.Set("store_is_lost",
                    this->watcher->IsStoreUnavailable() ? 1 : 0);
  if (this->usage) {
    this->usage->UpdateMetrics();
  }
  if (this->storeView.Keys()) {
    const auto& inForce = this->storeView.Routes()->Configuration();
    this->metrics.Set("organisations",
                      static_cast<double>(inForce.organisations.size()));
    this->metrics.Set("organisation_keys",
                      static_cast<double>(this->storeView.Keys()->KeyCount()));
  }
  this->metrics.Set(
    "configuration_version",
    static_cast<double>(this->storeView.ConfigurationVersion()));
  return this->metrics.Text();
}

std::string
ProxyDaemon::DumpText() const
{
  json::array domains;
  for (const std::string& domain : this->storeView.Directory().DomainsOut()) {
    domains.emplace_back(domain);
  }
  json::array rollouts;
  for (const auto& [service, order] : this->storeView.Directory().Rollouts()) {
    rollouts.push_back(
      json::object{ { "service", service },
                    { "version", order.targetVersion },
                    { "state", routing::NameOf(order.state) } });
  }
  json::object dump{
    { "name", this->settings.name },
    { "is_stopping", this->isStopping },
    { "configuration_version", this->storeView.ConfigurationVersion() },
    { "organisations",
      this->storeView.Routes()
        ? this->storeView.Routes()->Configuration().organisations.size()
        : 0 },
    { "organisation_keys",
      this->storeView.Keys() ? this->storeView.Keys()->KeyCount() : 0 },
    { "store_is_lost", this->watcher->IsStoreUnavailable() },
    { "store_era", this->watcher->Era() },
    { "instances", this->storeView.Directory().InstanceCount() },
    { "requests_in_progress", this->requestCount },
    { "requests_waiting", this->broker.WaitingCount() },
    { "sessions", this->sessionCount },
    { "domains_out", domains },
    { "rollouts", rollouts }
  };
  if (this->usage) {
    dump["usage"] = this->usage->Dump();
  }
  return json::serialize(dump) + "\n";
}

} // namespace fireflytrail::proxy
