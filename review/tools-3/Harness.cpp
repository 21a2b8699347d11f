#include "Harness.h"

#include "core/Hash.h"

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
#include <cstdlib>
#include <filesystem>

#include <fcntl.h>
#include <unistd.h>

namespace fireflytrail::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr int kPortsOfDaemon = 4;

std::string
AddressOf(unsigned aDaemon)
{
  return fmt::format("127.0.31.{}", aDaemon + 1);
}

/** Returns a port from which on the four ports of each daemon are free; 0 if
 * there is none. */
std::uint16_t
FindFreePorts(asio::io_context& aContext, unsigned aDaemons)
{
  const auto offset = static_cast<unsigned>(getpid()) % 400;
  for (unsigned attempt = 0; attempt < 400; ++attempt) {
    const auto base = static_cast<std::uint16_t>(
      20'000 + (offset + attempt) % 400 * kPortsOfDaemon);
    bool isFree = true;
    for (unsigned daemon = 0; daemon < aDaemons && isFree; ++daemon) {
      for (int port = 0; port < kPortsOfDaemon && isFree; ++port) {
        tcp::acceptor acceptor(aContext);
        boost::system::error_code error;
        acceptor.open(tcp::v4(), error);
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        acceptor.bind({ asio::ip::make_address(AddressOf(daemon)),
                        static_cast<std::uint16_t>(base + port) },
                      error);
        isFree = !error;
      }
    }
    if (isFree) {
      return base;
    }
  }
  return 0;
}

/** Keeps sockets of the stand-ins out of the processes that are started: a
 * listener that they inherit would accept connections after its end here. */
void
CloseOnExec()
{
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    const int descriptor = std::atoi(entry.path().filename().c_str());
    if (descriptor > STDERR_FILENO) {
      fcntl(descriptor, F_SETFD, FD_CLOEXEC);
    }
  }
}

} // namespace

Harness::Harness(std::string aProgram, std::string aFolder, std::string aRecord)
  : program(std::move(aProgram))
  , folder(std::move(aFolder))
  , record(aRecord)
{
  this->storePort = this->store.Open().port();
  this->signals.async_wait([this](boost::system::error_code aError, int) {
    if (!aError) {
      this->isInterrupted = true;
      this->context.stop();
    }
  });
}

Harness::~Harness() = default;

void
Harness::PutConfiguration(unsigned aVersion,
                          const std::vector<RouteSpec>& aRoutes,
                          const std::vector<std::string>& aServices)
{
  json::array resources;
  for (const RouteSpec& route : aRoutes) {
    resources.push_back(json::object{
      { "EntryType", "Routes" },
      { "Metadata", json::object{ { "Name", route.name } } },
      { "Spec",
        json::object{
          { "Host", "case.example" },
          { "PathPrefix", route.prefix },
          { "Type", route.isIdempotent ? "idempotent" : "non_idempotent" },
          { "TimeoutMs", route.timeoutMs },
          { "TargetLatencyMs", 500 },
          { "Priority", 0 },
          { "Service", route.service },
          { "MaxAttempts", route.maxAttempts } } } });
  }
  for (const std::string& service : aServices) {
    resources.push_back(
      json::object{ { "EntryType", "Services" },
                    { "Metadata", json::object{ { "Name", service } } },
                    { "Spec",
                      json::object{ { "HealthCheckPath", "/health" },
                                    { "MaxConnections", 260 },
                                    { "SlowStartS", 3 },
                                    { "WarmupPerS", 5.4 } } } });
  }
  resources.push_back(
    json::object{ { "EntryType", "Limits" },
                  { "Metadata", json::object{ { "Name", "limits" } } },
                  { "Spec",
                    json::object{ { "MaxHeaderBytes", 16'384 },
                                  { "MaxBodyBytes", 1'048'576 },
                                  { "HeaderTimeoutMs", 5000 },
                                  { "IdleTimeoutMs", 10'000 } } } });
  this->store.Put("config",
                  "main",
                  json::object{ { "Version", fmt::format("r{}", aVersion) },
                                { "Resources", std::move(resources) } });
  this->Record(fmt::format("operator: desired state r{}", aVersion));
}

bool
Harness::FindPorts(unsigned aCount)
{
  this->basePort = FindFreePorts(this->context, aCount);
  this->storePorts.assign(aCount, this->storePort);
  for (unsigned index = 0; index < aCount; ++index) {
    this->zones.emplace_back(1, static_cast<char>('a' + index % 3));
  }
  return this->basePort != 0;
}

void
Harness::SetStorePort(unsigned aDaemon, std::uint16_t aPort)
{
  this->storePorts[aDaemon] = aPort;
}

void
Harness::SetZone(unsigned aDaemon, std::string aZone)
{
  this->zones[aDaemon] = std::move(aZone);
}

std::string
Harness::PeerNameOf(unsigned aDaemon) const
{
  return fmt::format("{}:{}", AddressOf(aDaemon), this->basePort + 3);
}

void
Harness::StartDaemons()
{
  const auto count = static_cast<unsigned>(this->storePorts.size());
  this->daemons.reserve(count);
  for (unsigned index = 0; index < count; ++index) {
    soak::DaemonProcess::Options options;
    options.program = this->program;
    options.folder = this->folder;
    options.address = AddressOf(index);
    options.domain = this->zones[index];
    options.firstPeer = AddressOf(index == 0 ? 1 : 0);
    options.storePort = this->storePorts[index];
    options.basePort = this->basePort;
    options.hosts = count;
    options.moreSettings = R"("processor_share": 0.2, "memory_mb": 260,
  "max_descriptors": 4100, "link_mbps": 1000, "report_interval_ms": 1500)";
    this->daemons.push_back(std::make_unique<soak::DaemonProcess>(options));
    CloseOnExec();
    this->daemons.back()->Start();
    this->Record(fmt::format("platform: started daemon {}", index));
  }
}

unsigned
Harness::DispatcherOf(const std::string& aService) const
{
  return this->OrderOf("slots/" + aService).front();
}

std::vector<unsigned>
Harness::WatchOrder() const
{
  return this->OrderOf("store");
}

std::vector<unsigned>
Harness::OrderOf(const std::string& aKey) const
{
  std::vector<std::pair<std::uint64_t, unsigned>> ranks;
  for (unsigned index = 0; index < this->storePorts.size(); ++index) {
    ranks.emplace_back(core::RendezvousWeight(aKey, this->PeerNameOf(index)),
                       index);
  }
  std::sort(ranks.rbegin(), ranks.rend());
  std::vector<unsigned> order;
  order.reserve(ranks.size());
  for (const auto& [weight, index] : ranks) {
    order.push_back(index);
  }
  return order;
}

void
Harness::Restart(unsigned aDaemon)
{
  CloseOnExec();
  this->daemons[aDaemon]->Start();
  this->Record(fmt::format("platform: started daemon {} again", aDaemon));
}

asio::awaitable<bool>
Harness::IsReady(unsigned aDaemon)
{
  boost::beast::tcp_stream stream(this->context);
  boost::system::error_code error;
  stream.expires_after(1s);
  co_await stream.async_connect(
    this->daemons[aDaemon]->ReadyEndpoint(),
    asio::redirect_error(asio::use_awaitable, error));
  http::request<http::string_body> request(http::verb::get, "/ready", 11);
  request.set(http::field::host, "ready");
  http::response<http::string_body> response;
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
  co_return !error && response.result() == http::status::ok;
}

asio::awaitable<Reply>
Harness::Request(unsigned aDaemon,
                 std::string aMethod,
                 std::string aTarget,
                 std::string aId,
                 std::string aBody,
                 Milliseconds aTimeout)
{
  this->Record(fmt::format("sent {} to daemon {}", aId, aDaemon));
  boost::beast::tcp_stream stream(this->context);
  boost::system::error_code error;
  stream.expires_after(1s);
  co_await stream.async_connect(
    this->daemons[aDaemon]->CallerEndpoint(),
    asio::redirect_error(asio::use_awaitable, error));
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aMethod);
  request.target(aTarget);
  request.set(http::field::host, "case.example");
  request.set("X-Request-Id", aId);
  request.set("X-Request-Timeout-Ms", std::to_string(aTimeout.count()));
  request.body() = aBody;
  request.prepare_payload();
  http::response<http::string_body> response;
  boost::beast::flat_buffer buffer;
  stream.expires_after(aTimeout + 1s);
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
  Reply reply;
  reply.id = aId;
  if (!error) {
    reply.status = response.result_int();
    reply.signature = std::string(response["X-Response-Signature"]);
    reply.body = std::move(response.body());
  }
  this->Record(fmt::format("answered {}: {}",
                           aId,
                           error ? error.message()
                                 : fmt::format("status {}", reply.status)));
  co_return reply;
}

asio::awaitable<void>
Harness::Wait(Milliseconds aTime)
{
  asio::steady_timer timer(this->context, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

void
Harness::Spawn(std::function<asio::awaitable<void>()> aFunction)
{
  asio::co_spawn(this->context, std::move(aFunction), asio::detached);
}

void
Harness::Record(const std::string& aText)
{
  this->record << fmt::format("{:7} ms  {}\n", this->Elapsed(), aText);
}

long
Harness::Elapsed(TimePoint aTime) const
{
  return std::chrono::duration_cast<Milliseconds>(aTime - this->begin).count();
}

int
NumberOf(const char* aVariable, int aDefault)
{
  const char* text = std::getenv(aVariable);
  return text == nullptr || *text == '\0' ? aDefault : std::atoi(text);
}

} // namespace fireflytrail::review
