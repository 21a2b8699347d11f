#include "soak/Soak.h"

#include "soak/Caller.h"
#include "soak/DaemonProcess.h"
#include "soak/FaultLink.h"
#include "soak/HttpService.h"
#include "soak/Server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

namespace fireflytrail::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto kService = "s";

// Time for the daemons to start and discover each other before the callers
// start, as on the platform.
constexpr auto kStartupTime = 4s;
// Time without faults at the end of a run, in which the daemons must recover.
// It is longer than the longest exclusion of a server that has failed: in it,
// each server must get a request. In its last part, `kRecoveryCheckTime`, the
// share of served requests must reach `kMinServedRatio`.
constexpr auto kRecoveryTime = 10s;
constexpr auto kRecoveryCheckTime = 2s;
constexpr double kMinServedRatio = 0.9;

// Phases of this length alternate: one with planned operations only, then one
// with unplanned faults and configuration changes.
constexpr auto kPhaseTime = 6s;

// Time after the end of a fault, or after the start of a daemon, during which
// violations that it may cause are not reported.
constexpr auto kGraceTime = 3s;

// Time limit of the platform for a stop, plus the allowance below.
constexpr auto kStopLimit = 6250ms;
// Time within which a daemon may close a connection that a request crosses, and
// time after which the servers have recorded each request.
constexpr auto kCrossingTime = 200ms;
constexpr auto kRecordingTime = 500ms;
// Time in which a daemon that stops has callers of its own besides the others.
constexpr auto kStopCallersTime = 4s;
constexpr unsigned kMaxEarlySignalMs = 20;
constexpr unsigned kMaxStopSignalMs = 5000;
constexpr unsigned kMaxRewriteMs = 300;
constexpr unsigned kMaxStartRewriteMs = 50;
constexpr unsigned kMaxSeriesMs = 2800;
// Servers that left before a loss of power serve on until the daemons have been
// back for a while.
constexpr auto kEndDelayAfterPowerLoss = 12s;

// Time limits of the platform for draining servers and for new configurations,
// plus an allowance for scheduling delays of the test machine. `kRemovalDelay`
// is the time from the start of draining to the end of the server.
constexpr auto kDrainLimit = 2250ms;
constexpr auto kConfigurationLimit = 2250ms;
constexpr auto kRemovalDelay = 3500ms;

constexpr auto kReadinessInterval = 250ms;
constexpr unsigned kMissesUntilNotReady = 2;
constexpr auto kRestartDelay = 300ms;

/** Sends one GET request; returns the status, or 0 if there is no response. */
asio::awaitable<unsigned>
GetStatus(asio::io_context& aContext,
          tcp::endpoint aServer,
          std::string aTarget,
          milliseconds aTimeLimit,
          std::string aKey = {})
{
  boost::beast::tcp_stream stream(aContext);
  boost::system::error_code error;
  stream.expires_after(aTimeLimit);
  co_await stream.async_connect(
    aServer, asio::redirect_error(asio::use_awaitable, error));
  HttpRequest request(http::verb::get, aTarget, 11);
  request.set(http::field::host, "soak.example");
  request.set("X-Request-Id",
              fmt::format("{}{}",
                          RequestHistory::kProbePrefix,
                          aServer.address().to_string()));
  request.set("X-Request-Timeout-Ms", std::to_string(aTimeLimit.count()));
  if (!aKey.empty()) {
    request.set(http::field::authorization, "Bearer " + aKey);
  }
  HttpResponse response;
  response.result(0U);
  boost::beast::flat_buffer buffer;
  if (!error) {
    co_await http::async_write(
      stream, request, asio::redirect_error(asio::use_awaitable, error));
  }
  if (!error) {
    co_await http::async_read(stream,
                              buffer,
                              response,
                              asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error ? 0 : response.result_int();
}

json::object
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          bool aIsAtMostOnce,
          std::string_view aService = kService)
{
  return { { "EntryType", "Routes" },
           { "Metadata", json::object{ { "Name", aName } } },
           { "Spec",
             json::object{
               { "Host", "soak.example" },
               { "PathPrefix", aPrefix },
               { "Type", aIsAtMostOnce ? "non_idempotent" : "idempotent" },
               { "TimeoutMs", 2000 },
               { "TargetLatencyMs", 300 },
               { "Priority", 0 },
               { "Service", aService },
               { "MaxAttempts", 3 } } } };
}

} // namespace

/** One host, its daemon and its connection to the store. */
struct Soak::Host
{
  std::unique_ptr<DaemonProcess> process;
  /** Proxy between the daemon and the store. */
  std::shared_ptr<FaultLink> link;
  /** Earlier processes at the same address that are still stopping. */
  std::vector<std::unique_ptr<DaemonProcess>> predecessors;
  /** Signals for the next process, with the times from its start. */
  std::vector<std::pair<milliseconds, int>> earlySignals;
  /** Time from the next start until its settings file is complete. */
  std::optional<milliseconds> startRewriteTime;
  bool isReady = false;
  TimePoint startedAt{};
  TimePoint pausedUntil{};
  /** Requests sent before this time may be lost: the daemon was killed or
   * paused. */
  TimePoint disruptedUntil{};
  /** Before this time the daemon, or its way to the store, was disrupted. */
  TimePoint inTouchFrom{};

  /** Whether a process was told to stop and its successor isn't started. */
  bool IsStopping() const
  {
    return this->process->StopRequestedAt() || this->process->WasKilled();
  }

  void Disrupt(TimePoint aUntil)
  {
    this->disruptedUntil = std::max(this->disruptedUntil, aUntil);
    this->inTouchFrom = std::max(this->inTouchFrom, aUntil);
  }
};

Soak::Soak(SoakPlan aPlan, std::function<void(const std::string&)> aLog)
  : plan(std::move(aPlan))
  , log(std::move(aLog))
  , random(this->plan.seed)
  , callerRandom(this->plan.seed)
  , store(this->context)
  , oddEntries(this->store, this->plan.seed)
  , usageReports(this->context,
                 this->plan.seed,
                 [this](std::string aViolation) {
                   this->history.ReportViolation(std::move(aViolation));
                 })
  , keyRing(this->plan.seed)
{
}

Soak::~Soak() = default;

const std::vector<std::string>&
Soak::Run()
{
  this->storeEndpoint = this->store.Open();
  const tcp::endpoint usageEndpoint = this->usageReports.Open();
  if (this->plan.hasOddEntries) {
    this->oddEntries.Begin();
  }
  this->ChangeConfiguration();
  for (unsigned index = 0; index < this->plan.servers; ++index) {
    this->servers.push_back(std::make_unique<Server>(
      this->context,
      this->history,
      index % 3 == 2 ? std::string(kSecondService) : kService,
      index % 2 == 0 ? "a" : "b",
      this->random()));
    this->servers.back()->SetRunObserver(
      [this](const HttpRequest& aRequest) { this->CheckIdentity(aRequest); });
    this->servers.back()->SetOddStatuses(this->plan.hasOddStatuses);
    this->servers.back()->Start();
    this->RegisterServer(*this->servers.back());
  }
  for (unsigned index = 0; index < this->plan.daemons; ++index) {
    auto host = std::make_unique<Host>();
    host->link = std::make_shared<FaultLink>(this->context);
    host->link->Open();
    host->link->SetTarget(this->storeEndpoint);
    host->process = std::make_unique<DaemonProcess>(DaemonProcess::Options{
      .program = this->plan.program,
      .folder = this->plan.folder,
      .address = fmt::format("127.0.1.{}", index + 1),
      .domain = index % 2 == 0 ? "a" : "b",
      .firstPeer = fmt::format("127.0.1.{}", (index + 1) % 2 + 1),
      .storePort = host->link->Port(),
      .basePort = this->plan.basePort,
      .hosts = this->plan.daemons,
      .moreSettings =
        fmt::format(R"("usage_report_address": "{}:{}", "usage_window_ms": 2000,
  "usage_late_ms": 4000, "usage_calls_per_second": 50, "lease_ms": 1500)",
                    usageEndpoint.address().to_string(),
                    usageEndpoint.port()) });
    this->StartDaemon(*host);
    this->hosts.push_back(std::move(host));
  }
  const auto spawn = [this](auto aFunction) {
    asio::co_spawn(this->context, std::move(aFunction), asio::detached);
  };
  for (const auto& host : this->hosts) {
    spawn([this, &host] { return this->PollReadiness(*host); });
    spawn([this, &host] { return this->RestartOnExit(*host); });
  }
  if (this->plan.hasOddEntries) {
    spawn([this] { return this->WriteOddEntries(); });
  }
  if (this->plan.hasOlderCopies) {
    spawn([this] { return this->ReturnOlderCopies(); });
  }
  spawn([this] { return this->RunTest(); });
  this->context.run();
  this->CheckLogs();
  this->history.CheckAll();
  return this->history.Violations();
}

asio::awaitable<void>
Soak::RunTest()
{
  co_await this->Wait(kStartupTime);
  for (unsigned index = 0; index < this->plan.callers; ++index) {
    constexpr std::array kKinds = {
      Caller::Kind::Balanced,     Caller::Kind::Keeping,
      Caller::Kind::Reconnecting, Caller::Kind::SlowBody,
      Caller::Kind::Balanced,     Caller::Kind::Keeping,
      Caller::Kind::HalfClosing,  Caller::Kind::Leaving
    };
    Caller::Kind kind = kKinds[index % kKinds.size()];
    if (kind == Caller::Kind::HalfClosing && !this->plan.hasHalfClosing) {
      kind = Caller::Kind::Reconnecting;
    }
    this->StartCaller(
      kind,
      [this](bool aMustBeReady) -> std::optional<tcp::endpoint> {
        const Host& host =
          *this->hosts[this->callerRandom() % this->hosts.size()];
        return host.isReady || !aMustBeReady
                 ? std::optional(host.process->CallerEndpoint())
                 : std::nullopt;
      },
      [this] { return this->isOver; });
  }
  co_await this->InjectFaults();
  std::vector<std::size_t> runsBefore;
  for (const auto& server : this->servers) {
    runsBefore.push_back(server->RunCount());
  }
  co_await this->Wait(kRecoveryTime - kRecoveryCheckTime);
  const std::size_t servedBefore =
    this->history.Count(RequestHistory::Outcome::Success);
  const std::size_t unservedBefore =
    this->history.Count(RequestHistory::Outcome::Failure) +
    this->history.Count(RequestHistory::Outcome::ConnectionLost) +
    this->history.Count(RequestHistory::Outcome::NotRun);
  co_await this->Wait(kRecoveryCheckTime);
  const auto served = static_cast<double>(
    this->history.Count(RequestHistory::Outcome::Success) - servedBefore);
  const auto unserved = static_cast<double>(
    this->history.Count(RequestHistory::Outcome::Failure) +
    this->history.Count(RequestHistory::Outcome::ConnectionLost) +
    this->history.Count(RequestHistory::Outcome::NotRun) - unservedBefore);
  if (served < kMinServedRatio * (served + unserved) || served == 0) {
    this->history.ReportViolation(fmt::format(
      "no recovery after the faults: {} requests served, {} not served",
      served,
      unserved));
  }
  for (std::size_t index = 0; index < this->servers.size(); ++index) {
    const Server& server = *this->servers[index];
    if (server.IsUnrestricted() && server.RunCount() == runsBefore[index]) {
      this->history.ReportViolation(
        fmt::format("server {} got no request after the faults", server.Id()));
    }
  }
  if (this->usageReports.WindowCount() == 0) {
    this->history.ReportViolation("no window of usage was reported");
  }
  this->isOver = true;
  // The longest time that a caller may still wait for its last response.
  co_await this->Wait(3500ms);
  if (this->history.Count(RequestHistory::Outcome::Open) > 0) {
    this->history.ReportViolation(
      "a request has not ended within its time limit");
  }
  this->context.stop();
}

asio::awaitable<void>
Soak::InjectFaults()
{
  const TimePoint begin = std::chrono::steady_clock::now();
  const TimePoint end = begin + this->plan.faultTime;
  while (std::chrono::steady_clock::now() < end) {
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    if (elapsed / kPhaseTime % 2 == 0) {
      this->InjectPlannedOperation();
    } else {
      this->InjectRandomFault();
    }
    co_await this->Wait(milliseconds(200 + this->RandomBelow(800)));
  }
}

asio::awaitable<void>
Soak::WriteOddEntries()
{
  constexpr auto kInterval = 150ms;
  while (!this->isOver) {
    std::vector<std::string> names;
    for (const auto& server : this->servers) {
      names.push_back(server->Id());
    }
    this->oddEntries.Step(names);
    co_await this->Wait(kInterval);
  }
}

asio::awaitable<void>
Soak::ReturnOlderCopies()
{
  // Instances and operators write again after this time.
  constexpr auto kRewriteDelay = 300ms;
  // The store removes entries of instances that have gone after this time.
  constexpr auto kExpiryTime = 4500ms;
  std::mt19937_64 copyRandom{ this->plan.seed };
  const TimePoint end =
    std::chrono::steady_clock::now() + kStartupTime + this->plan.faultTime;
  co_await this->Wait(kStartupTime);
  while (std::chrono::steady_clock::now() + kExpiryTime < end) {
    this->store.Copy();
    co_await this->Wait(milliseconds(copyRandom() % 4000));
    const milliseconds away(300 + copyRandom() % 700);
    this->log(fmt::format("the store is away for {} ms and comes back older",
                          away.count()));
    this->storeDisruptedUntil = std::max(this->storeDisruptedUntil,
                                         std::chrono::steady_clock::now() +
                                           away + kRewriteDelay + kGraceTime);
    this->WaiveNotices(away + kRewriteDelay);
    this->store.SetMode(ObjectStore::Mode::Refusing);
    co_await this->Wait(away);
    this->store.ReturnOlder();
    this->store.SetMode(ObjectStore::Mode::Normal);
    co_await this->Wait(kRewriteDelay);
    this->store.WriteAgain();
    // At times the next return follows at once.
    co_await this->Wait(copyRandom() % 3 == 0 ? 0ms : kExpiryTime);
    this->store.RemoveAgain("servers");
  }
}

void
Soak::InjectPlannedOperation()
{
  switch (this->RandomBelow(10)) {
    case 0:
      this->StopGracefully(this->RandomHost());
      break;
    case 1:
      this->DrainServer(this->RandomServer(), kRemovalDelay);
      break;
    case 2:
      this->SignalTwice(this->RandomHost());
      break;
    case 3:
      this->LimitServer(this->RandomServer());
      break;
    case 4:
      this->PauseServer(this->RandomServer());
      break;
    case 5:
      this->StopInSeries();
      break;
    case 6:
      this->StopAndSignalSuccessor(this->RandomHost());
      break;
    case 7:
    case 8:
      this->ChangeSettings(this->RandomHost());
      break;
    default:
      this->ChangeConfiguration();
      break;
  }
}

void
Soak::InjectRandomFault()
{
  switch (this->RandomBelow(6)) {
    case 0:
      this->InjectStoreFault();
      break;
    case 1:
      this->InjectServerFault();
      break;
    case 2:
      this->InjectDaemonFault();
      break;
    case 3:
      this->ChangeConfiguration();
      break;
    case 4:
      if (this->RandomBelow(3) == 0) {
        this->LosePower();
        break;
      }
      [[fallthrough]];
    default:
      this->InjectPlannedOperation();
      break;
  }
}

void
Soak::InjectStoreFault()
{
  const milliseconds duration(500 + this->RandomBelow(2000));
  this->WaiveNotices(duration);
  const TimePoint disruptedUntil =
    std::chrono::steady_clock::now() + duration + kGraceTime;
  Host& host = this->RandomHost();
  FaultLink& link = *host.link;
  const std::uint64_t kind = this->RandomBelow(7);
  this->log(fmt::format("store fault {} for {} ms", kind, duration.count()));
  switch (kind) {
    case 0:
    case 1:
    case 2: {
      constexpr std::array kModes = { ObjectStore::Mode::Refusing,
                                      ObjectStore::Mode::Silent,
                                      ObjectStore::Mode::LosingAnswers };
      this->storeDisruptedUntil =
        std::max(this->storeDisruptedUntil, disruptedUntil);
      this->store.SetMode(kModes[kind]);
      this->RunAfter(
        duration, [this] { this->store.SetMode(ObjectStore::Mode::Normal); });
      break;
    }
    case 3:
      this->store.ForgetHistory();
      break;
    case 4:
      host.inTouchFrom = std::max(host.inTouchFrom, disruptedUntil);
      link.Reset();
      break;
    default:
      host.inTouchFrom = std::max(host.inTouchFrom, disruptedUntil);
      link.SetFaults(
        { .delay = kind == 5 ? 100ms : 0ms,
          .isDroppingToTarget = kind == 6 && this->RandomBelow(2) == 0,
          .isDroppingFromTarget = kind == 6 });
      this->RunAfter(duration, [&link] { link.SetFaults({}); });
      break;
  }
}

void
Soak::InjectServerFault()
{
  const milliseconds duration(300 + this->RandomBelow(1500));
  Server& server = this->RandomServer();
  const std::uint64_t kind = this->RandomBelow(6);
  this->log(fmt::format(
    "server {} fault {} for {} ms", server.Id(), kind, duration.count()));
  this->WaiveNotices(duration);
  this->serverDisruptedUntil[server.Id()] =
    std::chrono::steady_clock::now() + duration;
  switch (kind) {
    case 0:
      if (server.IsUp()) {
        server.Crash();
        this->RunAfter(duration, [this, &server] {
          this->store.Remove("servers", server.Id());
          server.Start();
          this->RegisterServer(server);
        });
      }
      break;
    case 1:
      server.SetSlowdown(10);
      this->RunAfter(duration, [&server] { server.SetSlowdown(1); });
      break;
    case 2:
      server.Link().Reset();
      break;
    case 5:
      // The server runs on, cut off from the store until its entry has expired.
      // Short gaps matter: requests then run across them.
      if (server.IsUp() && !server.IsLeaving()) {
        this->store.Remove("servers", server.Id());
        this->RunAfter(duration / 10, [this, &server, id = server.Id()] {
          if (server.IsUp() && server.Id() == id && !server.IsLeaving()) {
            this->RegisterServer(server);
          }
        });
      }
      break;
    default:
      server.Link().SetFaults(
        { .delay = kind == 3 ? 50ms : 0ms,
          .isDroppingToTarget = kind == 4,
          .isDroppingFromTarget = kind == 4 && this->RandomBelow(2) == 0 });
      this->RunAfter(duration, [&server] {
        server.Link().SetFaults({});
        // Connections that lost bytes would stay unresponsive until one side
        // times out.
        server.Link().Reset();
      });
      break;
  }
}

void
Soak::InjectDaemonFault()
{
  Host& host = this->RandomHost();
  const milliseconds duration(200 + this->RandomBelow(1300));
  this->WaiveNotices(duration);
  if (this->RandomBelow(2) == 0) {
    this->Kill(host);
    return;
  }
  this->log(fmt::format(
    "daemon {} paused for {} ms", host.process->Address(), duration.count()));
  const TimePoint until = std::chrono::steady_clock::now() + duration;
  host.pausedUntil = std::max(host.pausedUntil, until);
  host.Disrupt(until + kGraceTime);
  host.process->SendSignal(SIGSTOP);
  this->RunAfter(duration, [&host] { host.process->SendSignal(SIGCONT); });
}

void
Soak::LosePower()
{
  this->log("all daemons lose power after an acknowledgement");
  this->WaiveNotices(kRestartDelay);
  if (this->RandomBelow(2) == 0) {
    this->ChangeConfiguration();
  } else {
    this->DrainServer(this->RandomServer(), kEndDelayAfterPowerLoss);
  }
  this->RunAfter(milliseconds(this->RandomBelow(2) * this->RandomBelow(300)),
                 [this] {
                   for (const auto& host : this->hosts) {
                     this->Kill(*host);
                   }
                 });
}

void
Soak::Kill(Host& aHost)
{
  this->log(fmt::format("daemon {} killed", aHost.process->Address()));
  aHost.Disrupt(std::chrono::steady_clock::now() + kRestartDelay + kGraceTime);
  aHost.process->SendSignal(SIGKILL);
  for (const auto& predecessor : aHost.predecessors) {
    predecessor->SendSignal(SIGKILL);
  }
}

void
Soak::StopGracefully(Host& aHost)
{
  const std::uint64_t kind = this->RandomBelow(4);
  this->log(
    fmt::format("daemon {} told to stop ({})", aHost.process->Address(), kind));
  if (kind == 1) {
    aHost.process->SendSignal(SIGHUP);
  }
  aHost.process->SendSignal(SIGTERM);
  if (kind == 2 || kind == 3) {
    this->RunAfter(milliseconds(this->RandomBelow(kMaxStopSignalMs)),
                   [&aHost, signal = kind == 2 ? SIGHUP : SIGTERM] {
                     if (aHost.process->StopRequestedAt()) {
                       aHost.process->SendSignal(signal);
                     }
                   });
  }
  const bool hasSuccessor = this->RandomBelow(2) == 0;
  if (hasSuccessor && this->plan.hasSuccessors && aHost.predecessors.empty() &&
      aHost.process->IsRunning()) {
    this->RunAfter(kRestartDelay, [this, &aHost] {
      if (!aHost.process->IsRunning() || !aHost.process->StopRequestedAt()) {
        return;
      }
      this->log(fmt::format("successor of daemon {} started",
                            aHost.process->Address()));
      auto successor =
        std::make_unique<DaemonProcess>(aHost.process->StartOptions());
      aHost.predecessors.push_back(
        std::exchange(aHost.process, std::move(successor)));
      this->StartDaemon(aHost);
    });
  }
  constexpr std::array kKinds = {
    Caller::Kind::Hurried,      Caller::Kind::Hurried,
    Caller::Kind::Hurried,      Caller::Kind::Hurried,
    Caller::Kind::Reconnecting, Caller::Kind::Reconnecting,
    Caller::Kind::Keeping,      Caller::Kind::SlowBody
  };
  for (const Caller::Kind kind : kKinds) {
    this->StartCaller(
      kind,
      [&aHost](bool) { return aHost.process->CallerEndpoint(); },
      [this, end = std::chrono::steady_clock::now() + kStopCallersTime] {
        return this->isOver || std::chrono::steady_clock::now() >= end;
      });
  }
}

void
Soak::StopInSeries()
{
  const std::size_t count = 2 + this->RandomBelow(this->hosts.size() - 1);
  const std::size_t first = this->RandomBelow(this->hosts.size());
  const milliseconds step(this->RandomBelow(kMaxSeriesMs / count));
  this->log(fmt::format("{} daemons stop in series", count));
  for (std::size_t index = 0; index < count; ++index) {
    Host& host = *this->hosts[(first + index) % this->hosts.size()];
    this->RunAfter(step * index, [this, &host] {
      this->StopGracefully(host);
      if (this->RandomBelow(2) == 0) {
        this->ChangeConfiguration();
      } else {
        this->DrainServer(this->RandomServer(), kRemovalDelay);
      }
    });
  }
}

void
Soak::StopAndSignalSuccessor(Host& aHost)
{
  const std::uint64_t kind = this->RandomBelow(4);
  const milliseconds delay(this->RandomBelow(kMaxEarlySignalMs + 1));
  if (kind != 0) {
    aHost.earlySignals.emplace_back(delay, SIGHUP);
  }
  if (kind == 0 || kind == 2) {
    aHost.earlySignals.emplace_back(delay, SIGTERM);
  }
  if (kind == 3) {
    aHost.startRewriteTime =
      milliseconds(this->RandomBelow(kMaxStartRewriteMs));
  }
  this->log(fmt::format("successor of daemon {} gets signals {} after {} ms",
                        aHost.process->Address(),
                        kind,
                        delay.count()));
  this->StopGracefully(aHost);
}

void
Soak::SignalTwice(Host& aHost)
{
  this->log(
    fmt::format("daemon {} gets SIGHUP twice", aHost.process->Address()));
  aHost.process->SendSignal(SIGHUP);
  this->RunAfter(milliseconds(this->RandomBelow(2)),
                 [&aHost] { aHost.process->SendSignal(SIGHUP); });
}

void
Soak::ChangeSettings(Host& aHost)
{
  const std::uint64_t kind = this->RandomBelow(3);
  this->log(fmt::format(
    "settings of daemon {} change ({})", aHost.process->Address(), kind));
  const DaemonProcess::Reloadable settings{
    .freeRetries = static_cast<unsigned>(64 + this->RandomBelow(16)),
    .expectedHosts = static_cast<unsigned>(19 + this->RandomBelow(4))
  };
  if (kind != 0) {
    // A reader sees an incomplete file until `ReplaceSettings`.
    aHost.process->TruncateSettings();
    aHost.process->SendSignal(SIGHUP);
  }
  this->RunAfter(milliseconds(kind == 0 ? 0 : this->RandomBelow(kMaxRewriteMs)),
                 [&aHost, kind, settings] {
                   aHost.process->ReplaceSettings(settings);
                   if (kind == 2) {
                     aHost.process->SendSignal(SIGHUP);
                   }
                 });
}

void
Soak::DrainServer(Server& aServer, milliseconds aEndDelay)
{
  const bool isSilent = this->RandomBelow(3) == 0;
  const auto upCount =
    std::ranges::count_if(this->servers, [&](const auto& aCandidate) {
      return aCandidate->IsUp() && !aCandidate->IsLeaving() &&
             aCandidate->Service() == aServer.Service();
    });
  if (!aServer.IsUp() || aServer.IsLeaving() || upCount <= 1) {
    return;
  }
  this->log(fmt::format(
    "server {} starts draining{}", aServer.Id(), isSilent ? " silently" : ""));
  const TimePoint now = std::chrono::steady_clock::now();
  const TimePoint deadline =
    std::max(now, this->storeDisruptedUntil) + kDrainLimit;
  const auto isExcused =
    [this, deadline, id = aServer.Id()](const std::string& aRequestId) {
      const TimePoint arrivedAt = std::chrono::steady_clock::now();
      const Host* host = this->HostAt(this->history.DaemonOf(aRequestId));
      const auto disrupted = this->serverDisruptedUntil.find(id);
      return host == nullptr || arrivedAt < deadline ||
             arrivedAt < this->storeDisruptedUntil ||
             arrivedAt < host->inTouchFrom ||
             (disrupted != this->serverDisruptedUntil.end() &&
              arrivedAt < disrupted->second + kGraceTime);
    };
  if (isSilent) {
    aServer.LeaveSilently(now + kDrainLimit, isExcused);
    this->store.Remove("servers", aServer.Id());
  } else {
    aServer.Drain(now + kDrainLimit, isExcused);
    this->RegisterServer(aServer);
  }
  this->RunAfter(aEndDelay, [this, &aServer, id = aServer.Id()] {
    if (!aServer.IsUp() || aServer.Id() != id) {
      return;
    }
    this->store.Remove("servers", id);
    aServer.Crash();
    aServer.Start();
    this->RegisterServer(aServer);
  });
}

void
Soak::LimitServer(Server& aServer)
{
  const auto limit = static_cast<double>(1 + this->RandomBelow(20));
  const milliseconds duration(4000 + this->RandomBelow(8000));
  this->log(fmt::format("server {} names a limit of {} a second for {} ms",
                        aServer.Id(),
                        limit,
                        duration.count()));
  aServer.SetLimit(limit);
  if (std::chrono::steady_clock::now() < this->noticesWaivedUntil) {
    aServer.WaiveNotices();
  }
  this->RunAfter(duration, [&aServer, id = aServer.Id()] {
    if (aServer.Id() == id) {
      aServer.ClearLimit();
    }
  });
}

void
Soak::PauseServer(Server& aServer)
{
  const milliseconds duration(1000 + this->RandomBelow(3000));
  this->log(fmt::format(
    "server {} wants a pause of {} ms", aServer.Id(), duration.count()));
  aServer.Pause(duration, this->hosts.size());
  if (std::chrono::steady_clock::now() < this->noticesWaivedUntil) {
    aServer.WaiveNotices();
  }
}

void
Soak::ChangeConfiguration()
{
  ++this->configurationVersion;
  this->keyRing.Rotate();
  json::array entries = this->keyRing.Entries();
  json::object publicRoute =
    MakeRoute("r-public", std::string(kPublicPrefix), true);
  publicRoute["Spec"].as_object()["Public"] = true;
  entries.push_back(std::move(publicRoute));
  entries.push_back(MakeRoute("r-once", "/once/", true));
  entries.push_back(MakeRoute("r-any", "/any/", false));
  entries.push_back(MakeRoute(
    "r-second", std::string(kSecondServicePrefix), true, kSecondService));
  entries.push_back(MakeRoute(
    "r-absent", std::string(kAbsentServicePrefix), false, kAbsentService));
  const std::string prefix = fmt::format("/v{}/", this->configurationVersion);
  entries.push_back(MakeRoute("r-new", prefix, false));
  for (const std::string_view service :
       { std::string_view(kService), kSecondService, kAbsentService }) {
    entries.push_back(
      json::object{ { "EntryType", "Services" },
                    { "Metadata", json::object{ { "Name", service } } },
                    { "Spec",
                      json::object{ { "HealthCheckPath", "/health" },
                                    { "MaxConnections", 260 },
                                    { "SlowStartS", 1.0 },
                                    { "WarmupPerS", 50.0 } } } });
  }
  entries.push_back(
    json::object{ { "EntryType", "Limits" },
                  { "Metadata", json::object() },
                  { "Spec",
                    json::object{ { "MaxHeaderBytes", 16384 },
                                  { "MaxBodyBytes", 1048576 },
                                  { "HeaderTimeoutMs", 3000 },
                                  { "IdleTimeoutMs", 15000 } } } });
  this->store.Put(
    "config",
    "main",
    json::object{ { "Version", fmt::format("r{}", this->configurationVersion) },
                  { "Resources", std::move(entries) } });
  this->log(
    fmt::format("configuration r{} published", this->configurationVersion));
  for (const auto& host : this->hosts) {
    asio::co_spawn(
      this->context,
      [this,
       &host,
       version = this->configurationVersion,
       publishedAt = std::chrono::steady_clock::now()] {
        return this->CheckConfiguration(*host, version, publishedAt);
      },
      asio::detached);
  }
}

asio::awaitable<void>
Soak::CheckConfiguration(Host& aHost, unsigned aVersion, TimePoint aPublishedAt)
{
  const auto dueAt = [&] {
    return this->ConfigurationDueAt(aHost, aPublishedAt);
  };
  while (aVersion == this->configurationVersion && !this->isOver) {
    if (std::chrono::steady_clock::now() < dueAt() || aHost.IsStopping() ||
        !aHost.predecessors.empty()) {
      co_await this->Wait(50ms);
      continue;
    }
    const unsigned status = co_await GetStatus(this->context,
                                               aHost.process->CallerEndpoint(),
                                               fmt::format("/v{}/x", aVersion),
                                               1000ms,
                                               this->keyRing.PermanentKey());
    const bool isExempt = aVersion != this->configurationVersion ||
                          std::chrono::steady_clock::now() < dueAt() ||
                          aHost.IsStopping();
    constexpr unsigned kNotFound = 404;
    if (status == kNotFound && !isExempt) {
      this->history.ReportViolation(
        fmt::format("configuration r{} was not applied in time by daemon {}",
                    aVersion,
                    aHost.process->Address()));
    }
    if (!isExempt) {
      co_return;
    }
  }
}

Soak::TimePoint
Soak::ConfigurationDueAt(const Host& aHost, TimePoint aPublishedAt) const
{
  return std::max({ aPublishedAt + kConfigurationLimit,
                    this->storeDisruptedUntil,
                    aHost.inTouchFrom,
                    aHost.startedAt + kGraceTime });
}

void
Soak::CheckIdentity(const HttpRequest& aRequest)
{
  const std::string id(aRequest["X-Request-Id"]);
  for (const auto& field : aRequest) {
    if (field.name() == http::field::authorization ||
        field.value().find(KeyRing::kKeyPrefix) != std::string_view::npos) {
      this->history.ReportViolation(
        fmt::format("a server saw the key of request {}", id));
    }
  }
  const auto identity = this->keyRing.IdentityOf(id);
  if (!identity) {
    return;
  }
  if (aRequest["X-Tenant"] != identity->organisation ||
      aRequest.count("X-Tenant") > 1) {
    this->history.ReportViolation(
      fmt::format("request {} of {} reached a server as of {}",
                  id,
                  identity->organisation,
                  std::string(aRequest["X-Tenant"])));
  }
  if (!identity->key.empty() && identity->organisation.empty()) {
    this->history.ReportViolation(
      fmt::format("request {} ran with a key that never existed", id));
  }
  const Host* host = this->HostAt(this->history.DaemonOf(id));
  if (!identity->withdrawnAt || host == nullptr || host->IsStopping() ||
      !host->predecessors.empty()) {
    return;
  }
  const auto late = std::chrono::steady_clock::now() -
                    this->ConfigurationDueAt(*host, *identity->withdrawnAt);
  if (late.count() > 0) {
    this->history.ReportViolation(fmt::format(
      "request {} by daemon {} ran {} ms after the bound of its withdrawn key",
      id,
      host->process->Address(),
      std::chrono::duration_cast<milliseconds>(late).count()));
  }
}

void
Soak::CheckDenial(const std::string& aId)
{
  const auto identity = this->keyRing.IdentityOf(aId);
  const Host* host = this->HostAt(this->history.DaemonOf(aId));
  if (!identity || identity->organisation.empty() || identity->withdrawnAt ||
      host == nullptr) {
    return;
  }
  // The answer may belong to a request that was sent this long ago.
  constexpr auto kLongestRequest = 3s;
  const bool isDue =
    !host->IsStopping() && host->predecessors.empty() &&
    std::chrono::steady_clock::now() >
      this->ConfigurationDueAt(*host, identity->addedAt) + kLongestRequest;
  if (identity->isPermanent || isDue) {
    this->history.ReportViolation(fmt::format(
      "request {} was denied by daemon {} although its key is valid",
      aId,
      host->process->Address()));
  }
}

void
Soak::CheckLogs()
{
  for (const auto& host : this->hosts) {
    if (host->process->LogText().find(KeyRing::kKeyPrefix) !=
        std::string::npos) {
      this->history.ReportViolation(fmt::format(
        "the log of daemon {} has a key", host->process->Address()));
    }
  }
}

void
Soak::RegisterServer(Server& aServer)
{
  this->store.Put("servers", aServer.Id(), aServer.Registration());
}

void
Soak::StartCaller(
  Caller::Kind aKind,
  std::function<std::optional<tcp::endpoint>(bool aMustBeReady)> aDaemon,
  std::function<bool()> aIsOver)
{
  this->callers.push_back(std::make_unique<Caller>(
    this->context,
    this->history,
    Caller::Hooks{ .daemon = std::move(aDaemon),
                   .onRequestLost =
                     [this](const Caller::LostRequest& aRequest) {
                       this->OnRequestLost(aRequest);
                     },
                   .onResponse =
                     [this](const std::string& aId, unsigned aStatus) {
                       // The routes of callers are in each configuration.
                       constexpr unsigned kNotFound = 404;
                       if (aStatus == kNotFound) {
                         this->history.ReportViolation(
                           fmt::format("request {} got 404 from daemon {}",
                                       aId,
                                       this->history.DaemonOf(aId)));
                       }
                       constexpr unsigned kUnauthorized = 401;
                       if (aStatus == kUnauthorized) {
                         this->CheckDenial(aId);
                       }
                     },
                   .keyOf =
                     [this](const std::string& aId) {
                       return this->keyRing.Assign(aId).key;
                     },
                   .isOver = std::move(aIsOver) },
    aKind,
    this->random()));
  asio::co_spawn(
    this->context,
    [caller = this->callers.back().get()] { return caller->Run(); },
    asio::detached);
}

void
Soak::OnRequestLost(const Caller::LostRequest& aRequest)
{
  this->RunAfter(kRecordingTime,
                 [this, aRequest] { this->JudgeLostRequest(aRequest); });
}

void
Soak::JudgeLostRequest(const Caller::LostRequest& aRequest)
{
  const std::vector<std::string> passedOnTo =
    this->history.ServersOf(aRequest.id);
  const auto duration = std::chrono::duration_cast<milliseconds>(
    aRequest.endedAt - aRequest.sentAt);
  const Host& host = *this->HostAt(aRequest.daemon.address().to_string());
  if (aRequest.sentAt < host.disruptedUntil) {
    ++this->excuses.daemon;
    return;
  }
  if (!aRequest.isFirst && passedOnTo.empty() && duration <= kCrossingTime) {
    ++this->excuses.crossing;
    return;
  }
  const bool hasServerFailed =
    std::ranges::any_of(passedOnTo, [&](const std::string& aId) {
      const auto disrupted = this->serverDisruptedUntil.find(aId);
      return disrupted != this->serverDisruptedUntil.end() &&
             aRequest.sentAt <= disrupted->second;
    });
  if (hasServerFailed) {
    ++this->excuses.server;
    return;
  }
  this->history.ReportViolation(fmt::format(
    "{} request {} to daemon {} ended without a response {} ms after it was "
    "sent ({}); {}",
    aRequest.isFirst ? "first" : "later",
    aRequest.id,
    host.process->Address(),
    duration.count(),
    aRequest.error,
    passedOnTo.empty() ? "not passed on"
                       : "passed on to " + passedOnTo.front()));
}

void
Soak::JudgeExit(const DaemonProcess& aProcess)
{
  if (!aProcess.IsExitAsRequested()) {
    this->history.ReportViolation(
      fmt::format("daemon {} exited with status {}{}\n{}",
                  aProcess.Address(),
                  aProcess.ExitStatus(),
                  aProcess.StopRequestedAt() ? " after SIGTERM" : "",
                  aProcess.LogTail()));
  }
}

void
Soak::EndOverdueStop(Host& aHost, DaemonProcess& aProcess)
{
  const auto requestedAt = aProcess.StopRequestedAt();
  if (requestedAt && !aProcess.WasKilled() &&
      std::chrono::steady_clock::now() >
        std::max(*requestedAt, aHost.pausedUntil) + kStopLimit) {
    this->history.ReportViolation(
      fmt::format("daemon {} did not stop in time\n{}",
                  aProcess.Address(),
                  aProcess.LogTail()));
    aProcess.SendSignal(SIGKILL);
  }
}

void
Soak::WaiveNotices(milliseconds aTime)
{
  this->noticesWaivedUntil =
    std::max(this->noticesWaivedUntil,
             std::chrono::steady_clock::now() + aTime + kGraceTime);
  for (const auto& server : this->servers) {
    server->WaiveNotices();
  }
}

Soak::Host*
Soak::HostAt(const std::string& aAddress)
{
  const auto found = std::ranges::find_if(this->hosts, [&](const auto& aHost) {
    return aHost->process->Address() == aAddress;
  });
  return found == this->hosts.end() ? nullptr : found->get();
}

void
Soak::RunAfter(milliseconds aTime, std::function<void()> aFunction)
{
  asio::co_spawn(
    this->context,
    [this, aTime, function = std::move(aFunction)]() -> asio::awaitable<void> {
      co_await this->Wait(aTime);
      function();
    },
    asio::detached);
}

asio::awaitable<void>
Soak::Wait(milliseconds aTime)
{
  asio::steady_timer timer(this->context, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void>
Soak::PollReadiness(Host& aHost)
{
  unsigned misses = 0;
  for (;;) {
    const unsigned status = co_await GetStatus(this->context,
                                               aHost.process->ReadyEndpoint(),
                                               "/ready",
                                               kReadinessInterval);
    constexpr unsigned kOk = 200;
    misses = status == kOk ? 0 : misses + 1;
    aHost.isReady =
      misses < kMissesUntilNotReady && (aHost.isReady || misses == 0);
    co_await this->Wait(kReadinessInterval);
  }
}

asio::awaitable<void>
Soak::RestartOnExit(Host& aHost)
{
  for (;;) {
    co_await this->Wait(50ms);
    std::erase_if(aHost.predecessors, [&](const auto& aPredecessor) {
      if (aPredecessor->IsRunning()) {
        this->EndOverdueStop(aHost, *aPredecessor);
        return false;
      }
      this->JudgeExit(*aPredecessor);
      return true;
    });
    if (aHost.process->IsRunning()) {
      this->EndOverdueStop(aHost, *aHost.process);
      continue;
    }
    this->JudgeExit(*aHost.process);
    co_await this->Wait(kRestartDelay);
    if (aHost.process->WasKilled()) {
      aHost.Disrupt(std::chrono::steady_clock::now() + kGraceTime);
    }
    this->StartDaemon(aHost);
  }
}

void
Soak::StartDaemon(Host& aHost)
{
  if (const auto time = std::exchange(aHost.startRewriteTime, std::nullopt)) {
    aHost.process->TruncateSettings();
    this->RunAfter(*time, [&aHost] { aHost.process->ReplaceSettings({}); });
  }
  aHost.process->Start();
  aHost.startedAt = std::chrono::steady_clock::now();
  for (const auto& server : this->servers) {
    server->PermitStartedDaemon();
  }
  for (const auto& early : std::exchange(aHost.earlySignals, {})) {
    this->RunAfter(early.first, [&aHost, signal = early.second] {
      aHost.process->SendSignal(signal);
    });
  }
}

Soak::Host&
Soak::RandomHost()
{
  return *this->hosts[this->RandomBelow(this->hosts.size())];
}

Server&
Soak::RandomServer()
{
  return *this->servers[this->RandomBelow(this->servers.size())];
}

} // namespace fireflytrail::soak
