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
          milliseconds aTimeLimit)
{
  boost::beast::tcp_stream stream(aContext);
  boost::system::error_code error;
  stream.expires_after(aTimeLimit);
  co_await stream.async_connect(
    aServer, asio::redirect_error(asio::use_awaitable, error));
  HttpRequest request(http::verb::get, aTarget, 11);
  request.set(http::field::host, "soak.example");
  request.set("X-Request-Id", RequestHistory::kProbeId);
  request.set("X-Request-Timeout-Ms", std::to_string(aTimeLimit.count()));
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
  bool isReady = false;
  /** Whether the soak has stopped or killed the process. */
  bool isExitExpected = false;
  TimePoint startedAt{};
  TimePoint graceUntil{};
};

Soak::Soak(SoakPlan aPlan, std::function<void(const std::string&)> aLog)
  : plan(std::move(aPlan))
  , log(std::move(aLog))
  , random(this->plan.seed)
  , store(this->context)
{
}

Soak::~Soak() = default;

const std::vector<std::string>&
Soak::Run()
{
  this->storeEndpoint = this->store.Open();
  this->ChangeConfiguration();
  for (unsigned index = 0; index < this->plan.servers; ++index) {
    this->servers.push_back(std::make_unique<Server>(
      this->context,
      this->history,
      index % 3 == 2 ? std::string(kSecondService) : kService,
      index % 2 == 0 ? "a" : "b",
      this->random()));
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
      .hosts = this->plan.daemons });
    host->process->Start();
    host->startedAt = std::chrono::steady_clock::now();
    this->hosts.push_back(std::move(host));
  }
  const auto spawn = [this](auto aFunction) {
    asio::co_spawn(this->context, std::move(aFunction), asio::detached);
  };
  for (const auto& host : this->hosts) {
    spawn([this, &host] { return this->PollReadiness(*host); });
    spawn([this, &host] { return this->RestartOnExit(*host); });
  }
  spawn([this] { return this->RunTest(); });
  this->context.run();
  this->history.CheckAll();
  return this->history.Violations();
}

asio::awaitable<void>
Soak::RunTest()
{
  co_await this->Wait(kStartupTime);
  for (unsigned index = 0; index < this->plan.callers; ++index) {
    this->callers.push_back(std::make_unique<Caller>(
      this->context,
      this->history,
      Caller::Hooks{
        .daemon = [this]() -> std::optional<tcp::endpoint> {
          Host& host = this->RandomHost();
          return host.isReady ? std::optional(host.process->CallerEndpoint())
                              : std::nullopt;
        },
        .onConnectionLost =
          [this](const tcp::endpoint& aDaemon, const std::string& aId) {
            this->OnConnectionLost(aDaemon, aId);
          },
        .onResponse = [](const tcp::endpoint&, unsigned) {},
        .isOver = [this] { return this->isOver; } },
      this->random()));
    asio::co_spawn(
      this->context,
      [caller = this->callers.back().get()] { return caller->Run(); },
      asio::detached);
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
      switch (this->RandomBelow(6)) {
        case 0:
          this->StopGracefully(this->RandomHost());
          break;
        case 4:
          this->LimitServer(this->RandomServer());
          break;
        case 5:
          this->PauseServer(this->RandomServer());
          break;
        case 1:
          this->DrainServer(this->RandomServer());
          break;
        case 2:
          this->RandomHost().process->SendSignal(SIGHUP);
          break;
        default:
          this->ChangeConfiguration();
          break;
      }
    } else {
      this->InjectRandomFault();
    }
    co_await this->Wait(milliseconds(200 + this->RandomBelow(800)));
  }
}

void
Soak::InjectRandomFault()
{
  switch (this->RandomBelow(4)) {
    case 0:
      this->InjectStoreFault();
      break;
    case 1:
      this->InjectServerFault();
      break;
    case 2:
      this->InjectDaemonFault();
      break;
    default:
      this->ChangeConfiguration();
      break;
  }
}

void
Soak::InjectStoreFault()
{
  const milliseconds duration(500 + this->RandomBelow(2000));
  this->ExtendGracePeriod(duration);
  FaultLink& link = *this->RandomHost().link;
  const std::uint64_t kind = this->RandomBelow(7);
  this->log(fmt::format("store fault {} for {} ms", kind, duration.count()));
  switch (kind) {
    case 0:
    case 1:
    case 2: {
      constexpr std::array kModes = { ObjectStore::Mode::Refusing,
                                      ObjectStore::Mode::Silent,
                                      ObjectStore::Mode::LosingAnswers };
      this->store.SetMode(kModes[kind]);
      this->RunAfter(
        duration, [this] { this->store.SetMode(ObjectStore::Mode::Normal); });
      break;
    }
    case 3:
      this->store.ForgetHistory();
      break;
    case 4:
      link.Reset();
      break;
    default:
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
  this->ExtendGracePeriod(duration);
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
      if (server.IsUp()) {
        this->store.Remove("servers", server.Id());
        this->RunAfter(duration / 10, [this, &server, id = server.Id()] {
          if (server.IsUp() && server.Id() == id) {
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
  this->ExtendGracePeriod(duration);
  if (this->RandomBelow(2) == 0) {
    this->log("daemon killed");
    host.isExitExpected = true;
    host.process->SendSignal(SIGKILL);
    return;
  }
  this->log(fmt::format("daemon paused for {} ms", duration.count()));
  host.process->SendSignal(SIGSTOP);
  this->RunAfter(duration, [&host] { host.process->SendSignal(SIGCONT); });
}

void
Soak::StopGracefully(Host& aHost)
{
  this->log("graceful stop of a daemon requested");
  aHost.isExitExpected = true;
  aHost.process->SendSignal(SIGTERM);
}

void
Soak::DrainServer(Server& aServer)
{
  const auto upCount =
    std::ranges::count_if(this->servers, [&](const auto& aCandidate) {
      return aCandidate->IsUp() && aCandidate->Service() == aServer.Service();
    });
  if (!aServer.IsUp() || upCount <= 1) {
    return;
  }
  this->log(fmt::format("server {} starts draining", aServer.Id()));
  const TimePoint now = std::chrono::steady_clock::now();
  aServer.Drain(now + kDrainLimit);
  if (now < this->graceUntil) {
    aServer.WaiveDrainDeadline();
  }
  this->RegisterServer(aServer);
  this->RunAfter(kRemovalDelay, [this, &aServer, id = aServer.Id()] {
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
  if (std::chrono::steady_clock::now() < this->graceUntil) {
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
  if (std::chrono::steady_clock::now() < this->graceUntil) {
    aServer.WaiveNotices();
  }
}

void
Soak::ChangeConfiguration()
{
  ++this->configurationVersion;
  json::array entries;
  entries.push_back(MakeRoute("r-once", "/once/", true));
  entries.push_back(MakeRoute("r-any", "/any/", false));
  entries.push_back(MakeRoute(
    "r-second", std::string(kSecondServicePrefix), true, kSecondService));
  const std::string prefix = fmt::format("/v{}/", this->configurationVersion);
  entries.push_back(MakeRoute("r-new", prefix, false));
  for (const std::string_view service :
       { std::string_view(kService), kSecondService }) {
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
  const TimePoint publishedAt = std::chrono::steady_clock::now();
  this->RunAfter(
    kConfigurationLimit,
    [this, publishedAt, expectedVersion = this->configurationVersion] {
      for (const auto& host : this->hosts) {
        asio::co_spawn(
          this->context,
          [this, &host, publishedAt, expectedVersion]()
            -> asio::awaitable<void> {
            const auto isExempt = [&] {
              return expectedVersion != this->configurationVersion ||
                     host->isExitExpected || publishedAt < this->graceUntil ||
                     publishedAt < host->startedAt + kGraceTime;
            };
            if (isExempt()) {
              co_return;
            }
            const unsigned status =
              co_await GetStatus(this->context,
                                 host->process->CallerEndpoint(),
                                 fmt::format("/v{}/x", expectedVersion),
                                 1000ms);
            constexpr unsigned kNotFound = 404;
            if (status == kNotFound && !isExempt()) {
              this->history.ReportViolation(fmt::format(
                "configuration r{} was not applied in time", expectedVersion));
            }
          },
          asio::detached);
      }
    });
}

void
Soak::RegisterServer(Server& aServer)
{
  this->store.Put("servers", aServer.Id(), aServer.Registration());
}

void
Soak::OnConnectionLost(const tcp::endpoint& aDaemon, const std::string& aId)
{
  const TimePoint now = std::chrono::steady_clock::now();
  if (now < this->graceUntil) {
    return;
  }
  this->history.ReportViolation(
    fmt::format("request {} lost its connection to daemon {} without a fault",
                aId,
                aDaemon.address().to_string()));
}

void
Soak::ExtendGracePeriod(milliseconds aTime)
{
  this->graceUntil = std::max(
    this->graceUntil, std::chrono::steady_clock::now() + aTime + kGraceTime);
  for (const auto& server : this->servers) {
    server->WaiveDrainDeadline();
    server->WaiveNotices();
  }
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
    if (aHost.process->IsRunning()) {
      continue;
    }
    if (!aHost.isExitExpected) {
      this->history.ReportViolation(
        fmt::format("a daemon exited unexpectedly with status {}",
                    aHost.process->ExitStatus()));
      this->ExtendGracePeriod(0ms);
    }
    co_await this->Wait(kRestartDelay);
    aHost.isExitExpected = false;
    aHost.process->Start();
    aHost.startedAt = std::chrono::steady_clock::now();
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
