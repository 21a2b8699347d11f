#include "ProcessFleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>
#include <future>
#include <set>
#include <string_view>

namespace fireflytrail::test {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

// The platform's limit for the return of the service after a restart of all
// daemons (RecoverS).
constexpr auto kRecoveryTime = 15s;

constexpr const char* kConfiguration =
  R"({"Version":"r1","Resources":[)"
  R"({"EntryType":"Routes","Metadata":{"Name":"r"},"Spec":{"Host":"h",)"
  R"("PathPrefix":"/","Type":"idempotent","TimeoutMs":2000,)"
  R"("TargetLatencyMs":500,"Service":"s","MaxAttempts":2}},)"
  R"({"EntryType":"Services","Metadata":{"Name":"s"},"Spec":{}}]})";

} // namespace

ProcessFleet::ProcessFleet()
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "process-fleet-XXXXXX").string();
  this->folder = mkdtemp(pattern.data());
  this->storePort = this->store.Open().port();
  this->store.Put("config", "main", boost::json::parse(kConfiguration));
  for (std::size_t index = 0; index < kServers; ++index) {
    this->AddServer(ServerName(index));
  }
}

ProcessFleet::~ProcessFleet()
{
  this->daemons.clear();
  this->context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::string
ProcessFleet::ServerName(std::size_t aIndex)
{
  return fmt::format("i-{}", aIndex);
}

void
ProcessFleet::AddServer(const std::string& aName)
{
  this->servers.push_back(std::make_shared<soak::HttpService>(
    this->context, [this, aName](soak::HttpRequest aRequest) {
      return this->Serve(aName, std::move(aRequest));
    }));
  this->servers.back()->Open({ boost::asio::ip::address_v4::loopback(), 0 });
  this->store.Put(
    "servers",
    aName,
    boost::json::parse(fmt::format(
      R"({{"Address":"127.0.0.1:{}","Info":{{"Service":"s","Version":"v1",)"
      R"("Zone":"a","MaxConcurrency":8}},"Status":{{"State":"ready",)"
      R"("Sequence":1,"WarmupRemainingMs":0}},"born":1700000000000}})",
      this->servers.back()->Endpoint().port())));
}

boost::asio::awaitable<std::optional<soak::HttpResponse>>
ProcessFleet::Serve(const std::string& aName, soak::HttpRequest aRequest)
{
  if (aRequest.count("X-Smuggled") > 0) {
    this->hasSmuggledField = true;
  }
  if (this->workTime) {
    boost::asio::steady_timer timer(this->context, this->workTime(aRequest));
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  soak::HttpResponse response;
  response.result(200U);
  if (aRequest["X-Target-Instance"] != aName) {
    response.result(421U);
  }
  response.set("X-Request-Id", aRequest["X-Request-Id"]);
  response.set("X-Response-Signature", "s");
  response.body() = aName;
  co_return response;
}

void
ProcessFleet::Start()
{
  this->thread = std::thread([this] { this->context.run(); });
  for (const char* host : kHosts) {
    soak::DaemonProcess::Options options;
    // The environment may name another program, to try the tests on it.
    const char* other = std::getenv("PROCESS_TEST_PROGRAM");
    options.program = other == nullptr ? FIREFLYTRAIL_PROGRAM : other;
    options.folder = this->folder;
    options.address = host;
    options.domain = "a";
    options.firstPeer = kHosts.front();
    options.storePort = this->storePort;
    options.basePort = kCallerPort;
    options.hosts = kHosts.size();
    this->daemons.push_back(std::make_unique<soak::DaemonProcess>(options));
    this->daemons.back()->Start();
  }
}

std::string
ProcessFleet::Request(const char* aHost)
{
  boost::asio::io_context callerContext;
  tcp::socket socket(callerContext);
  boost::system::error_code error;
  socket.connect({ boost::asio::ip::make_address(aHost), kCallerPort }, error);
  std::string answer;
  if (!error) {
    boost::asio::write(
      socket,
      boost::asio::buffer(std::string_view(
        "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n"
        "X-Request-Timeout-Ms: 1500\r\nConnection: close\r\n\r\n")),
      error);
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  }
  return answer;
}

bool
ProcessFleet::IsServed(const std::string& aAnswer)
{
  return aAnswer.starts_with("HTTP/1.1 200 ");
}

void
ProcessFleet::AwaitService() const
{
  const auto end = std::chrono::steady_clock::now() + kRecoveryTime;
  for (const char* host : kHosts) {
    while (!IsServed(Request(host)) && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(50ms);
    }
  }
}

void
ProcessFleet::CheckService(std::size_t aServers)
{
  this->AwaitService();
  constexpr int kRequests = 60;
  constexpr int kMaxRequests = 1000;
  int served = 0;
  std::set<std::string> used;
  for (int index = 0; index < kRequests; ++index) {
    const std::string answer = Request(kHosts[index % kHosts.size()]);
    served += IsServed(answer) ? 1 : 0;
  }
  BOOST_TEST(served == kRequests);
  for (int index = 0; served > 0 && index < kMaxRequests; ++index) {
    const std::string answer = Request(kHosts[index % kHosts.size()]);
    if (IsServed(answer)) {
      used.insert(answer.substr(answer.find("\r\n\r\n") + 4));
    }
    if (used.size() == aServers) {
      break;
    }
  }
  BOOST_TEST(used.size() == aServers);
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(daemon->IsRunning());
  }
  this->CheckLogsLack("store_lost");
}

std::size_t
ProcessFleet::ListCount()
{
  std::promise<std::size_t> count;
  boost::asio::post(this->context,
                    [&] { count.set_value(this->store.ListCount()); });
  return count.get_future().get();
}

void
ProcessFleet::CheckLogs(const std::string& aText) const
{
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(daemon->LogText().find(aText) != std::string::npos, aText);
  }
}

void
ProcessFleet::CheckLogsLack(const std::string& aText) const
{
  for (const auto& daemon : this->daemons) {
    BOOST_TEST(daemon->LogText().find(aText) == std::string::npos, aText);
  }
}

} // namespace fireflytrail::test
