#include "proxy/RequestRunner.h"

#include "core/ErrorTable.h"
#include "gateway/ServerPool.h"
#include "proxy/ProxyShared.h"
#include "routing/ServiceDirectory.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <set>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::proxy;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using core::ErrorKind;

namespace {

/** A daemon's shared objects, with one server that gives one answer. */
struct RunnerFixture
{
  RunnerFixture()
    : acceptor(this->context, { boost::asio::ip::address_v4::loopback(), 0 })
  {
    this->instance.id = "i";
    this->instance.service = "s";
    this->instance.address = "127.0.0.1:1";
    this->instance.slots = 4;
    this->AddInstance("i");
    this->route.name = "r";
    this->route.timeout = 300ms;
    this->route.latencyGoal = 100ms;
    this->route.services = { { "s", 1 } };
    this->Accept();
  }

  /** Lists a further instance, which is reached at the same address. */
  void AddInstance(const std::string& aId)
  {
    routing::BackendInstance added = this->instance;
    added.id = aId;
    this->directory.Put(added);
    configuration::RouteConfiguration routes;
    routes.services["s"].name = "s";
    this->broker.Update(routes, this->directory);
  }

  SlotBrokerHooks MakeHooks()
  {
    return { .now = std::chrono::steady_clock::now,
             .random = [this] { return ++this->numbers; },
             .peers = [] { return std::vector<std::string>(); },
             .mayDispatch = [] { return true; },
             .hostCount = [] { return std::size_t{ 1 }; },
             .send = [](const std::string&, const wire::WireMessage&) {},
             .isUsable = [](const routing::BackendInstance&) { return true; },
             .guard = this->guard,
             .measure =
               [](const routing::BackendInstance&,
                  const std::function<void(
                    const std::optional<routing::Measurement>&)>& aOnMeasured) {
                 aOnMeasured(std::nullopt);
               },
             .onRequestEnded = [](const routing::EndedRequest&) {},
             .onPeerAvailabilityChange = [](const std::string&, bool) {} };
  }

  void Accept()
  {
    this->acceptor.async_accept(
      [this](boost::system::error_code aError, tcp::socket aSocket) {
        if (aError) {
          return;
        }
        const auto socket = std::make_shared<tcp::socket>(std::move(aSocket));
        this->sockets.push_back(socket);
        const auto text = std::make_shared<std::string>();
        boost::asio::async_read_until(
          *socket,
          boost::asio::dynamic_buffer(*text),
          "\r\n\r\n",
          [this, socket, text](boost::system::error_code aReadError,
                               std::size_t) {
            if (!aReadError) {
              this->received.push_back(*text);
              boost::system::error_code ignored;
              boost::asio::write(
                *socket, boost::asio::buffer(this->reply), ignored);
              if (this->closes) {
                socket->close(ignored);
              }
            }
          });
        this->Accept();
      });
  }

  /** Runs a request to its end; returns the kind of its answer. */
  ErrorKind RunRequest(const std::string& aOrganisation)
  {
    gateway::CallRequest call;
    call.host = "h";
    call.target = "/x";
    call.organisation = aOrganisation;
    this->shared.poolOf = [this](const routing::BackendInstance&) {
      return std::make_shared<gateway::ServerPool>(
        this->context,
        this->endpoint.value_or(this->acceptor.local_endpoint()),
        1,
        "i",
        gateway::ServerDialect::Native(),
        nullptr);
    };
    std::optional<ErrorKind> kind;
    const auto runner = std::make_shared<RequestRunner>(
      this->shared,
      std::move(call),
      this->route,
      "s",
      1,
      nullptr,
      [&kind](const gateway::CallAnswer& aAnswer) { kind = aAnswer.kind; });
    runner->Begin();
    if (this->afterBegin) {
      this->afterBegin(*runner);
    }
    this->context.restart();
    this->context.run_for(600ms);
    BOOST_REQUIRE(kind.has_value());
    return *kind;
  }

  /** Takes all slots, so that the next request waits. */
  void TakeAllSlots()
  {
    for (int count = 0; count < 4; ++count) {
      routing::DispatchRequest request;
      request.goal = std::chrono::steady_clock::now() + 100ms;
      request.deadline = std::chrono::steady_clock::now() + 20s;
      this->broker.Acquire(
        "s",
        0,
        std::move(request),
        [this](const routing::DispatchResult&, std::optional<Slot> aSlot) {
          if (aSlot) {
            this->takenSlots.push_back(*aSlot);
          }
        });
    }
  }

  boost::asio::io_context context;
  tcp::acceptor acceptor;
  std::vector<std::shared_ptr<tcp::socket>> sockets;
  /** What the server sends for a request, and whether it then closes. */
  std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  bool closes = false;
  /** Requests that the server received. */
  std::vector<std::string> received;
  /** Address of the server, if not that of the acceptor. */
  std::optional<tcp::endpoint> endpoint;
  std::function<void(RequestRunner&)> afterBegin;
  std::vector<Slot> takenSlots;
  /** Organisations whose requests a server began to run. */
  std::vector<std::string> runs;
  ErrorKind keyError = ErrorKind::None;
  /** Whether requests may be sent to a server. */
  bool mayStart = true;
  std::uint64_t numbers = 0;
  core::DaemonId self{ "x", 1 };
  calls::CrashGuard guard{ std::chrono::steady_clock::now };
  calls::TicketLedger ledger{ this->self, 1, std::chrono::steady_clock::now };
  core::Log log{ core::LogLevel::Error, [](std::string_view) {} };
  daemon::Metrics metrics;
  daemon::CallMetrics callMetrics{ this->metrics };
  daemon::OrganisationMetrics organisationMetrics{ this->metrics };
  routing::TransferSizes transferSizes;
  calls::RetryBudget budget{
    std::chrono::steady_clock::now,
    calls::RetryBudget::Allowance::OfFleet(0.2, 64, 1)
  };
  routing::BackendInstance instance;
  routing::ServiceDirectory directory{ std::chrono::steady_clock::now };
  configuration::HttpRoute route;
  SlotBroker broker{ this->context, this->self, this->MakeHooks() };
  ProxyShared shared{
    .context = this->context,
    .broker = this->broker,
    .ledger = this->ledger,
    .guard = this->guard,
    .log = this->log,
    .metrics = this->metrics,
    .callMetrics = this->callMetrics,
    .organisationMetrics = this->organisationMetrics,
    .transferSizes = this->transferSizes,
    .now = std::chrono::steady_clock::now,
    .random = [this] { return ++this->numbers; },
    .failureDomain = "a",
    .budgetOf = [this](const std::string&) -> calls::RetryBudget& {
      return this->budget;
    },
    .poolOf = nullptr,
    .identifyCaller =
      [this](gateway::CallRequest&, const configuration::HttpRoute&) {
        return this->keyError;
      },
    .mayStart = [this](const configuration::HttpRoute&,
                       core::TimePoint,
                       core::TimePoint) { return this->mayStart; },
    .onRunBegan =
      [this](const std::string& aOrganisation, core::TimePoint) {
        this->runs.push_back(aOrganisation);
      }
  };
};

const std::vector<std::string> kOneRun{ "one" };
const std::vector<std::string> kNoRun;

} // namespace

// Guards against usage reports that miss requests which ran, or count one
// twice: a request counts when its server answers, also with a failure.
BOOST_FIXTURE_TEST_CASE(AnsweredRequestCountsOnce, RunnerFixture)
{
  BOOST_TEST((this->RunRequest("one") == ErrorKind::None));
  BOOST_TEST(this->runs == kOneRun);
  this->runs.clear();
  this->reply = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
  this->RunRequest("one");
  BOOST_TEST(this->runs == kOneRun);
}

// Guards against not counting requests that a server may run although it gives
// no answer, in time or at all.
BOOST_FIXTURE_TEST_CASE(SentRequestCountsWithoutAnswer, RunnerFixture)
{
  this->reply.clear();
  BOOST_TEST((this->RunRequest("one") == ErrorKind::DeadlineAfterSend));
  BOOST_TEST(this->runs == kOneRun);
  this->runs.clear();
  this->closes = true;
  BOOST_TEST((this->RunRequest("one") == ErrorKind::ConnectionLost));
  BOOST_TEST(this->runs == kOneRun);
}

// Guards against reporting requests that no server has run.
BOOST_FIXTURE_TEST_CASE(RefusedRequestDoesNotCount, RunnerFixture)
{
  this->reply = "HTTP/1.1 503 Busy\r\nCall-Outcome: not-run\r\n"
                "Content-Length: 0\r\n\r\n";
  BOOST_TEST((this->RunRequest("one") == ErrorKind::ServerRefused));
  BOOST_TEST(this->received.size() == 1U);
  BOOST_TEST(this->runs == kNoRun);
  tcp::acceptor closed(this->context,
                       { boost::asio::ip::address_v4::loopback(), 0 });
  this->endpoint = closed.local_endpoint();
  closed.close();
  BOOST_TEST((this->RunRequest("one") == ErrorKind::ConnectFailed));
  BOOST_TEST(this->runs == kNoRun);
}

// Guards against sending a request whose key was withdrawn while it waited.
BOOST_FIXTURE_TEST_CASE(WithdrawnKeyEndsRequestBeforeSending, RunnerFixture)
{
  this->keyError = ErrorKind::UnknownKey;
  BOOST_TEST((this->RunRequest("one") == ErrorKind::UnknownKey));
  BOOST_TEST(this->received.empty());
}

// Guards against a request that keeps its place in the queue after its key was
// withdrawn, and against refusing others.
BOOST_FIXTURE_TEST_CASE(WithdrawnKeyEndsRequestThatWaits, RunnerFixture)
{
  this->TakeAllSlots();
  const std::size_t waitingBefore = this->broker.WaitingCount();
  std::size_t waiting = 0;
  this->afterBegin = [&](RequestRunner& aRunner) {
    waiting = this->broker.WaitingCount();
    aRunner.CheckKey();
    BOOST_TEST(this->broker.WaitingCount() == waiting);
    this->keyError = ErrorKind::UnknownKey;
    aRunner.CheckKey();
    BOOST_TEST(this->broker.WaitingCount() == waitingBefore);
    BOOST_TEST(this->broker.WaitingCount() + 1 == waiting);
  };
  BOOST_TEST((this->RunRequest("one") == ErrorKind::UnknownKey));
  BOOST_TEST(waiting == waitingBefore + 1);
  BOOST_TEST(this->received.empty());
}

// Guards against requests that waited when a stop began, get a server late in
// it and are broken off there.
BOOST_FIXTURE_TEST_CASE(RequestThatWaitsIsRefusedInAStop, RunnerFixture)
{
  this->TakeAllSlots();
  this->afterBegin = [&](RequestRunner& aRunner) {
    const std::size_t waiting = this->broker.WaitingCount();
    aRunner.CheckStart();
    BOOST_TEST(this->broker.WaitingCount() == waiting);
    this->mayStart = false;
    aRunner.CheckStart();
    BOOST_TEST(this->broker.WaitingCount() + 1 == waiting);
  };
  BOOST_TEST((this->RunRequest("one") == ErrorKind::Stopping));
  BOOST_TEST(this->received.empty());
}

// Guards against an attempt that begins late in a stop, after one that a server
// has refused.
BOOST_FIXTURE_TEST_CASE(RetryThatMayOutlastAStopIsNotStarted, RunnerFixture)
{
  this->AddInstance("j");
  this->route.maxAttempts = 2;
  this->reply = "HTTP/1.1 503 Busy\r\nCall-Outcome: not-run\r\n"
                "Content-Length: 0\r\n\r\n";
  this->RunRequest("one");
  BOOST_REQUIRE(this->received.size() == 2U);
  this->afterBegin = [this](RequestRunner& aRunner) {
    this->mayStart = false;
    // The running attempt is not affected.
    aRunner.CheckStart();
  };
  const ErrorKind kind = this->RunRequest("one");
  BOOST_TEST(this->received.size() == 3U);
  BOOST_TEST(
    (core::ErrorTable::RowOf(kind).outcome == core::CallOutcome::NotRun));
}
