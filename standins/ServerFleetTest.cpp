#include "standins/ServerFleet.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace fireflytrail::standins;
namespace http = boost::beast::http;
namespace json = boost::json;
using boost::asio::ip::tcp;

namespace {

/** HTTP client with one blocking keep-alive connection. */
class Client
{
public:
  explicit Client(const std::string& aAddress)
    : socket(this->context)
  {
    const auto colon = aAddress.rfind(':');
    boost::system::error_code error;
    this->socket.connect(
      { boost::asio::ip::make_address(aAddress.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))) },
      error);
    this->isOpen = !error;
  }

  bool IsOpen() const { return this->isOpen; }

  void Send(
    http::verb aMethod,
    const std::string& aTarget,
    const std::string& aBody = {},
    const std::vector<std::pair<std::string, std::string>>& aFields = {})
  {
    HttpRequest request(aMethod, aTarget, 11);
    for (const auto& [name, value] : aFields) {
      request.set(name, value);
    }
    request.body() = aBody;
    request.prepare_payload();
    boost::system::error_code error;
    http::write(this->socket, request, error);
  }

  /** Returns the answer, or nothing if the connection closes before its end. */
  std::optional<HttpResponse> Receive()
  {
    HttpResponse response;
    boost::system::error_code error;
    http::read(this->socket, this->buffer, response, error);
    return error ? std::nullopt : std::optional(response);
  }

  std::optional<HttpResponse> Call(
    const std::string& aTarget,
    const std::vector<std::pair<std::string, std::string>>& aFields = {},
    const std::string& aBody = {})
  {
    this->Send(http::verb::post, aTarget, aBody, aFields);
    return this->Receive();
  }

private:
  boost::asio::io_context context;
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  bool isOpen = false;
};

/** Runs a fleet with one instance on a separate thread. */
class FleetFixture
{
public:
  FleetFixture()
    : fleet(this->context, { boost::asio::ip::address_v4::loopback(), 0 }, 1)
    , thread([this]() { this->context.run(); })
  {
    this->address = this->Add({ { "service", "till" }, { "version", "1" } });
  }

  ~FleetFixture()
  {
    this->context.stop();
    this->thread.join();
  }

  json::value Control(const json::object& aControl)
  {
    Client client(this->fleet.ControlAddress());
    const auto answer = client.Call("/control", {}, json::serialize(aControl));
    BOOST_REQUIRE(answer.has_value());
    BOOST_REQUIRE_MESSAGE(answer->result_int() == 200, answer->body());
    return json::parse(answer->body());
  }

  std::string Add(json::object aSettings)
  {
    aSettings["action"] = "add";
    return std::string(
      this->Control(aSettings).at("hosts").at(0).at("address").as_string());
  }

  json::object Instance(std::size_t aIndex = 0)
  {
    Client client(this->fleet.ControlAddress());
    client.Send(http::verb::get, "/control/instances");
    return json::parse(client.Receive()->body()).at(aIndex).as_object();
  }

  json::object RunCounts()
  {
    Client client(this->fleet.ControlAddress());
    client.Send(http::verb::get, "/control/record");
    return json::parse(client.Receive()->body()).as_object();
  }

  boost::asio::io_context context{ 1 };
  ServerFleet fleet;
  std::string address;
  std::thread thread;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerFleetTest, FleetFixture)

// Guards against wrong run counts, and against answers that do not identify
// their request.
BOOST_AUTO_TEST_CASE(AnswersAndRecordsCalls)
{
  Client client(this->address);
  for (const std::string id : { "a", "b", "b" }) {
    const auto answer = client.Call("/sell", { { "Request-Id", id } }, id);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->result_int() == 200U);
    BOOST_TEST((*answer)["Request-Id"] == id);
    BOOST_TEST(json::parse(answer->body()).at("echo").as_string() == id);
    BOOST_TEST((*answer)["Server-Load"].starts_with("in_flight=0, slots=4, "));
    BOOST_TEST((*answer)["Server-Load"].ends_with(", state=ready"));
  }
  BOOST_TEST(json::serialize(this->RunCounts()) == R"({"a":1,"b":2})");
}

// Guards against running a call that is refused; every test of "not run"
// depends on this.
BOOST_AUTO_TEST_CASE(DrainingAndSheddingServersRefuseAsNotRun)
{
  Client client(this->address);
  const auto isRefused = [&]() {
    const auto answer = client.Call("/sell", { { "Request-Id", "a" } });
    return answer && answer->result_int() == 503 &&
           (*answer)["Call-Outcome"] == "not-run";
  };
  this->Control({ { "action", "shed" }, { "enabled", true } });
  BOOST_TEST(isRefused());
  this->Control({ { "action", "shed" }, { "enabled", false } });
  this->Control({ { "action", "drain" } });
  BOOST_TEST(isRefused());
  BOOST_TEST(this->RunCounts().empty());
  this->Control({ { "action", "restart" } });
  BOOST_TEST(!client.Call("/sell"));
  BOOST_TEST(Client(this->address).Call("/sell")->result_int() == 200U);
}

// Guards against a crashed server that still answers or accepts connections.
BOOST_AUTO_TEST_CASE(CrashMarkerStopsInstanceUntilRestart)
{
  this->Control({ { "action", "crash_marker" }, { "marker", "BOOM" } });
  Client other(this->address);
  BOOST_TEST(other.Call("/sell").has_value());
  Client client(this->address);
  BOOST_TEST(!client.Call("/sell", { { "Request-Id", "a" } }, "xBOOMx"));
  BOOST_TEST(!other.Call("/sell"));
  BOOST_TEST(!Client(this->address).IsOpen());
  BOOST_TEST(this->Instance().at("state").as_string() == "down");
  BOOST_TEST(json::serialize(this->RunCounts()) == R"({"a":1})");
  this->Control({ { "action", "restart" } });
  BOOST_TEST(Client(this->address).Call("/sell").has_value());
}

// Guards against a cold server that withstands any load, which would hide that
// a daemon has no warm-up ramp, and against one that does not restart.
BOOST_AUTO_TEST_CASE(ColdServerFallsOverAboveOneCall)
{
  this->Control({ { "action", "set" },
                  { "service_time_us", 200'000 },
                  { "fall_over_ms", 1 },
                  { "warm_time_ms", 600'000 } });
  this->Control({ { "action", "restart" }, { "cold", true } });
  Client first(this->address);
  const auto alone = first.Call("/sell");
  BOOST_REQUIRE(alone.has_value());
  BOOST_TEST((*alone)["Server-Load"].ends_with(", state=cold"));
  Client second(this->address);
  first.Send(http::verb::post, "/sell");
  second.Send(http::verb::post, "/sell");
  BOOST_TEST(!first.Receive());
  BOOST_TEST(!second.Receive());
  BOOST_TEST(this->Instance().at("fall_overs").as_int64() == 1);
  // The instance restarts by itself. Until then each attempt ends quickly, with
  // a refused connection.
  std::optional<HttpResponse> answer;
  while (!answer) {
    Client later(this->address);
    answer = later.IsOpen() ? later.Call("/sell") : std::nullopt;
  }
  BOOST_TEST((*answer)["Server-Load"].ends_with(", state=cold"));
}

// Guards against continuing a call after its caller disconnects or its deadline
// expires.
BOOST_AUTO_TEST_CASE(ClosedConnectionAndDeadlineCancelCalls)
{
  this->Control({ { "action", "set" }, { "service_time_us", 600'000'000 } });
  {
    Client closedClient(this->address);
    closedClient.Send(
      http::verb::post, "/sell", {}, { { "Request-Id", "gone" } });
    while (this->RunCounts().empty()) {
    }
  }
  // If the call is never cancelled, the time limit of the test program ends
  // this loop.
  while (this->Instance().at("cancelled").as_int64() == 0) {
  }
  Client client(this->address);
  const auto expiredWhileRunning =
    client.Call("/sell", { { "Request-Id", "late" }, { "Deadline-Ms", "20" } });
  BOOST_REQUIRE(expiredWhileRunning.has_value());
  BOOST_TEST(expiredWhileRunning->result_int() == 504U);
  const auto expiredBeforeStart =
    client.Call("/sell", { { "Request-Id", "never" }, { "Deadline-Ms", "0" } });
  BOOST_REQUIRE(expiredBeforeStart.has_value());
  BOOST_TEST((*expiredBeforeStart)["Call-Outcome"] == "not-run");
  BOOST_TEST(json::serialize(this->RunCounts()) == R"({"gone":1,"late":1})");
}

// Guards against faults that affect a version or route that the test did not
// select, that do not affect the selected one, or that outlive their removal.
BOOST_AUTO_TEST_CASE(FaultsAffectOnlySelectedCalls)
{
  const std::string faultyAddress =
    this->Add({ { "service", "till" }, { "version", "2" } });
  this->Control(
    { { "action", "faults" },
      { "faults",
        { { { "version", "2" }, { "route", "/sell" }, { "fail_ratio", 1.0 } },
          { { "version", "2" },
            { "route", "/cut" },
            { "truncate_ratio", 1.0 } } } } });
  Client good(this->address);
  BOOST_TEST(good.Call("/sell")->result_int() == 200U);
  Client faulty(faultyAddress);
  BOOST_TEST(faulty.Call("/sell")->result_int() == 500U);
  BOOST_TEST(faulty.Call("/list")->result_int() == 200U);
  BOOST_TEST(!faulty.Call("/cut"));
  this->Control({ { "action", "faults" }, { "faults", json::array{} } });
  BOOST_TEST(Client(faultyAddress).Call("/sell")->result_int() == 200U);
}

// Guards against probes and connections that occupy no slot time, which would
// hide their cost in the results of runs that check the measuring budget.
BOOST_AUTO_TEST_CASE(ProbesAndConnectionsTakeSlotTime)
{
  Client client(this->address);
  client.Send(http::verb::get, "/load");
  const auto answer = client.Receive();
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(json::parse(answer->body()).at("slots").as_int64() == 4);
  const auto instance = this->Instance();
  BOOST_TEST(instance.at("probes").as_int64() == 1);
  BOOST_TEST(instance.at("probe_time_us").as_int64() == 6000);
  BOOST_TEST(instance.at("connects").as_int64() == 1);
  BOOST_TEST(instance.at("connect_time_us").as_int64() == 1000);
}

// Guards against silently ignoring a mistyped control object, which would leave
// a test without the fault it needs.
BOOST_AUTO_TEST_CASE(InvalidControlObjectIsRejected)
{
  for (const std::string control : { "",
                                     "[]",
                                     R"({"action":"explode"})",
                                     R"({"action":"set","slots":0})",
                                     R"({"action":"shed"})",
                                     R"({"action":"faults","faults":[1]})" }) {
    Client client(this->fleet.ControlAddress());
    BOOST_TEST(client.Call("/control", {}, control)->result_int() == 400U,
               control);
  }
  BOOST_TEST(this->Instance().at("state").as_string() == "ready");
}

BOOST_AUTO_TEST_SUITE_END()
