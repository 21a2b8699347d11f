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

// Time for the daemons to start and find each other before callers come, as on
// the platform.
constexpr auto kLeadTime = 4s;
// Time without faults at the end, in which all is to be served again, and the
// part of it that counts.
constexpr auto kCalmTime = 6s;
constexpr auto kCountedTime = 2s;
constexpr double kLeastServed = 0.9;

// Planned work alone and all faults take turns.
constexpr auto kPhase = 6s;

// A fault excuses what depends on it until this time after its end.
constexpr auto kStability = 3s;

// The bounds of the platform for leaving servers and configurations, with the
// time of this machine's scheduler.
constexpr auto kDrainBound = 2250ms;
constexpr auto kConfigurationBound = 2250ms;
constexpr auto kLeaveTime = 3500ms;

constexpr auto kLookInterval = 250ms;
constexpr unsigned kMissesToLeaveOut = 2;
constexpr auto kRestartDelay = 300ms;

/** Sends one request and returns the status, 0 without an answer. */
asio::awaitable<unsigned>
Get(asio::io_context& aContext,
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
  request.set("X-Request-Id", Ledger::kProbeId);
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
Route(const std::string& aName, const std::string& aPrefix, bool aIsOnce)
{
  return { { "EntryType", "Routes" },
           { "Metadata", json::object{ { "Name", aName } } },
           { "Spec",
             json::object{
               { "Host", "soak.example" },
               { "PathPrefix", aPrefix },
               { "Type", aIsOnce ? "non_idempotent" : "idempotent" },
               { "TimeoutMs", 2000 },
               { "TargetLatencyMs", 300 },
               { "Priority", 0 },
               { "Service", kService },
               { "MaxAttempts", 3 } } } };
}

} // namespace

/** One host with its daemon. */
struct Soak::Host
{
  std::unique_ptr<DaemonProcess> process;
  /** The way to the store. */
  std::shared_ptr<FaultLink> link;
  bool isReady = false;
  /** Whether this run has asked the process to end. */
  bool isEndExpected = false;
  TimePoint startedAt{};
  TimePoint disturbedUntil{};
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
    this->servers.push_back(std::make_unique<Server>(this->context,
                                                     this->ledger,
                                                     kService,
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
    host->process = std::make_unique<DaemonProcess>(DaemonProcess::Place{
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
  const auto start = [this](auto aFunction) {
    asio::co_spawn(this->context, std::move(aFunction), asio::detached);
  };
  for (const auto& host : this->hosts) {
    start([this, &host] { return this->WatchReadiness(*host); });
    start([this, &host] { return this->KeepRunning(*host); });
  }
  start([this] { return this->Play(); });
  this->context.run();
  this->ledger.CheckAll();
  return this->ledger.Broken();
}

asio::awaitable<void>
Soak::Play()
{
  co_await this->Wait(kLeadTime);
  for (unsigned index = 0; index < this->plan.callers; ++index) {
    this->callers.push_back(std::make_unique<Caller>(
      this->context,
      this->ledger,
      Caller::Hooks{
        .daemon = [this]() -> std::optional<tcp::endpoint> {
          Host& host = this->AnyHost();
          return host.isReady ? std::optional(host.process->CallerEndpoint())
                              : std::nullopt;
        },
        .cut = [this](const tcp::endpoint& aDaemon,
                      const std::string& aId) { this->OnCut(aDaemon, aId); },
        .answered = [](const tcp::endpoint&, unsigned) {},
        .isOver = [this] { return this->isOver; } },
      this->random()));
    asio::co_spawn(
      this->context,
      [caller = this->callers.back().get()] { return caller->Run(); },
      asio::detached);
  }
  co_await this->InjectFaults();
  co_await this->Wait(kCalmTime - kCountedTime);
  const std::size_t before = this->ledger.Count(Ledger::End::Success);
  const std::size_t failed = this->ledger.Count(Ledger::End::Failure) +
                             this->ledger.Count(Ledger::End::Cut) +
                             this->ledger.Count(Ledger::End::NotRun);
  co_await this->Wait(kCountedTime);
  const auto served =
    static_cast<double>(this->ledger.Count(Ledger::End::Success) - before);
  const auto unserved =
    static_cast<double>(this->ledger.Count(Ledger::End::Failure) +
                        this->ledger.Count(Ledger::End::Cut) +
                        this->ledger.Count(Ledger::End::NotRun) - failed);
  if (served < kLeastServed * (served + unserved) || served == 0) {
    this->ledger.Break(
      fmt::format("not recovered: {} served and {} not after the faults",
                  served,
                  unserved));
  }
  this->isOver = true;
  // The longest that a caller still waits.
  co_await this->Wait(3500ms);
  if (this->ledger.Count(Ledger::End::Open) > 0) {
    this->ledger.Break("a caller still waits");
  }
  this->context.stop();
}

asio::awaitable<void>
Soak::InjectFaults()
{
  const TimePoint begin = std::chrono::steady_clock::now();
  const TimePoint end = begin + this->plan.length;
  while (std::chrono::steady_clock::now() < end) {
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    if (elapsed / kPhase % 2 == 0) {
      switch (this->Below(4)) {
        case 0:
          this->StopInOrder(this->AnyHost());
          break;
        case 1:
          this->DrainServer(this->AnyServer());
          break;
        case 2:
          this->AnyHost().process->Signal(SIGHUP);
          break;
        default:
          this->ChangeConfiguration();
          break;
      }
    } else {
      this->Draw();
    }
    co_await this->Wait(milliseconds(200 + this->Below(800)));
  }
}

void
Soak::Draw()
{
  switch (this->Below(4)) {
    case 0:
      this->DrawStoreFault();
      break;
    case 1:
      this->DrawServerFault();
      break;
    case 2:
      this->DrawDaemonFault();
      break;
    default:
      this->ChangeConfiguration();
      break;
  }
}

void
Soak::DrawStoreFault()
{
  const milliseconds time(500 + this->Below(2000));
  this->Disturb(time);
  FaultLink& link = *this->AnyHost().link;
  const std::uint64_t kind = this->Below(7);
  this->log(fmt::format("store fault {} for {} ms", kind, time.count()));
  switch (kind) {
    case 0:
    case 1:
    case 2: {
      constexpr std::array kModes = { ObjectStore::Mode::Refusing,
                                      ObjectStore::Mode::Silent,
                                      ObjectStore::Mode::LosingAnswers };
      this->store.SetMode(kModes[kind]);
      this->Later(time,
                  [this] { this->store.SetMode(ObjectStore::Mode::Normal); });
      break;
    }
    case 3:
      this->store.ForgetHistory();
      break;
    case 4:
      link.Reset();
      break;
    default:
      link.SetFaults({ .delay = kind == 5 ? 100ms : 0ms,
                       .isSilentTo = kind == 6 && this->Below(2) == 0,
                       .isSilentFrom = kind == 6 });
      this->Later(time, [&link] { link.SetFaults({}); });
      break;
  }
}

void
Soak::DrawServerFault()
{
  const milliseconds time(300 + this->Below(1500));
  Server& server = this->AnyServer();
  const std::uint64_t kind = this->Below(5);
  this->log(fmt::format(
    "server {} fault {} for {} ms", server.Id(), kind, time.count()));
  this->Disturb(time);
  switch (kind) {
    case 0:
      if (server.IsUp()) {
        server.Crash();
        this->Later(time, [this, &server] {
          this->store.Remove("servers", server.Id());
          server.Start();
          this->RegisterServer(server);
        });
      }
      break;
    case 1:
      server.SetSlowdown(10);
      this->Later(time, [&server] { server.SetSlowdown(1); });
      break;
    case 2:
      server.Link().Reset();
      break;
    default:
      server.Link().SetFaults(
        { .delay = kind == 3 ? 50ms : 0ms,
          .isSilentTo = kind == 4,
          .isSilentFrom = kind == 4 && this->Below(2) == 0 });
      this->Later(time, [&server] {
        server.Link().SetFaults({});
        // What was silent stays so until someone gives up.
        server.Link().Reset();
      });
      break;
  }
}

void
Soak::DrawDaemonFault()
{
  Host& host = this->AnyHost();
  const milliseconds time(200 + this->Below(1300));
  this->Disturb(time);
  if (this->Below(2) == 0) {
    this->log("daemon killed");
    host.isEndExpected = true;
    host.process->Signal(SIGKILL);
    return;
  }
  this->log(fmt::format("daemon paused for {} ms", time.count()));
  host.process->Signal(SIGSTOP);
  this->Later(time, [&host] { host.process->Signal(SIGCONT); });
}

void
Soak::StopInOrder(Host& aHost)
{
  this->log("daemon stopped in order");
  aHost.isEndExpected = true;
  aHost.process->Signal(SIGTERM);
}

void
Soak::DrainServer(Server& aServer)
{
  const auto up = std::ranges::count_if(
    this->servers, [](const auto& aOne) { return aOne->IsUp(); });
  if (!aServer.IsUp() || up <= 2) {
    return;
  }
  this->log(fmt::format("server {} leaves", aServer.Id()));
  const TimePoint now = std::chrono::steady_clock::now();
  aServer.Drain(now + kDrainBound);
  if (now < this->disturbedUntil) {
    aServer.ExcuseDrain();
  }
  this->RegisterServer(aServer);
  this->Later(kLeaveTime, [this, &aServer, id = aServer.Id()] {
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
Soak::ChangeConfiguration()
{
  ++this->version;
  json::array entries;
  entries.push_back(Route("r-once", "/once/", true));
  entries.push_back(Route("r-any", "/any/", false));
  const std::string prefix = fmt::format("/v{}/", this->version);
  entries.push_back(Route("r-new", prefix, false));
  entries.push_back(
    json::object{ { "EntryType", "Services" },
                  { "Metadata", json::object{ { "Name", kService } } },
                  { "Spec",
                    json::object{ { "HealthCheckPath", "/health" },
                                  { "MaxConnections", 260 },
                                  { "SlowStartS", 1.0 },
                                  { "WarmupPerS", 50.0 } } } });
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
    json::object{ { "Version", fmt::format("r{}", this->version) },
                  { "Resources", std::move(entries) } });
  this->log(fmt::format("configuration r{}", this->version));
  const TimePoint sent = std::chrono::steady_clock::now();
  this->Later(kConfigurationBound, [this, sent, wanted = this->version] {
    for (const auto& host : this->hosts) {
      asio::co_spawn(
        this->context,
        [this, &host, sent, wanted]() -> asio::awaitable<void> {
          const auto isExcused = [&] {
            return wanted != this->version || host->isEndExpected ||
                   sent < this->disturbedUntil ||
                   sent < host->startedAt + kStability;
          };
          if (isExcused()) {
            co_return;
          }
          const unsigned status = co_await Get(this->context,
                                               host->process->CallerEndpoint(),
                                               fmt::format("/v{}/x", wanted),
                                               1000ms);
          constexpr unsigned kNotFound = 404;
          if (status == kNotFound && !isExcused()) {
            this->ledger.Break(
              fmt::format("configuration r{} is not in force in time", wanted));
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
Soak::OnCut(const tcp::endpoint& aDaemon, const std::string& aId)
{
  const TimePoint now = std::chrono::steady_clock::now();
  if (now < this->disturbedUntil) {
    return;
  }
  this->ledger.Break(fmt::format("{} was cut off by {} without a fault",
                                 aId,
                                 aDaemon.address().to_string()));
}

void
Soak::Disturb(milliseconds aTime)
{
  this->disturbedUntil =
    std::max(this->disturbedUntil,
             std::chrono::steady_clock::now() + aTime + kStability);
  for (const auto& server : this->servers) {
    server->ExcuseDrain();
  }
}

void
Soak::Later(milliseconds aTime, std::function<void()> aFunction)
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
Soak::WatchReadiness(Host& aHost)
{
  unsigned misses = 0;
  for (;;) {
    const unsigned status = co_await Get(
      this->context, aHost.process->ReadyEndpoint(), "/ready", kLookInterval);
    constexpr unsigned kOk = 200;
    misses = status == kOk ? 0 : misses + 1;
    aHost.isReady =
      misses < kMissesToLeaveOut && (aHost.isReady || misses == 0);
    co_await this->Wait(kLookInterval);
  }
}

asio::awaitable<void>
Soak::KeepRunning(Host& aHost)
{
  for (;;) {
    co_await this->Wait(50ms);
    if (aHost.process->IsRunning()) {
      continue;
    }
    if (!aHost.isEndExpected) {
      this->ledger.Break(
        fmt::format("a daemon ended by itself: {}", aHost.process->LastEnd()));
      this->Disturb(0ms);
    }
    co_await this->Wait(kRestartDelay);
    aHost.isEndExpected = false;
    aHost.process->Start();
    aHost.startedAt = std::chrono::steady_clock::now();
  }
}

Soak::Host&
Soak::AnyHost()
{
  return *this->hosts[this->Below(this->hosts.size())];
}

Server&
Soak::AnyServer()
{
  return *this->servers[this->Below(this->servers.size())];
}

} // namespace fireflytrail::soak
