#include "tests/DaemonFleet.h"

#include "configuration/DaemonSettings.h"
#include "configuration/DesiredState.h"
#include "store/BlockingStore.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <future>
#include <utility>

namespace fireflytrail::tests {

namespace http = boost::beast::http;
namespace json = boost::json;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto kAwaitTimeout = 20s;

tcp::endpoint
EphemeralEndpoint()
{
  return { boost::asio::ip::address_v4::loopback(), 0 };
}

configuration::Endpoint
ParseEndpoint(const std::string& aAddress)
{
  return configuration::Endpoint::Parse(aAddress).value();
}

tcp::endpoint
ToTcpEndpoint(const std::string& aAddress)
{
  const auto endpoint = ParseEndpoint(aAddress);
  return { boost::asio::ip::make_address(endpoint.address), endpoint.port };
}

http::request<http::string_body>
MakeRequest(std::string_view aMethod,
            std::string_view aTarget,
            const std::map<std::string, std::string>& aHeaders,
            const std::string& aBody)
{
  http::request<http::string_body> request(
    http::string_to_verb(aMethod), aTarget, 11);
  for (const auto& [name, value] : aHeaders) {
    request.set(name, value);
  }
  request.set(http::field::host, "localhost");
  request.set(http::field::connection, "close");
  request.body() = aBody;
  request.prepare_payload();
  return request;
}

CallerAnswer
SendRequest(const tcp::endpoint& aEndpoint,
            const http::request<http::string_body>& aRequest)
{
  boost::asio::io_context context;
  tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(aEndpoint, error);
  CallerAnswer answer;
  if (error) {
    return answer;
  }
  http::write(socket, aRequest, error);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::read(socket, buffer, response, error);
  if (error) {
    return answer;
  }
  answer.status = response.result_int();
  for (const auto& field : response) {
    answer.headers[std::string(field.name_string())] =
      std::string(field.value());
  }
  answer.body = response.body();
  return answer;
}

} // namespace

DaemonFleet::DaemonFleet(std::string aText, std::size_t aDaemons)
  : log(core::LogLevel::Error)
  , platform(this->context, EphemeralEndpoint())
  , servers(this->context, EphemeralEndpoint(), 1)
  , standinThread([this] { this->context.run(); })
{
  this->UpdateDesiredState([&](configuration::DesiredState& aState) {
    aState = aState.WithText(aText).value();
  });
  for (std::size_t index = 0; index < aDaemons; ++index) {
    this->StartDaemon();
  }
}

DaemonFleet::~DaemonFleet()
{
  for (std::size_t index = 0; index < this->daemons.size(); ++index) {
    this->RequestStop(index);
  }
  for (std::size_t index = 0; index < this->daemons.size(); ++index) {
    this->AwaitStop(index);
  }
  this->context.stop();
  this->standinThread.join();
}

void
DaemonFleet::RunOnStandinThread(const std::function<void()>& aFunction)
{
  std::promise<void> done;
  boost::asio::post(this->context, [&] {
    aFunction();
    done.set_value();
  });
  done.get_future().wait();
}

void
DaemonFleet::AddServers(const json::object& aSettings)
{
  json::object control = aSettings;
  control["action"] = "add";
  const json::object added = this->ControlServers(control);
  this->ControlPlatform({ { "add_hosts", added.at("hosts") } });
}

json::object
DaemonFleet::ControlServers(const json::object& aControl)
{
  json::object answer;
  this->RunOnStandinThread([&] { answer = this->servers.Control(aControl); });
  return answer;
}

void
DaemonFleet::ControlPlatform(const json::object& aControl)
{
  this->RunOnStandinThread([&] {
    const std::string error = this->platform.Control(aControl);
    BOOST_REQUIRE_MESSAGE(error.empty(), error);
  });
}

std::size_t
DaemonFleet::StartDaemon()
{
  const std::size_t index = this->daemons.size();
  configuration::DaemonSettings settings;
  settings.name = fmt::format("entry-{}", index);
  settings.region = "north";
  settings.failureDomain = "north-a";
  settings.store = ParseEndpoint(this->platform.Address());
  settings.listen = { "127.0.0.1", 0 };
  settings.peerListen = { "127.0.0.1", 0 };
  settings.operatorListen = { "127.0.0.1", 0 };
  settings.trafficThreads = 2;
  if (!this->daemons.empty()) {
    const auto peer = this->daemons[0].controller->PeerEndpoint();
    settings.peers["entry-0"] = { "127.0.0.1", peer.port() };
  }
  RunningDaemon running;
  running.controller =
    std::make_unique<daemon::Controller>(settings, this->log);
  BOOST_REQUIRE(running.controller->Open());
  const auto toText = [](const tcp::endpoint& aEndpoint) {
    return fmt::format("127.0.0.1:{}", aEndpoint.port());
  };
  const json::object entry{
    { "id", settings.name },
    { "kind", "entry" },
    { "address", toText(running.controller->CallerEndpoint()) },
    { "peer_address", toText(running.controller->PeerEndpoint()) },
    { "operator_address",
      toText(running.controller->OperatorEndpointAddress()) },
    { "domain", settings.failureDomain },
    { "region", settings.region },
    { "state", "live" }
  };
  this->ControlPlatform({ { "add_hosts", json::array{ entry } } });
  running.thread =
    std::thread([controller = running.controller.get()] { controller->Run(); });
  this->daemons.push_back(std::move(running));
  return index;
}

void
DaemonFleet::RequestStop(std::size_t aDaemon)
{
  this->daemons[aDaemon].controller->RequestStop();
}

void
DaemonFleet::AwaitStop(std::size_t aDaemon)
{
  RunningDaemon& running = this->daemons[aDaemon];
  if (!running.isJoined) {
    running.thread.join();
    running.isJoined = true;
  }
}

CallerAnswer
DaemonFleet::Call(std::size_t aDaemon,
                  std::string_view aMethod,
                  std::string_view aTarget,
                  const std::map<std::string, std::string>& aHeaders,
                  const std::string& aBody) const
{
  return SendRequest(this->daemons[aDaemon].controller->CallerEndpoint(),
                     MakeRequest(aMethod, aTarget, aHeaders, aBody));
}

void
DaemonFleet::CallAndDisconnect(
  std::size_t aDaemon,
  std::string_view aMethod,
  std::string_view aTarget,
  const std::map<std::string, std::string>& aHeaders,
  const std::string& aBody,
  std::chrono::milliseconds aTime) const
{
  boost::asio::io_context clientContext;
  tcp::socket socket(clientContext);
  socket.connect(this->daemons[aDaemon].controller->CallerEndpoint());
  http::write(socket, MakeRequest(aMethod, aTarget, aHeaders, aBody));
  std::this_thread::sleep_for(aTime);
}

std::string
DaemonFleet::RequestTicket(std::size_t aDaemon) const
{
  const std::string lines = this->Call(aDaemon, "POST", "/tickets").body;
  return lines.substr(0, lines.find('\n'));
}

json::object
DaemonFleet::OperatorPage(std::size_t aDaemon, std::string_view aTarget) const
{
  http::request<http::string_body> request(http::verb::get, aTarget, 11);
  const CallerAnswer answer = SendRequest(
    this->daemons[aDaemon].controller->OperatorEndpointAddress(), request);
  return json::parse(answer.body).as_object();
}

unsigned
DaemonFleet::RunCountOf(const std::string& aRequestId)
{
  unsigned runs = 0;
  this->RunOnStandinThread(
    [&] { runs = this->servers.RunCountOf(aRequestId); });
  return runs;
}

bool
DaemonFleet::Await(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kAwaitTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

bool
DaemonFleet::AwaitReady()
{
  const auto isReady = [this](std::size_t aDaemon) {
    if (this->Call(aDaemon, "GET", "/healthz").status != 200) {
      return false;
    }
    std::size_t alive = 0;
    const json::object page = this->OperatorPage(aDaemon, "/status");
    for (const auto& host : page.at("hosts").as_array()) {
      alive += host.at("state").as_string() == "alive" ? 1 : 0;
    }
    return alive == this->daemons.size();
  };
  for (std::size_t index = 0; index < this->daemons.size(); ++index) {
    if (!Await([&] { return isReady(index); })) {
      return false;
    }
  }
  return true;
}

void
DaemonFleet::UpdateDesiredState(
  const std::function<void(configuration::DesiredState&)>& aChange)
{
  store::BlockingStore store(ToTcpEndpoint(this->platform.Address()));
  const std::string key(configuration::DesiredState::kKey);
  const store::StoreResult current = store.Read(key);
  configuration::DesiredState state;
  if (current.status == store::StoreStatus::Ok) {
    state = configuration::DesiredState::Parse(current.object.body).value();
  }
  aChange(state);
  const store::StoreResult written =
    store.Write(key, state.Serialize(), current.object.version);
  BOOST_REQUIRE((written.status == store::StoreStatus::Ok));
}

} // namespace fireflytrail::tests
