#include "daemon/Controller.h"

#include "core/ErrorTable.h"
#include "core/SignalName.h"
#include "core/StopSignals.h"
#include "daemon/AddressBinder.h"
#include "daemon/ProcessUsage.h"
#include "daemon/StatusReport.h"
#include "daemon/TrafficState.h"
#include "daemon/TrafficThread.h"
#include "gateway/SocketAddress.h"
#include "gossip/WatcherElection.h"
#include "routing/ServerHealth.h"
#include "statechart/Chart.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <cassert>
#include <csignal>
#include <random>
#include <utility>

namespace fireflytrail::daemon {

namespace json = boost::json;
using boost::asio::ip::tcp;
using core::ErrorKind;
using core::LogLevel;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

// Until a daemon has received the records of a peer after its start, it does
// not know which requests crash servers and which versions have been taken
// back. It refuses calls until then, but serves without a peer after this time.
constexpr auto kInitialSyncLimit = 3s;

// An address that is in use is tried for the drain limit, in case a predecessor
// is stopping, and for this time in addition.
constexpr auto kBindReserve = 5s;

std::uint64_t
RandomNumber()
{
  thread_local std::mt19937_64 engine{
    std::random_device{}() ^ (std::uint64_t{ std::random_device{}() } << 32U)
  };
  return engine();
}

tcp::endpoint
SocketEndpoint(const configuration::Endpoint& aEndpoint)
{
  return { boost::asio::ip::make_address(aEndpoint.address), aEndpoint.port };
}

} // namespace

Controller::Controller(const configuration::DaemonSettings& aSettings,
                       const core::Log& aLog)
  : settings(aSettings)
  , log(aLog)
  , random(RandomNumber)
  , self{ aSettings.name, RandomNumber() }
  , signals(this->context)
  , healthTimer(this->context)
  , gossipTimer(this->context)
  , moveTimer(this->context)
  , refreshTimer(this->context)
  , drain(this->context, aLog)
  , ledger(this->self, RandomNumber(), std::chrono::steady_clock::now)
  , guard(std::chrono::steady_clock::now,
          [this](const calls::CrashEntry& aEntry) {
            boost::asio::post(this->context, [this, aEntry] {
              this->records->Publish(aEntry);
            });
          })
  , trafficHooks{ .ledger = this->ledger,
                  .guard = this->guard,
                  .metrics = this->metrics,
                  .log = aLog,
                  .now = std::chrono::steady_clock::now,
                  .random = RandomNumber,
                  .forward =
                    [this](gossip::Peer aPeer,
                           wire::ForwardCall aCall,
                           gateway::PeerHub::ForwardFunction aOnEnd) {
                      boost::asio::post(this->context,
                                        [this,
                                         peer = std::move(aPeer),
                                         call = std::move(aCall),
                                         onEnd = std::move(aOnEnd)]() mutable {
                                          this->hub->Forward(peer,
                                                             std::move(call),
                                                             std::move(onEnd));
                                        });
                    },
                  .recordAttempt =
                    [this](const AttemptRecord& aRecord) {
                      this->RecordAttempt(aRecord);
                    } }
  , tableFactory(aSettings.name)
  , machine(statechart::Chart::Embedded("daemon"),
            [this](std::string_view aAction) { this->RunAction(aAction); })
  , table(std::make_shared<routing::RoutingTable>())
{
}

Controller::~Controller()
{
  // Pending handlers may own calls, which must end before the traffic threads
  // that run them are destroyed.
  if (this->hub) {
    this->hub->Close();
  }
  this->context.restart();
  this->context.poll();
  this->threads.clear();
}

void
Controller::Run()
{
  std::vector<gossip::ListedHost> seedPeers;
  for (const auto& [name, address] : this->settings.peers) {
    seedPeers.push_back({ name, address.ToString(), false });
  }
  this->node->Members().SetHostList(std::move(seedPeers));
  // Replaces the record that an earlier process of this daemon published.
  this->node->Exchanger().PublishUrgent(GossipRecords::kIdleKey,
                                        GossipRecords::FormatIdle({}));
  this->startedAt = std::chrono::steady_clock::now();
  this->feed->Start();
  this->StartTimers();
  for (const auto& thread : this->threads) {
    thread->Start();
  }
  this->log.Write(
    LogLevel::Info,
    "daemon_started",
    { { "name", this->self.name },
      { "start", fmt::format("{:x}", this->self.start) },
      { "listen", gateway::FormatSocketAddress(this->CallerEndpoint()) },
      { "operator_listen",
        gateway::FormatSocketAddress(this->OperatorEndpointAddress()) },
      { "peer_listen", gateway::FormatSocketAddress(this->PeerEndpoint()) } });
  this->context.run();
  this->log.Write(
    LogLevel::Info, "daemon_stopped", { { "name", this->self.name } });
}

void
Controller::StopOnSignals()
{
  this->signals.add(SIGTERM);
  this->signals.add(SIGINT);
  this->signals.async_wait(
    [this](boost::system::error_code aError, int aSignal) {
      if (!aError) {
        this->log.Write(LogLevel::Info,
                        "stop_requested",
                        { { "signal", core::SignalName(aSignal) } });
        this->machine.Handle("stop_requested");
      }
    });
  core::StopSignals::Release();
}

void
Controller::RequestStop()
{
  boost::asio::post(this->context,
                    [this] { this->machine.Handle("stop_requested"); });
}

tcp::endpoint
Controller::CallerEndpoint() const
{
  return this->threads.front()->LocalEndpoint();
}

tcp::endpoint
Controller::PeerEndpoint() const
{
  return this->hub->LocalEndpoint();
}

tcp::endpoint
Controller::OperatorEndpointAddress() const
{
  return this->endpoint->LocalEndpoint();
}

bool
Controller::Open()
{
  AddressBinder binder(this->log, this->settings.drainLimit + kBindReserve);
  this->hub = std::make_shared<gateway::PeerHub>(
    this->context,
    this->self,
    gateway::PeerHubHooks{
      .onGossip =
        [this](const std::string& aFrom,
               const gossip::GossipMessage& aMessage) {
          this->node->Receive(aFrom, aMessage);
        },
      .onForwardCall =
        [this](wire::ForwardCall aCall,
               gateway::PeerHubHooks::ReplyFunction aReply) {
          this->OnForwardedCall(std::move(aCall), std::move(aReply));
        } });
  if (!binder.Bind("peer_listen", this->settings.peerListen.ToString(), [this] {
        return this->hub->Open(SocketEndpoint(this->settings.peerListen));
      })) {
    return false;
  }
  this->node = std::make_unique<gossip::GossipNode>(
    this->self,
    gateway::FormatSocketAddress(this->hub->LocalEndpoint()),
    gossip::GossipHooks{
      .now = std::chrono::steady_clock::now,
      .wallNow = std::chrono::system_clock::now,
      .random = RandomNumber,
      .send =
        [this](const gossip::Peer& aPeer,
               const gossip::GossipMessage& aMessage) {
          this->hub->SendGossip(aPeer, aMessage);
        },
      .recordChanged =
        [this](const core::DaemonId& aOrigin, const gossip::Record& aRecord) {
          this->OnRecord(aOrigin, aRecord);
        },
      .desiredAccepted =
        [this](std::uint64_t aVersion, const std::string& aDocument) {
          this->OnDesiredState(aVersion, aDocument);
        },
      .hostsAccepted =
        [this](std::uint64_t, const std::string& aText) {
          this->OnHostList(aText);
        } });
  this->records = std::make_unique<GossipRecords>(
    std::chrono::steady_clock::now,
    [this](std::string_view aKey, std::string_view aValue) {
      this->node->Exchanger().PublishUrgent(aKey, aValue);
    });
  this->health = std::make_unique<routing::HealthMonitor>(
    this->self.name,
    std::chrono::steady_clock::now,
    [this](const routing::HealthObservation& aObservation) {
      this->records->Publish(aObservation);
    });
  this->activity = std::make_unique<routing::ServiceActivity>(
    this->self.name,
    std::chrono::steady_clock::now,
    [this](const std::vector<std::string>& aIdle) {
      this->node->Exchanger().PublishUrgent(GossipRecords::kIdleKey,
                                            GossipRecords::FormatIdle(aIdle));
    });
  this->moves = std::make_unique<MoveController>(
    *this->node,
    MoveHooks{ .now = std::chrono::steady_clock::now,
               .wallNow = std::chrono::system_clock::now,
               .sharesChanged = [this] { this->isTableOutdated = true; },
               .writeState =
                 [this](const std::string& aId,
                        configuration::MoveState aState,
                        const std::string& aReason) {
                   this->WriteMoveState(aId, aState, aReason);
                 },
               .report =
                 [this](const std::string& aId, const std::string& aText) {
                   this->log.Write(LogLevel::Info,
                                   "move_ended",
                                   { { "id", aId }, { "why", aText } });
                 } });
  this->feed = std::make_unique<StoreFeed>(
    this->context,
    SocketEndpoint(this->settings.store),
    StoreFeedHooks{
      .random = RandomNumber,
      .isWatcher =
        [this] {
          return gossip::WatcherElection::IsWatcher(
            this->self.name, this->node->Members().AliveNames());
        },
      .onDesiredState =
        [this](std::uint64_t aVersion, std::string aDocument) {
          this->node->Desired().OfferFromStore(aVersion, std::move(aDocument));
        },
      .onHostList =
        [this](std::uint64_t aVersion, std::string aText) {
          this->node->Hosts().OfferFromStore(aVersion, std::move(aText));
        },
      .hostsVersion = [this] { return this->node->Hosts().HeldVersion(); },
      .onReadSucceeded = [this] { this->node->Exchanger().OnStoreRead(); } });
  this->endpoint = std::make_unique<OperatorEndpoint>(
    this->context,
    OperatorPages{ .metrics = [this] { return this->MetricsText(); },
                   .dump = [this] { return this->DumpText(); },
                   .status = [this] { return this->StatusText(); } });
  if (!binder.Bind(
        "operator_listen", this->settings.operatorListen.ToString(), [this] {
          return this->endpoint->Open(
            SocketEndpoint(this->settings.operatorListen));
        })) {
    return false;
  }
  tcp::endpoint listen = SocketEndpoint(this->settings.listen);
  for (unsigned index = 0; index < this->settings.trafficThreads; ++index) {
    auto thread = std::make_unique<TrafficThread>(
      this->trafficHooks, routing::ServerSelector::kDefaultPolicy);
    if (!binder.Bind("listen", this->settings.listen.ToString(), [&] {
          return thread->Open(listen);
        })) {
      return false;
    }
    // All threads listen on the port that was assigned to the first one.
    listen = thread->LocalEndpoint();
    this->threads.push_back(std::move(thread));
  }
  return true;
}

void
Controller::StartTimers()
{
  this->SchedulePeriodic(this->healthTimer,
                         routing::ServerHealth::kTickInterval,
                         [this] { this->OnHealthTick(); });
  this->SchedulePeriodic(this->gossipTimer,
                         gossip::GossipExchanger::kTickInterval,
                         [this] { this->OnGossipTick(); });
  this->SchedulePeriodic(
    this->moveTimer, MoveController::kTickInterval, [this] {
      this->moves->Tick();
      if (this->isTableOutdated) {
        this->RebuildTable();
      }
    });
  this->SchedulePeriodic(
    this->refreshTimer, 1s, [this] { this->OnRefreshTick(); });
}

void
Controller::SchedulePeriodic(boost::asio::steady_timer& aTimer,
                             milliseconds aInterval,
                             std::function<void()> aFunction)
{
  aTimer.expires_after(aInterval);
  aTimer.async_wait([this, &aTimer, aInterval, function = std::move(aFunction)](
                      boost::system::error_code aError) mutable {
    if (aError) {
      return;
    }
    function();
    this->SchedulePeriodic(aTimer, aInterval, std::move(function));
  });
}

void
Controller::OnDesiredState(std::uint64_t aVersion, const std::string& aDocument)
{
  auto state = configuration::DesiredState::Parse(aDocument);
  if (!state) {
    this->log.Write(LogLevel::Error,
                    "desired_state_invalid",
                    { { "version", static_cast<std::int64_t>(aVersion) },
                      { "error", state.error().front().ToString() } });
    return;
  }
  if (state.value().text.empty()) {
    return;
  }
  auto parsed = configuration::OperatorText::Parse(state.value().text);
  if (!parsed) {
    this->log.Write(LogLevel::Error,
                    "text_invalid",
                    { { "version", static_cast<std::int64_t>(aVersion) },
                      { "error", parsed.error().front().ToString() } });
    return;
  }
  this->desiredVersion = aVersion;
  this->desired = std::move(state).value();
  this->text = std::move(parsed).value();
  for (const auto& error : this->settings.CheckAgainst(*this->text)) {
    this->log.Write(LogLevel::Warning,
                    "settings_do_not_fit_text",
                    { { "error", error.ToString() } });
  }
  this->feed->Client().NoteVersion(configuration::DesiredState::kKey, aVersion);
  this->log.Write(LogLevel::Info,
                  "desired_state_accepted",
                  { { "version", static_cast<std::int64_t>(aVersion) } });
  this->moves->SetDesired(aVersion, this->desired, *this->text);
  this->machine.Handle("configured");
  this->RebuildTable();
}

void
Controller::OnHostList(const std::string& aText)
{
  auto list = store::HostList::Parse(aText);
  if (!list) {
    this->log.Write(LogLevel::Error,
                    "host_list_invalid",
                    { { "error", list.error().detail } });
    return;
  }
  this->hosts = std::move(list).value();
  std::vector<gossip::ListedHost> listed;
  for (const store::HostEntry& host : this->hosts.hosts) {
    if (host.kind == store::HostKind::Entry) {
      listed.push_back(
        { host.id, host.peerAddress, host.state == store::HostState::Leaving });
    }
  }
  this->node->Members().SetHostList(std::move(listed));
  this->RebuildTable();
}

void
Controller::OnRecord(const core::DaemonId& aOrigin,
                     const gossip::Record& aRecord)
{
  this->moves->ReceiveRecord(aOrigin, aRecord);
  // A daemon's address is its first record. From now on calls can be forwarded
  // to it, so the traffic threads need its address.
  if (aRecord.key == gossip::Membership::kAddressKey) {
    this->isTableOutdated = true;
  }
  for (const auto& observation :
       GossipRecords::ParseHealth(aRecord.key, aRecord.value)) {
    this->health->OnPeerObservation(aOrigin.name, observation);
  }
  if (aRecord.key == GossipRecords::kIdleKey) {
    this->activity->SetIdleServices(aOrigin.name,
                                    GossipRecords::ParseIdle(aRecord.value));
  }
  for (const auto& entry :
       GossipRecords::ParseCrashes(aRecord.key, aRecord.value)) {
    this->guard.Merge(entry);
  }
}

void
Controller::OnForwardedCall(wire::ForwardCall aCall,
                            gateway::PeerHubHooks::ReplyFunction aReply)
{
  gateway::CallRequest call;
  call.method = boost::beast::http::string_to_verb(aCall.method);
  call.service = std::move(aCall.service);
  call.target = std::move(aCall.target);
  for (const wire::Header& header : aCall.headers) {
    call.fields.insert(header.name, header.value);
  }
  call.body = std::move(aCall.body);
  call.deadline = aCall.deadline;
  call.ticket = std::move(aCall.ticket);
  call.attempt = aCall.attempt;
  call.depth = aCall.callDepth;
  TrafficThread& thread =
    *this->threads[this->nextForwardThread++ % this->threads.size()];
  thread.RunForwarded(
    std::move(call),
    [this, reply = std::move(aReply)](const gateway::CallAnswer& aAnswer) {
      wire::ForwardAnswer answer;
      answer.status = aAnswer.answer->status;
      for (const auto& [name, value] : aAnswer.answer->headers) {
        answer.headers.push_back({ name, value });
      }
      answer.body = aAnswer.answer->body;
      answer.errorKind = aAnswer.kind;
      answer.outcome = core::ErrorTable::RowOf(aAnswer.kind).outcome;
      boost::asio::post(this->context,
                        [reply, answer = std::move(answer)] { reply(answer); });
    });
}

void
Controller::OnHealthTick()
{
  for (const routing::ServiceRoute& service : this->table->Services()) {
    this->activity->UpdateCallCount(service.name, service.load->Demand());
    this->health->SetHosts(
      service.name,
      this->activity->ActiveHosts(service.name, this->entryHosts));
  }
  this->health->Tick();
  this->records->Flush();
}

void
Controller::OnGossipTick()
{
  this->node->Tick();
  if (!this->hasInitialSyncEnded && this->HasInitialSyncEnded()) {
    this->hasInitialSyncEnded = true;
    this->isTableOutdated = true;
  }
  this->machine.Handle(this->node->Exchanger().IsStale() ? "pause_detected"
                                                         : "contact_confirmed");
}

void
Controller::OnRefreshTick()
{
  if (!this->text) {
    return;
  }
  // No event reports membership changes, so they are polled.
  if (TrafficStateFactory::EntryHosts(*this->node) != this->entryHosts) {
    this->RebuildTable();
  } else {
    this->Publish();
  }
}

void
Controller::RecordAttempt(const AttemptRecord& aRecord)
{
  // Runs on the traffic threads, so it does no work while no version move is
  // running.
  if (!this->moves->IsRecordingAttempts()) {
    return;
  }
  boost::asio::post(this->context, [this, aRecord] {
    const routing::ServerHealth* server = this->health->Find(aRecord.serverId);
    const bool isWarm =
      server != nullptr && server->State() == routing::ServerState::Ready;
    this->moves->Record(aRecord, isWarm);
  });
}

void
Controller::WriteMoveState(const std::string& aId,
                           configuration::MoveState aState,
                           const std::string& aReason)
{
  const std::string body =
    this->desired.WithMoveState(aId, aState, aReason).Serialize();
  this->feed->Client().Write(std::string(configuration::DesiredState::kKey),
                             body,
                             this->desiredVersion,
                             [this, body](const store::StoreResult& aResult) {
                               // After a conflict, the newer state arrives from
                               // the store or a peer, and `MoveController`
                               // repeats the write based on it.
                               if (aResult.status == store::StoreStatus::Ok) {
                                 this->node->Desired().OfferFromStore(
                                   aResult.object.version, body);
                               }
                             });
}

void
Controller::RebuildTable()
{
  if (!this->text) {
    return;
  }
  this->isTableOutdated = false;
  this->entryHosts = TrafficStateFactory::EntryHosts(*this->node);
  this->table = this->tableFactory.Make(
    { .desiredVersion = this->desiredVersion,
      .text = *this->text,
      .hosts = this->hosts,
      .entryHosts = this->entryHosts,
      .versionShares =
        [this](const configuration::ServiceSettings& aService) {
          return this->moves->VersionSharesOf(aService);
        },
      .domainShare =
        [this](const std::string& aDomain) {
          return this->moves->DomainShareOf(aDomain);
        } });
  this->health->SetServers(this->tableFactory.Builder(), *this->table);
  this->Publish();
}

void
Controller::Publish()
{
  const auto state = std::make_shared<TrafficState>(
    this->stateFactory.Make(*this->text, *this->node));
  state->refusalKind = this->RefusalKind();
  state->table = this->table;
  ++this->publicationNumber;
  this->appliedThreads = 0;
  for (const auto& thread : this->threads) {
    thread->Publish(
      state,
      [this, version = this->desiredVersion, number = this->publicationNumber] {
        boost::asio::post(this->context, [this, version, number] {
          this->OnApplied(version, number);
        });
      });
  }
}

void
Controller::OnApplied(std::uint64_t aVersion, std::uint64_t aPublicationNumber)
{
  if (aPublicationNumber != this->publicationNumber) {
    return;
  }
  ++this->appliedThreads;
  const bool isNew =
    this->appliedThreads == this->threads.size() &&
    this->node->Desired().StatusOf(this->self.name)->appliedVersion != aVersion;
  if (isNew && aVersion > 0) {
    this->node->Desired().ConfirmApplied(aVersion);
    this->log.Write(LogLevel::Info,
                    "desired_state_in_force",
                    { { "version", static_cast<std::int64_t>(aVersion) } });
  }
}

bool
Controller::HasInitialSyncEnded() const
{
  const auto age = std::chrono::steady_clock::now() - this->startedAt;
  if (age >= kInitialSyncLimit || this->node->Exchanger().LastExchange()) {
    return true;
  }
  // Once the host list is known, a single member means that there is no peer.
  return this->hosts.version > 0 && this->node->Members().Members().size() <= 1;
}

ErrorKind
Controller::RefusalKind() const
{
  if (this->machine.Is("serving")) {
    return this->hasInitialSyncEnded ? ErrorKind::None
                                     : ErrorKind::NoConfiguration;
  }
  // During a graceful stop, callers that are still connected are served.
  if (this->machine.Is("stopping") && this->text) {
    return ErrorKind::None;
  }
  return this->machine.Is("stopped") ? ErrorKind::Stopping
                                     : ErrorKind::NoConfiguration;
}

void
Controller::RunAction(std::string_view aAction)
{
  this->log.Write(
    LogLevel::Info,
    "daemon_state",
    { { "action", aAction }, { "state", this->machine.State() } });
  if (aAction == "start_drain") {
    this->BeginStop();
  } else if (aAction == "close_all") {
    this->context.stop();
  } else if (this->text) {
    // The other actions change `RefusalKind`, which the snapshot contains.
    this->Publish();
  }
}

void
Controller::BeginStop()
{
  this->node->AnnounceLeaving();
  this->drain.Begin(
    this->threads, this->settings.drainLimit, [this](bool aIsDrained) {
      this->machine.Handle(aIsDrained ? "drained" : "drain_limit_reached");
    });
}

std::string
Controller::DumpText() const
{
  json::object dump{
    { "name", this->self.name },
    { "start", fmt::format("{:x}", this->self.start) },
    { "state", this->machine.State() },
    { "desired_version", this->desiredVersion },
    { "host_list_version", this->hosts.version },
    { "plausible_hosts", this->node->Members().ConservativeHostCount() },
    { "is_watcher",
      gossip::WatcherElection::IsWatcher(this->self.name,
                                         this->node->Members().AliveNames()) },
    { "tickets_outstanding", this->ledger.UnexpiredCount() },
    { "kept_answer_bytes", this->ledger.KeptBytes() },
    { "crash_entries", this->guard.Entries().size() },
    { "hosts", StatusReport::Hosts(*this->node) },
    { "moves",
      StatusReport::Moves(this->desired, this->moves->Descriptions()) },
    { "servers",
      StatusReport::Servers(this->tableFactory.Builder(), *this->health) }
  };
  return json::serialize(dump) + "\n";
}

std::string
Controller::StatusText() const
{
  const json::object status{
    { "name", this->self.name },
    { "state", this->machine.State() },
    { "desired_version", this->desiredVersion },
    { "newest_version_seen", this->node->Desired().NewestSeen() },
    { "hosts", StatusReport::Hosts(*this->node) },
    { "moves", StatusReport::Moves(this->desired, this->moves->Descriptions()) }
  };
  return json::serialize(status) + "\n";
}

std::string
Controller::MetricsText()
{
  this->metrics.Set(
    "control_processor_seconds",
    std::chrono::duration<double>(ProcessUsage::ThreadCpuTime()).count());
  this->metrics.Set("resident_bytes",
                    static_cast<double>(ProcessUsage::ResidentBytes()));
  this->metrics.Set("peer_bytes",
                    static_cast<double>(this->hub->Counts().bytes));
  this->metrics.Set("peer_corrupt_frames",
                    static_cast<double>(this->hub->Counts().corruptFrames));
  this->metrics.Set("store_requests",
                    static_cast<double>(this->feed->Client().RequestCount()));
  this->metrics.Set("desired_version",
                    static_cast<double>(this->desiredVersion));
  this->metrics.Set("tickets_outstanding",
                    static_cast<double>(this->ledger.UnexpiredCount()));
  return this->metrics.Text();
}

} // namespace fireflytrail::daemon
