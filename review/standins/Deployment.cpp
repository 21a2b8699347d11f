#include "review/standins/Deployment.h"

#include "review/standins/Backend.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <utility>

#include <unistd.h>

namespace fireflytrail::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::uint16_t kBasePort = 8640;
constexpr milliseconds kReadinessInterval = 1s;
constexpr unsigned kMissesUntilNotReady = 2;
constexpr milliseconds kRestartDelay = 300ms;
constexpr const char* kZone = "a";
// Added to the time budget: an answer that is later than this is not awaited.
constexpr milliseconds kPatience = 3s;

std::string
HostOf(const std::string& aService)
{
  return aService + ".example";
}

/** Returns a loopback network that other runs do not use at this time. */
std::string
NetworkOfProcess()
{
  const auto number = static_cast<unsigned>(getpid());
  return fmt::format("127.{}.{}", 10 + number / 250 % 200, 1 + number % 250);
}

} // namespace

Deployment::Deployment(asio::io_context& aContext, Record& aRecord)
  : context(aContext)
  , record(aRecord)
  , store(aContext)
{
  this->storeEndpoint = this->store.Open();
  std::string path =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  const char* created = mkdtemp(path.data());
  this->folder = created == nullptr ? "." : created;
}

Deployment::~Deployment()
{
  this->Stop();
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->folder, ignored);
  } else {
    this->record.Write("logs in " + this->folder);
  }
}

void
Deployment::Configure(const std::vector<Route>& aRoutes)
{
  json::array entries;
  for (const Route& route : aRoutes) {
    entries.push_back(json::object{
      { "EntryType", "Routes" },
      { "Metadata", json::object{ { "Name", "r-" + route.service } } },
      { "Spec",
        json::object{
          { "Host", HostOf(route.service) },
          { "PathPrefix", "/" + route.service + "/" },
          { "Type", route.isRepeatable ? "idempotent" : "non_idempotent" },
          { "TimeoutMs", route.timeout.count() },
          { "TargetLatencyMs", route.goal.count() },
          { "Priority", route.priority },
          { "Service", route.service },
          { "MaxAttempts", route.maxAttempts } } } });
    entries.push_back(
      json::object{ { "EntryType", "Services" },
                    { "Metadata", json::object{ { "Name", route.service } } },
                    { "Spec",
                      json::object{ { "HealthCheckPath", "/health" },
                                    { "MaxConnections", 260 },
                                    { "Protocol", "h1" },
                                    { "Tls", false },
                                    { "SlowStartS", 3.0 },
                                    { "WarmupPerS", 5.4 } } } });
  }
  entries.push_back(
    json::object{ { "EntryType", "Limits" },
                  { "Metadata", json::object{} },
                  { "Spec",
                    json::object{ { "MaxHeaderBytes", 16384 },
                                  { "MaxBodyBytes", 67108864 },
                                  { "HeaderTimeoutMs", 3000 },
                                  { "IdleTimeoutMs", 15000 } } } });
  this->version += 2;
  this->store.Put(
    "config",
    "main",
    json::object{ { "Version", fmt::format("r{}", this->version) },
                  { "Resources", std::move(entries) } });
}

void
Deployment::Add(const Backend& aInstance)
{
  this->store.Put(
    "servers", aInstance.Description().id, aInstance.Registration());
}

void
Deployment::Start(unsigned aCount)
{
  const std::string network = NetworkOfProcess();
  for (unsigned index = 0; index < aCount; ++index) {
    auto machine = std::make_unique<Machine>();
    machine->name = fmt::format("{}.{}", network, index + 1);
    machine->process =
      std::make_unique<soak::DaemonProcess>(soak::DaemonProcess::Options{
        .program = "target/fireflytrail",
        .folder = this->folder,
        .address = machine->name,
        .domain = kZone,
        .firstPeer = fmt::format("{}.{}", network, index == 0 ? 2 : 1),
        .storePort = this->storeEndpoint.port(),
        .basePort = kBasePort,
        .hosts = aCount });
    machine->process->Start();
    this->machines.push_back(std::move(machine));
  }
  for (const auto& machine : this->machines) {
    asio::co_spawn(
      this->context,
      [this, &machine] { return this->CheckReadiness(*machine); },
      asio::detached);
    asio::co_spawn(
      this->context,
      [this, &machine] { return this->RestartWhenEnded(*machine); },
      asio::detached);
  }
}

asio::awaitable<int>
Deployment::Send(Machine& aMachine, Call aCall)
{
  const std::string id = fmt::format("q{:06}", ++this->lastId);
  Record::Request& request = this->record.At(id);
  request.service = aCall.service;
  request.daemon = aMachine.name;
  request.isRepeatable = aCall.isRepeatable;
  soak::HttpRequest message(aCall.isRepeatable ? http::verb::get
                                               : http::verb::post,
                            "/" + aCall.service + "/" + id,
                            11);
  message.set(http::field::host, HostOf(aCall.service));
  message.set("X-Request-Id", id);
  message.set("X-Request-Timeout-Ms", std::to_string(aCall.budget.count()));
  message.body() = aCall.body;
  message.prepare_payload();
  message.keep_alive(false);
  std::ostringstream text;
  text << message;
  const std::string bytes = text.str();
  const std::size_t firstPart =
    aCall.pause > 0ms ? bytes.size() - aCall.body.size() / 2 : bytes.size();
  boost::beast::tcp_stream stream(this->context);
  boost::system::error_code error;
  stream.expires_after(1s);
  co_await stream.async_connect(
    aMachine.process->CallerEndpoint(),
    asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    request.status = 0;
    this->record.Write("not connected " + id + " " + aMachine.name);
    co_return 0;
  }
  stream.expires_after(aCall.pause + aCall.budget + kPatience);
  this->record.Write(fmt::format("send {} to {} for {}, {} ms{}",
                                 id,
                                 aMachine.name,
                                 aCall.service,
                                 aCall.budget.count(),
                                 aCall.pause > 0ms ? ", in two parts" : ""));
  co_await asio::async_write(stream,
                             asio::buffer(bytes.data(), firstPart),
                             asio::redirect_error(asio::use_awaitable, error));
  if (!error && firstPart < bytes.size()) {
    co_await this->Wait(aCall.pause);
    co_await asio::async_write(
      stream,
      asio::buffer(bytes.data() + firstPart, bytes.size() - firstPart),
      asio::redirect_error(asio::use_awaitable, error));
    this->record.Write("last byte of " + id);
  }
  request.sentAt = steady_clock::now();
  soak::HttpResponse answer;
  boost::beast::flat_buffer buffer;
  if (!error) {
    co_await http::async_read(
      stream, buffer, answer, asio::redirect_error(asio::use_awaitable, error));
  }
  Record::Request& ended = this->record.At(id);
  ended.endedAt = steady_clock::now();
  ended.status = error ? 0 : static_cast<int>(answer.result_int());
  if (!error) {
    ended.hasSignature = answer.count("X-Response-Signature") > 0;
    ended.body = answer.body();
  }
  this->record.Write(fmt::format(
    "answer {} {} {}", id, ended.status, error ? error.message() : ended.body));
  co_return ended.status;
}

asio::awaitable<std::string>
Deployment::Exchange(Machine& aMachine, std::string aBytes, milliseconds aTime)
{
  boost::beast::tcp_stream stream(this->context);
  boost::system::error_code error;
  stream.expires_after(aTime);
  co_await stream.async_connect(
    aMachine.process->CallerEndpoint(),
    asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    co_await asio::async_write(
      stream,
      asio::buffer(aBytes),
      asio::redirect_error(asio::use_awaitable, error));
  }
  std::string received;
  std::array<char, 4096> part{};
  while (!error) {
    const std::size_t count = co_await stream.async_read_some(
      asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
    received.append(part.data(), count);
  }
  co_return received;
}

Deployment::Machine*
Deployment::Next()
{
  for (std::size_t tried = 0; tried < this->machines.size(); ++tried) {
    Machine& machine = *this->machines[this->turn++ % this->machines.size()];
    if (machine.isReady) {
      return &machine;
    }
  }
  return nullptr;
}

asio::awaitable<bool>
Deployment::WaitUntilReady()
{
  for (int tenth = 0; tenth < 100; ++tenth) {
    bool areReady = true;
    for (const auto& machine : this->machines) {
      areReady = areReady && machine->isReady;
    }
    if (areReady) {
      co_return true;
    }
    co_await this->Wait(100ms);
  }
  co_return false;
}

asio::awaitable<void>
Deployment::Wait(milliseconds aTime)
{
  asio::steady_timer timer(this->context, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

void
Deployment::Stop()
{
  this->isOver = true;
  this->machines.clear();
}

asio::awaitable<void>
Deployment::CheckReadiness(Machine& aMachine)
{
  while (!this->isOver) {
    boost::beast::tcp_stream stream(this->context);
    boost::system::error_code error;
    stream.expires_after(kReadinessInterval);
    co_await stream.async_connect(
      aMachine.process->ReadyEndpoint(),
      asio::redirect_error(asio::use_awaitable, error));
    http::request<http::string_body> request(http::verb::get, "/ready", 11);
    request.set(http::field::host, "ready");
    request.keep_alive(false);
    soak::HttpResponse answer;
    boost::beast::flat_buffer buffer;
    if (!error) {
      co_await http::async_write(
        stream, request, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
      co_await http::async_read(
        stream,
        buffer,
        answer,
        asio::redirect_error(asio::use_awaitable, error));
    }
    if (this->isOver) {
      co_return;
    }
    if (!error && answer.result_int() == 200) {
      aMachine.misses = 0;
      aMachine.isReady = true;
    } else if (++aMachine.misses >= kMissesUntilNotReady) {
      aMachine.isReady = false;
    }
    co_await this->Wait(kReadinessInterval);
  }
}

asio::awaitable<void>
Deployment::RestartWhenEnded(Machine& aMachine)
{
  while (!this->isOver) {
    if (!aMachine.process->IsRunning()) {
      this->record.Write(fmt::format(
        "{} ended with {}", aMachine.name, aMachine.process->ExitStatus()));
      co_await this->Wait(kRestartDelay);
      if (this->isOver) {
        co_return;
      }
      aMachine.process->Start();
      aMachine.isStopping = false;
      this->record.Write(aMachine.name + " started");
    }
    co_await this->Wait(10ms);
  }
}

} // namespace fireflytrail::review
