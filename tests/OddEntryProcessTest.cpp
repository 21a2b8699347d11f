#include "soak/DaemonProcess.h"
#include "soak/HttpService.h"
#include "soak/ObjectStore.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace fireflytrail;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using UnknownCursor = soak::ObjectStore::UnknownCursor;

namespace {

constexpr std::uint16_t kBasePort = 18'720;
constexpr std::size_t kServers = 10;
constexpr std::array kHosts = { "127.0.10.70", "127.0.10.71" };
// The platform's limit for the return of the service after a restart of all
// daemons (RecoverS).
constexpr auto kRecoveryTime = 15s;

constexpr const char* kConfiguration =
  R"({"Version":"r1","Resources":[)"
  R"({"EntryType":"Routes","Metadata":{"Name":"r"},"Spec":{"Host":"h",)"
  R"("PathPrefix":"/","Type":"idempotent","TimeoutMs":2000,)"
  R"("TargetLatencyMs":500,"Service":"s","MaxAttempts":2}},)"
  R"({"EntryType":"Services","Metadata":{"Name":"s"},"Spec":{}}]})";

/** Returns what another writer stores: it describes nothing. */
boost::json::value
OddSpec()
{
  return boost::json::object{ { "note", "left by another writer" } };
}

/** Two daemons that start at a store with ten servers. */
struct FleetFixture
{
  FleetFixture()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "odd-entry-test-XXXXXX")
        .string();
    this->folder = mkdtemp(pattern.data());
    this->storePort = this->store.Open().port();
    this->store.Put("config", "main", boost::json::parse(kConfiguration));
    for (std::size_t index = 0; index < kServers; ++index) {
      this->AddServer(ServerName(index));
    }
  }

  ~FleetFixture()
  {
    this->daemons.clear();
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }

  FleetFixture(const FleetFixture&) = delete;
  FleetFixture& operator=(const FleetFixture&) = delete;

  static std::string ServerName(std::size_t aIndex)
  {
    return fmt::format("i-{}", aIndex);
  }

  void AddServer(const std::string& aName)
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

  boost::asio::awaitable<std::optional<soak::HttpResponse>> Serve(
    const std::string& aName,
    soak::HttpRequest aRequest)
  {
    if (aRequest.count("X-Smuggled") > 0) {
      this->hasSmuggledField = true;
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

  /** Runs the store and the servers, then starts both daemons. The store must
   * not be used after that. */
  void Start()
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
      options.basePort = kBasePort;
      options.hosts = kHosts.size();
      this->daemons.push_back(std::make_unique<soak::DaemonProcess>(options));
      this->daemons.back()->Start();
    }
  }

  /** Sends a request to a daemon; returns the answer, empty if there is none.
   */
  static std::string Request(const char* aHost)
  {
    boost::asio::io_context callerContext;
    tcp::socket socket(callerContext);
    boost::system::error_code error;
    socket.connect({ boost::asio::ip::make_address(aHost), kBasePort }, error);
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

  static bool IsServed(const std::string& aAnswer)
  {
    return aAnswer.starts_with("HTTP/1.1 200 ");
  }

  /** Checks that both daemons serve within the platform's limit, and that
   * `aServers` servers get work. */
  void CheckService(std::size_t aServers = kServers)
  {
    const auto end = std::chrono::steady_clock::now() + kRecoveryTime;
    for (const char* host : kHosts) {
      while (!IsServed(Request(host)) &&
             std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(50ms);
      }
    }
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

  /** Returns how many requests for pages of lists the store has received. */
  std::size_t ListCount()
  {
    std::promise<std::size_t> count;
    boost::asio::post(this->context,
                      [&] { count.set_value(this->store.ListCount()); });
    return count.get_future().get();
  }

  /** Checks that the log of each daemon has a text. */
  void CheckLogs(const std::string& aText) const
  {
    for (const auto& daemon : this->daemons) {
      BOOST_TEST(daemon->LogText().find(aText) != std::string::npos, aText);
    }
  }

  /** Checks that no daemon's log has a text. */
  void CheckLogsLack(const std::string& aText) const
  {
    for (const auto& daemon : this->daemons) {
      BOOST_TEST(daemon->LogText().find(aText) == std::string::npos, aText);
    }
  }

  std::string folder;
  boost::asio::io_context context{ 1 };
  soak::ObjectStore store{ this->context };
  std::uint16_t storePort = 0;
  std::vector<std::shared_ptr<soak::HttpService>> servers;
  std::vector<std::unique_ptr<soak::DaemonProcess>> daemons;
  /** Whether a request at a server had a field that no caller sent. */
  std::atomic<bool> hasSmuggledField = false;
  std::thread thread;
};

constexpr std::array kUnknownCursors = { UnknownCursor::Accepted,
                                         UnknownCursor::Refused,
                                         UnknownCursor::Ignored };

} // namespace

// Guards against a name by another writer that changes the meaning of the
// request for the next page: no server came into force after a restart of all
// daemons.
BOOST_DATA_TEST_CASE_F(FleetFixture,
                       OddNamesAtTheEndsOfPagesDoNotStopTheService,
                       boost::unit_test::data::xrange(kUnknownCursors.size()),
                       rule)
{
  // Each name sorts directly after a server's and so ends a page of two.
  constexpr std::array kSuffixes = { "&",   "+",      "#",        "%",
                                     " ",   "%41",    "\xc3\xa9", "\x01\r\n",
                                     "/?=", "&after=" };
  static_assert(kSuffixes.size() == kServers);
  this->store.SetPageSize(2);
  this->store.SetUnknownCursor(kUnknownCursors[rule]);
  for (std::size_t index = 0; index < kServers; ++index) {
    this->store.Put("servers", ServerName(index) + kSuffixes[index], OddSpec());
  }
  for (const char* kind : { "config", "rollouts", "evacuations" }) {
    for (const char* suffix : kSuffixes) {
      this->store.Put(kind, fmt::format("a{}", suffix), OddSpec());
    }
  }
  this->Start();
  this->CheckService();
}

// Guards against a list that never ends because the store begins it again: the
// objects that it returns are to be used.
BOOST_FIXTURE_TEST_CASE(ListThatTheStoreBeginsAgainEnds, FleetFixture)
{
  constexpr std::size_t kPageSize = 4;
  this->store.SetPageSize(kPageSize);
  this->store.SetUnknownCursor(UnknownCursor::AllIgnored);
  this->Start();
  this->CheckService(kPageSize);
  // Each daemon lists four kinds once, and pings every half second. A page is
  // requested again at most eight times.
  const auto lists = this->ListCount();
  BOOST_TEST(lists < 200U);
  this->CheckLogs(R"("event":"list_incomplete","kind":"servers")");
}

// Guards against an entry without a name that ends the list at the end of a
// page: the servers of the next pages got no work.
BOOST_FIXTURE_TEST_CASE(EntriesWithoutANameDoNotEndTheList, FleetFixture)
{
  this->store.SetPageSize(2);
  // Each stands directly after a server and so ends a page of two.
  const std::array<boost::json::value, kServers> values = {
    boost::json::object{ { "note", "no metadata" } },
    boost::json::object{ { "Metadata", 7 }, { "Spec", OddSpec() } },
    boost::json::object{ { "Metadata", boost::json::object() } },
    boost::json::object{
      { "Metadata", boost::json::object{ { "Name", 7 }, { "Revision", 3 } } } },
    boost::json::object{
      { "Metadata", boost::json::object{ { "Name", "" } } } },
    "a text",
    7,
    nullptr,
    boost::json::array{ 1, 2 },
    boost::json::object()
  };
  for (std::size_t index = 0; index < kServers; ++index) {
    this->store.PutForeign("servers", ServerName(index) + "x", values[index]);
  }
  this->Start();
  this->CheckService();
  this->CheckLogsLack("list_incomplete");
}

// Guards against taking a store that refuses one kind for one that is away, and
// against a log that doesn't name the request.
BOOST_FIXTURE_TEST_CASE(RefusedKindIsNoOutage, FleetFixture)
{
  this->store.SetRefusedKind("rollouts");
  this->Start();
  this->CheckService();
  std::this_thread::sleep_for(2s);
  this->CheckLogsLack("store_lost");
  this->CheckLogs(R"("event":"store_request_refused","kind":"rollouts",)"
                  R"("target":"/objects/rollouts?AllowStale=1","status":400)");
}

// The same for the kind that shows whether the store answers.
BOOST_FIXTURE_TEST_CASE(RefusedPingIsNoOutage, FleetFixture)
{
  this->store.SetRefusedKind("evacuations");
  this->Start();
  this->CheckService();
  std::this_thread::sleep_for(2s);
  this->CheckLogsLack("store_lost");
  this->CheckLogs(R"("event":"store_request_refused","kind":"evacuations")");
}

// Guards against a request line that is longer than a store reads, and against
// a line of the log that is dropped because it is too long.
BOOST_FIXTURE_TEST_CASE(LongNamesDoNotStopTheService, FleetFixture)
{
  this->store.SetPageSize(2);
  for (std::size_t index = 0; index < kServers; ++index) {
    this->store.Put(
      "servers", ServerName(index) + std::string(100'000, 'x'), OddSpec());
  }
  this->Start();
  this->CheckService();
  this->CheckLogs(R"("event":"instance_unreadable","instance":"i-0xxx)");
}

// Guards against a server that gets no work because its name has characters
// that mean something in a target.
BOOST_FIXTURE_TEST_CASE(ServersWithOddNamesGetWork, FleetFixture)
{
  this->store.SetPageSize(2);
  const std::vector<std::string> names = { "a b", "a&b", "a+b",  "a#b",
                                           "a%b", "a/b", "a\"b", "a\xc3\xa9" };
  for (const std::string& name : names) {
    this->AddServer(name);
  }
  this->Start();
  this->CheckService(kServers + names.size());
}

// Guards against a name with line breaks that adds fields to the requests at a
// server.
BOOST_FIXTURE_TEST_CASE(NamesAddNoFieldsToRequests, FleetFixture)
{
  this->AddServer("a\r\nX-Smuggled: 1");
  this->AddServer("a\n");
  this->AddServer(" a");
  this->AddServer("a ");
  this->Start();
  this->CheckService();
  BOOST_TEST(!this->hasSmuggledField);
  this->CheckLogs(
    R"("event":"instance_unreadable","instance":"a\u000d\u000aX-Smuggled)");
}

// Guards against a name that is longer than any field and ends the daemons.
BOOST_FIXTURE_TEST_CASE(NameLongerThanAFieldEndsNoDaemon, FleetFixture)
{
  this->AddServer(std::string(70'000, 'a'));
  this->Start();
  this->CheckService();
  this->CheckLogs(R"("event":"instance_unreadable","instance":"aaaa)");
}
