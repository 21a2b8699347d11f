#include "soak/connections/ConnectionTest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <algorithm>
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

constexpr auto kAddress = "127.0.30.1";
constexpr unsigned kServers = 4;
constexpr unsigned kMaxRequests = 5;
constexpr std::size_t kMaxBodyBytes = 4000;
constexpr auto kHeaderTimeout = 500ms;
// Longer than the time limit for heads in total, each below it.
constexpr auto kSlowPause = 300ms;
constexpr auto kCallerTime = 2500ms;
// Time after which an answer that has not arrived is taken for none.
constexpr auto kAnswerTime = 6s;
constexpr auto kStartTime = 8s;
// Allowance for scheduling delays of the test machine.
constexpr auto kTimeLeftMargin = 150ms;

json::object
MakeRoute(const std::string& aName, bool aIsAtMostOnce)
{
  return { { "EntryType", "Routes" },
           { "Metadata", json::object{ { "Name", "r-" + aName } } },
           { "Spec",
             json::object{
               { "Host", "soak.example" },
               { "PathPrefix", "/" + aName + "/" },
               { "Type", aIsAtMostOnce ? "non_idempotent" : "idempotent" },
               { "TimeoutMs", 3000 },
               { "TargetLatencyMs", 300 },
               { "Priority", 0 },
               { "Service", "s" },
               { "MaxAttempts", 3 } } } };
}

RequestHistory::Outcome
OutcomeOf(unsigned aStatus)
{
  using enum RequestHistory::Outcome;
  const bool isPromise =
    aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
  return aStatus == 200 ? Success : isPromise ? NotRun : Failure;
}

} // namespace

ConnectionTest::ConnectionTest(Options aOptions)
  : options(std::move(aOptions))
  , random(this->options.seed)
  , store(this->context)
{
}

ConnectionTest::~ConnectionTest() = default;

const std::vector<std::string>&
ConnectionTest::Run()
{
  const tcp::endpoint storeEndpoint = this->store.Open();
  this->Configure();
  for (unsigned index = 0; index < kServers; ++index) {
    this->servers.push_back(std::make_unique<Server>(
      this->context, this->history, "s", "a", this->random()));
    this->servers.back()->SetRunObserver(
      [this](const HttpRequest& aRequest) { this->CheckTimeLeft(aRequest); });
    this->servers.back()->Start();
    this->store.Put("servers",
                    this->servers.back()->Id(),
                    this->servers.back()->Registration());
  }
  this->daemon = std::make_unique<DaemonProcess>(
    DaemonProcess::Options{ .program = this->options.program,
                            .folder = this->options.folder,
                            .address = kAddress,
                            .domain = "a",
                            .firstPeer = kAddress,
                            .storePort = storeEndpoint.port(),
                            .basePort = this->options.basePort,
                            .hosts = 1 });
  this->daemon->Start();
  asio::co_spawn(
    this->context, [this] { return this->RunTest(); }, asio::detached);
  this->context.run();
  this->history.CheckAll();
  return this->history.Violations();
}

std::string
ConnectionTest::Summary() const
{
  std::string text;
  for (const auto& [name, count] : this->counts) {
    text += fmt::format("{} {}, ", count, name);
  }
  return text;
}

asio::awaitable<void>
ConnectionTest::RunTest()
{
  if (!co_await this->WaitUntilReady()) {
    this->history.ReportViolation("the daemon did not become ready");
    this->context.stop();
    co_return;
  }
  for (unsigned index = 0; index < this->options.callers; ++index) {
    ++this->runningCallers;
    asio::co_spawn(
      this->context, [this] { return this->RunCaller(); }, asio::detached);
  }
  const auto end = std::chrono::steady_clock::now() + this->options.duration;
  while (std::chrono::steady_clock::now() < end) {
    // Slow servers let callers close while their requests run.
    for (const auto& server : this->servers) {
      server->SetSlowdown(this->RandomBelow(2) == 0 ? 1 : 15);
    }
    co_await this->Wait(500ms);
  }
  this->isOver = true;
  while (this->runningCallers > 0) {
    co_await this->Wait(50ms);
  }
  if (!this->daemon->IsRunning()) {
    this->history.ReportViolation("the daemon has ended");
  }
  this->daemon->SendSignal(SIGTERM);
  this->context.stop();
}

asio::awaitable<bool>
ConnectionTest::WaitUntilReady()
{
  const auto end = std::chrono::steady_clock::now() + kStartTime;
  while (std::chrono::steady_clock::now() < end) {
    boost::system::error_code error;
    boost::beast::tcp_stream stream(this->context);
    stream.expires_after(1s);
    co_await stream.async_connect(
      this->daemon->ReadyEndpoint(),
      asio::redirect_error(asio::use_awaitable, error));
    HttpResponse response;
    response.result(0U);
    if (!error) {
      co_await asio::async_write(
        stream,
        asio::buffer(std::string_view("GET /ready HTTP/1.1\r\n\r\n")),
        asio::redirect_error(asio::use_awaitable, error));
      boost::beast::flat_buffer buffer;
      co_await http::async_read(
        stream,
        buffer,
        response,
        asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error && response.result_int() == 200U) {
      // The servers become known soon after the routes.
      co_await this->Wait(500ms);
      co_return true;
    }
    co_await this->Wait(50ms);
  }
  co_return false;
}

asio::awaitable<void>
ConnectionTest::RunCaller()
{
  while (!this->isOver) {
    co_await this->RunScript(this->MakeScript());
    co_await this->Wait(milliseconds(this->RandomBelow(20)));
  }
  --this->runningCallers;
}

ConnectionTest::Request
ConnectionTest::MakeRequest()
{
  const bool isAtMostOnce = this->RandomBelow(2) == 0;
  Request request;
  request.id =
    fmt::format("{:x}-{}", this->options.seed, ++this->requestNumber);
  request.target =
    fmt::format("/{}/{}", isAtMostOnce ? "once" : "any", request.id);
  request.body =
    isAtMostOnce ? std::string(this->RandomBelow(kMaxBodyBytes), 'x') : "";
  request.bytes = fmt::format("{} {} HTTP/1.1\r\nHost: soak.example\r\n"
                              "X-Request-Id: {}\r\n"
                              "X-Request-Timeout-Ms: {}\r\n",
                              isAtMostOnce ? "POST" : "GET",
                              request.target,
                              request.id,
                              milliseconds(kCallerTime).count());
  if (!isAtMostOnce) {
    request.bytes += "\r\n";
  } else if (this->RandomBelow(2) == 0) {
    request.bytes += fmt::format(
      "Content-Length: {}\r\n\r\n{}", request.body.size(), request.body);
  } else {
    request.bytes += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t begin = 0; begin < request.body.size();) {
      const std::string part =
        request.body.substr(begin, 1 + this->RandomBelow(kMaxBodyBytes));
      request.bytes += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
      begin += part.size();
    }
    request.bytes += "0\r\n\r\n";
  }
  request.headBytes = request.bytes.find("\r\n\r\n") + 4;
  this->history.RecordSend(request.id, isAtMostOnce, kAddress);
  return request;
}

ConnectionTest::Script
ConnectionTest::MakeScript()
{
  Script script;
  const std::uint64_t count = 1 + this->RandomBelow(kMaxRequests);
  for (std::uint64_t index = 0; index < count; ++index) {
    script.requests.push_back(this->MakeRequest());
    script.bytes += script.requests.back().bytes;
  }
  script.sentBytes = script.bytes.size();
  script.closesSendingSide = this->RandomBelow(2) == 0;
  if (this->RandomBelow(10) == 0) {
    // The last request stalls after its first byte or later.
    const std::size_t lastSize = script.requests.back().bytes.size();
    script.sentBytes -= 1 + this->RandomBelow(lastSize - 1);
    script.closesSendingSide = false;
  }
  const std::uint64_t speed = this->RandomBelow(10);
  script.maxPause = speed == 0 ? kSlowPause : speed < 4 ? 20ms : 0ms;
  return script;
}

asio::awaitable<void>
ConnectionTest::Send(std::shared_ptr<tcp::socket> aSocket, Script aScript)
{
  boost::system::error_code error;
  std::size_t sent = 0;
  while (sent < aScript.sentBytes && !error) {
    const std::size_t rest = aScript.sentBytes - sent;
    const std::size_t size = 1 + this->RandomBelow(std::max<std::size_t>(
                                   1, std::min<std::size_t>(rest, 3000)));
    co_await asio::async_write(
      *aSocket,
      asio::buffer(aScript.bytes.data() + sent, std::min(size, rest)),
      asio::redirect_error(asio::use_awaitable, error));
    sent += std::min(size, rest);
    if (sent >= aScript.requests.front().headBytes) {
      this->headTimes.try_emplace(aScript.requests.front().id,
                                  std::chrono::steady_clock::now());
    }
    if (aScript.maxPause > 0ms && sent < aScript.sentBytes) {
      co_await this->Wait(milliseconds(this->RandomBelow(
        static_cast<std::uint64_t>(aScript.maxPause.count()))));
    }
  }
  if (aScript.closesSendingSide) {
    aSocket->shutdown(tcp::socket::shutdown_send, error);
  }
}

asio::awaitable<void>
ConnectionTest::RunScript(Script aScript)
{
  const auto socket = std::make_shared<tcp::socket>(this->context);
  boost::system::error_code error;
  co_await socket->async_connect(
    this->daemon->CallerEndpoint(),
    asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    this->history.ReportViolation("no connection: " + error.message());
    co_return;
  }
  socket->set_option(tcp::no_delay(true), error);
  asio::co_spawn(
    this->context,
    [this, socket, aScript] { return this->Send(socket, aScript); },
    asio::detached);
  // Ends the reading if an answer is missing.
  asio::steady_timer limit(this->context, kAnswerTime);
  limit.async_wait(
    [weak = std::weak_ptr(socket)](boost::system::error_code aError) {
      const auto open = weak.lock();
      if (open && !aError) {
        boost::system::error_code ignored;
        open->close(ignored);
      }
    });
  boost::beast::flat_buffer buffer;
  std::size_t answered = 0;
  bool isClosing = false;
  while (!isClosing && answered < aScript.requests.size()) {
    HttpResponse response;
    co_await http::async_read(*socket,
                              buffer,
                              response,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
    const Request& request = aScript.requests[answered++];
    ++this->counts[fmt::format("answered {}", response.result_int())];
    this->history.RecordOutcome(request.id, OutcomeOf(response.result_int()));
    const std::string expected =
      fmt::format("{} {} {}", request.id, request.target, request.body);
    if (response.result() == http::status::ok &&
        (response.body() != expected ||
         response["X-Response-Signature"] != "of-" + request.id)) {
      this->history.ReportViolation(
        fmt::format("request {} received a wrong response", request.id));
    }
    isClosing = !response.keep_alive();
  }
  this->OnUnanswered(aScript, answered, isClosing);
  if (buffer.size() > 0) {
    this->history.ReportViolation(
      fmt::format("bytes after the last answer, first request {}",
                  aScript.requests.front().id));
  }
  limit.cancel();
  socket->close(error);
}

void
ConnectionTest::CheckTimeLeft(const HttpRequest& aRequest)
{
  const std::string id(aRequest["X-Request-Id"]);
  const auto found = this->headTimes.find(id);
  if (found == this->headTimes.end()) {
    return;
  }
  const milliseconds allowed(
    std::stoul(std::string(aRequest["X-Request-Timeout-Ms"])));
  const auto left =
    kCallerTime - (std::chrono::steady_clock::now() - found->second);
  if (allowed > left + kTimeLeftMargin) {
    this->history.ReportViolation(
      fmt::format("request {} was allowed {} ms, {} ms were left",
                  id,
                  allowed.count(),
                  std::chrono::duration_cast<milliseconds>(left).count()));
  }
}

void
ConnectionTest::OnUnanswered(const Script& aScript,
                             std::size_t aAnswered,
                             bool aIsAllowed)
{
  for (std::size_t index = aAnswered; index < aScript.requests.size();
       ++index) {
    const std::string& id = aScript.requests[index].id;
    if (aIsAllowed) {
      // An answer before it closed the connection, so it must not run.
      ++this->counts["after a close"];
      this->history.RecordOutcome(id, RequestHistory::Outcome::NotRun);
    } else {
      ++this->counts["lost"];
      this->history.RecordOutcome(id, RequestHistory::Outcome::ConnectionLost);
      this->history.ReportViolation(
        fmt::format("request {} ({} of {}, {} of {} bytes sent{}) was lost",
                    id,
                    index + 1,
                    aScript.requests.size(),
                    aScript.sentBytes,
                    aScript.bytes.size(),
                    aScript.closesSendingSide ? ", half-closed" : ""));
    }
  }
}

asio::awaitable<void>
ConnectionTest::Wait(milliseconds aTime)
{
  asio::steady_timer timer(this->context, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

void
ConnectionTest::Configure()
{
  json::array entries;
  entries.push_back(MakeRoute("once", true));
  entries.push_back(MakeRoute("any", false));
  entries.push_back(
    json::object{ { "EntryType", "Services" },
                  { "Metadata", json::object{ { "Name", "s" } } },
                  { "Spec",
                    json::object{ { "HealthCheckPath", "/health" },
                                  { "MaxConnections", 260 },
                                  { "SlowStartS", 1.0 },
                                  { "WarmupPerS", 50.0 } } } });
  entries.push_back(json::object{
    { "EntryType", "Limits" },
    { "Metadata", json::object{ { "Name", "limits" } } },
    { "Spec",
      json::object{ { "MaxHeaderBytes", 16384 },
                    { "MaxBodyBytes", 1 << 20U },
                    { "HeaderTimeoutMs", milliseconds(kHeaderTimeout).count() },
                    { "IdleTimeoutMs", 10'000 } } } });
  this->store.Put(
    "config",
    "main",
    json::object{ { "Version", "r1" }, { "Resources", std::move(entries) } });
}

std::uint64_t
ConnectionTest::RandomBelow(std::uint64_t aLimit)
{
  return this->random() % aLimit;
}

} // namespace fireflytrail::soak
