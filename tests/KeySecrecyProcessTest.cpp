#include "soak/DaemonProcess.h"
#include "soak/HttpService.h"
#include "soak/ObjectStore.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <mutex>
#include <sstream>
#include <thread>

using namespace fireflytrail;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t kBasePort = 18'680;
constexpr const char* kHost = "127.0.10.60";
constexpr const char* kKey = "key-of-one-9f31";
constexpr const char* kOldKey = "old-key-of-one-77ab";
constexpr const char* kUnknownKey = "unknown-key-5c02";

/** Returns the configuration of one service, with or without the old key. */
std::string
ConfigurationText(unsigned aVersion, bool aHasOldKey)
{
  const auto route = [](const char* aPrefix, bool aIsPublic) {
    return fmt::format(
      R"({{"EntryType":"Routes","Metadata":{{"Name":"r{0}"}},"Spec":{{)"
      R"("Host":"h","PathPrefix":"{0}","Type":"idempotent","TimeoutMs":2000,)"
      R"("TargetLatencyMs":500,"Service":"s","MaxAttempts":2,"Public":{1}}}}})",
      aPrefix,
      aIsPublic);
  };
  return fmt::format(
    R"({{"Version":"r{}","Resources":[{},{},)"
    R"({{"EntryType":"Services","Metadata":{{"Name":"s"}},"Spec":{{}}}},)"
    R"({{"EntryType":"Tenants","Metadata":{{"Name":"one"}},"Spec":)"
    R"({{"ApiKeys":["{}"{}],"Priority":1}}}}]}})",
    aVersion,
    route("/", false),
    route("/public/", true),
    kKey,
    aHasOldKey ? fmt::format(",\"{}\"", kOldKey) : "");
}

/** A daemon with a store and a server that records what it receives. */
struct DaemonFixture
{
  DaemonFixture()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "key-test-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    const auto storeEndpoint = this->store.Open();
    this->server->Open({ boost::asio::ip::address_v4::loopback(), 0 });
    this->store.Put(
      "servers",
      "i-1",
      boost::json::parse(fmt::format(
        R"({{"Address":"127.0.0.1:{}","Info":{{"Service":"s","Version":"v1",)"
        R"("Zone":"a","MaxConcurrency":8}},"Status":{{"State":"ready",)"
        R"("Sequence":1,"WarmupRemainingMs":0}},"born":1700000000000}})",
        this->server->Endpoint().port())));
    this->thread = std::thread([this] { this->context.run(); });
    soak::DaemonProcess::Options options;
    options.program = FIREFLYTRAIL_PROGRAM;
    options.folder = this->folder;
    options.address = kHost;
    options.domain = "a";
    options.firstPeer = kHost;
    options.storePort = storeEndpoint.port();
    options.basePort = kBasePort;
    options.moreSettings = R"("log_level": "debug")";
    this->daemon.emplace(options);
  }

  ~DaemonFixture()
  {
    this->daemon.reset();
    this->context.stop();
    this->thread.join();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }

  DaemonFixture(const DaemonFixture&) = delete;
  DaemonFixture& operator=(const DaemonFixture&) = delete;

  void PutConfiguration(unsigned aVersion, bool aHasOldKey)
  {
    std::promise<void> done;
    boost::asio::post(this->context, [&] {
      this->store.Put(
        "config",
        "main",
        boost::json::parse(ConfigurationText(aVersion, aHasOldKey)));
      done.set_value();
    });
    done.get_future().wait();
  }

  boost::asio::awaitable<std::optional<soak::HttpResponse>> Serve(
    soak::HttpRequest aRequest)
  {
    std::ostringstream text;
    text << aRequest;
    {
      const std::lock_guard lock(this->mutex);
      this->received.push_back(text.str());
    }
    soak::HttpResponse response;
    response.result(200U);
    response.set("X-Request-Id", aRequest["X-Request-Id"]);
    response.set("X-Response-Signature", "s");
    co_return response;
  }

  /** Sends bytes to a port of the daemon; returns all that it answers until it
   * closes, which must be asked for. Remembers it as an output. */
  std::string Exchange(int aPortOffset, const std::string& aBytes)
  {
    boost::asio::io_context callerContext;
    tcp::socket socket(callerContext);
    boost::system::error_code error;
    socket.connect({ boost::asio::ip::make_address(kHost),
                     static_cast<std::uint16_t>(kBasePort + aPortOffset) },
                   error);
    std::string answer;
    if (!error) {
      boost::asio::write(socket, boost::asio::buffer(aBytes), error);
      boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    }
    this->outputs.push_back(answer);
    return answer;
  }

  static std::string RequestText(const std::string& aPath,
                                 const std::string& aFields)
  {
    return fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-1\r\n"
                       "X-Request-Timeout-Ms: 1500\r\n{}"
                       "Connection: close\r\n\r\n",
                       aPath,
                       aFields);
  }

  /** Sends a request with a key; returns the status of the answer. */
  std::string StatusWith(const std::string& aKey)
  {
    const std::string answer = this->Exchange(
      0, RequestText("/x", "Authorization: Bearer " + aKey + "\r\n"));
    return answer.substr(0, std::string_view("HTTP/1.1 200").size());
  }

  /** Repeats a request until its answer has a status; returns false after 10 s.
   */
  bool WaitForStatus(const std::string& aKey, const std::string& aStatus)
  {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (this->StatusWith(aKey) != "HTTP/1.1 " + aStatus) {
      if (std::chrono::steady_clock::now() >= end) {
        return false;
      }
      std::this_thread::sleep_for(20ms);
    }
    return true;
  }

  std::string ExplainText() const
  {
    const std::string command = fmt::format(
      "{} explain id-1 {}/*.log 2>&1", FIREFLYTRAIL_PROGRAM, this->folder);
    std::string text;
    if (FILE* pipe = popen(command.c_str(), "r")) {
      std::array<char, 4096> part{};
      while (const std::size_t size =
               fread(part.data(), 1, part.size(), pipe)) {
        text.append(part.data(), size);
      }
      pclose(pipe);
    }
    return text;
  }

  std::string folder;
  boost::asio::io_context context{ 1 };
  soak::ObjectStore store{ this->context };
  std::shared_ptr<soak::HttpService> server =
    std::make_shared<soak::HttpService>(this->context,
                                        [this](soak::HttpRequest aRequest) {
                                          return this->Serve(
                                            std::move(aRequest));
                                        });
  std::thread thread;
  std::optional<soak::DaemonProcess> daemon;
  std::mutex mutex;
  std::vector<std::string> received;
  std::vector<std::string> outputs;
};

} // namespace

// Guards against a key in anything that leaves the daemon other than its
// messages to other daemons: requests to servers, answers, error pages,
// metrics, dump, status, log lines of all levels and the text of `explain`; and
// against a withdrawn key that stays valid.
BOOST_FIXTURE_TEST_CASE(KeysLeaveTheDaemonNowhere, DaemonFixture)
{
  this->daemon->Start();
  // No configuration yet: the key may be valid.
  BOOST_REQUIRE(this->WaitForStatus(kUnknownKey, "503"));
  this->PutConfiguration(1, true);
  BOOST_REQUIRE(this->WaitForStatus(kKey, "200"));
  BOOST_TEST(this->StatusWith(kOldKey) == "HTTP/1.1 200");
  BOOST_TEST(this->StatusWith(kUnknownKey) == "HTTP/1.1 401");
  const std::string keyField =
    fmt::format("Authorization: Bearer {}\r\n", kKey);
  this->Exchange(
    0, RequestText("/x", keyField + "X-Tenant: two\r\nx-tenant: three\r\n"));
  this->Exchange(0, RequestText("/public/x", "X-Tenant: two\r\n"));
  this->Exchange(0, RequestText("/public/x", keyField));
  // Malformed requests, for the texts of errors.
  this->Exchange(0, keyField + "\r\n");
  this->Exchange(0, RequestText("/x", keyField + "Content-Length: x\r\n"));
  this->Exchange(0, RequestText("/x", "Authorization " + keyField));
  this->PutConfiguration(2, false);
  BOOST_TEST(this->WaitForStatus(kOldKey, "401"));
  BOOST_TEST(this->StatusWith(kKey) == "HTTP/1.1 200");
  for (const char* page : { "/metrics", "/dump", "/status", "/ready" }) {
    const std::string answer = this->Exchange(
      2,
      fmt::format("GET {} HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n",
                  page));
    BOOST_TEST(answer.find(" 200 ") != std::string::npos, page);
  }
  const std::string explained = this->ExplainText();
  BOOST_TEST(explained.find("unknown_key") != std::string::npos, explained);
  this->outputs.push_back(explained);
  this->outputs.push_back(this->daemon->LogText());
  BOOST_TEST(this->daemon->LogText().find("key_refused") != std::string::npos);
  const std::lock_guard lock(this->mutex);
  BOOST_TEST(this->received.size() >= 5U);
  std::size_t unnamed = 0;
  for (const std::string& text : this->received) {
    const bool isNamed = text.find("X-Tenant: one\r\n") != std::string::npos;
    unnamed += isNamed ? 0 : 1;
    BOOST_TEST(text.find("two") == std::string::npos);
    BOOST_TEST(text.find("three") == std::string::npos);
    BOOST_TEST(text.find("Authorization") == std::string::npos);
    this->outputs.push_back(text);
  }
  // The one request without a key.
  BOOST_TEST(unnamed == 1U);
  for (const std::string& output : this->outputs) {
    for (const char* key : { kKey, kOldKey, kUnknownKey }) {
      BOOST_TEST(output.find(key) == std::string::npos, output);
    }
  }
}
