/**
 * Sends HTTP calls at a fixed rate over keep-alive connections to entry daemons
 * or directly to a server stand-in and prints one JSON object with latency
 * percentiles and counts of the answers by status, outcome and error kind.
 * Latency is measured from the time at which a call was due, so that it
 * includes the wait behind slow answers (no coordinated omission). It excludes
 * the time that it takes to obtain tickets.
 */

#include "bench/LoadConnection.h"
#include "configuration/Endpoint.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <sstream>
#include <string_view>

DEFINE_string(targets, "", "addresses to call, IP:PORT,..., loopback only");
DEFINE_string(
  calls,
  "GET:/",
  "calls chosen uniformly at random, METHOD:PATH[:ticket],...; with "
  "ticket each call carries one that was obtained in advance");
DEFINE_double(rate, 100, "calls a second over all connections, at most 50000");
DEFINE_uint32(connections, 8, "connections to all targets, at most 1000");
DEFINE_double(seconds, 5, "seconds during which calls are sent, at most 120");
DEFINE_double(warmup_seconds, 0, "seconds at the start that are not measured");
DEFINE_uint32(body_bytes, 0, "size of the request body, at most 1000000");
DEFINE_uint32(deadline_ms, 2000, "Deadline-Ms of each call");
DEFINE_uint64(seed, 1, "seed of the random choices");
DEFINE_string(id_prefix, "load", "prefix of each Request-Id");

namespace {

using namespace fireflytrail;
using bench::LoadConnection;
using Clock = std::chrono::steady_clock;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr double kMaxRate = 50'000;
constexpr unsigned kMaxConnections = 1000;
constexpr double kMaxSeconds = 120;
constexpr unsigned kMaxBodyBytes = 1'000'000;
// Time beyond the deadline of a call after which its connection times out.
constexpr std::chrono::milliseconds kAnswerMargin{ 3000 };

struct Call
{
  http::verb method = http::verb::get;
  std::string path;
  bool needsTicket = false;
};

std::vector<std::string>
Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, aSeparator);) {
    parts.push_back(part);
  }
  return parts;
}

/** Sends the calls and records the results. Not thread-safe. */
class LoadGenerator
{
public:
  LoadGenerator(boost::asio::io_context& aContext,
                const std::vector<boost::asio::ip::tcp::endpoint>& aTargets,
                std::vector<Call> aCalls)
    : timer(aContext)
    , calls(std::move(aCalls))
    , random(FLAGS_seed)
    , body(FLAGS_body_bytes, 'x')
  {
    const auto timeout =
      std::chrono::milliseconds(FLAGS_deadline_ms) + kAnswerMargin;
    for (unsigned index = 0; index < FLAGS_connections; ++index) {
      this->connections.push_back(std::make_shared<LoadConnection>(
        aContext, aTargets[index % aTargets.size()], timeout));
      this->idleConnections.push_back(this->connections.back().get());
    }
  }

  void Start()
  {
    this->startTime = Clock::now();
    this->EnqueueDueCalls();
  }

  /** Returns the results as JSON. Call after the context's run() returned. */
  json::object Report()
  {
    std::ranges::sort(this->latencies);
    const auto quantile = [this](double aQuantile) {
      if (this->latencies.empty()) {
        return 0.0;
      }
      const auto rank = static_cast<std::size_t>(
        aQuantile * static_cast<double>(this->latencies.size()));
      return std::chrono::duration<double, std::milli>(
               this->latencies[std::min(rank, this->latencies.size() - 1)])
        .count();
    };
    const auto counts = [](const std::map<std::string, unsigned>& aCounts) {
      json::object object;
      for (const auto& [name, count] : aCounts) {
        object[name] = count;
      }
      return object;
    };
    unsigned connectionsOpened = 0;
    for (const auto& connection : this->connections) {
      connectionsOpened += connection->ConnectionsOpened();
    }
    const double measured = FLAGS_seconds - FLAGS_warmup_seconds;
    return { { "seed", FLAGS_seed },
             { "rate", FLAGS_rate },
             { "seconds", FLAGS_seconds },
             { "sent", this->sent },
             { "measured", this->latencies.size() },
             { "answers_per_second",
               static_cast<double>(this->latencies.size()) / measured },
             { "connects", connectionsOpened },
             { "statuses", counts(this->statuses) },
             { "outcomes", counts(this->outcomes) },
             { "error_kinds", counts(this->errorKinds) },
             { "not_answered", this->notAnswered },
             { "answers_of_other_requests", this->mismatched },
             { "latency_ms",
               { { "p50", quantile(0.5) },
                 { "p90", quantile(0.9) },
                 { "p99", quantile(0.99) },
                 { "p999", quantile(0.999) },
                 { "max", quantile(1) } } } };
  }

private:
  void EnqueueDueCalls()
  {
    const auto total = static_cast<std::uint64_t>(FLAGS_seconds * FLAGS_rate);
    const auto now = Clock::now();
    for (; this->scheduledCalls < total &&
           this->DueTime(this->scheduledCalls) <= now;
         ++this->scheduledCalls) {
      this->dueTimes.push_back(this->DueTime(this->scheduledCalls));
    }
    this->Dispatch();
    if (this->scheduledCalls == total) {
      return;
    }
    this->timer.expires_at(this->DueTime(this->scheduledCalls));
    this->timer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        this->EnqueueDueCalls();
      }
    });
  }

  Clock::time_point DueTime(std::uint64_t aNumber) const
  {
    return this->startTime +
           std::chrono::ceil<Clock::duration>(std::chrono::duration<double>(
             static_cast<double>(aNumber) / FLAGS_rate));
  }

  void Dispatch()
  {
    while (!this->dueTimes.empty() && !this->idleConnections.empty()) {
      LoadConnection* connection = this->idleConnections.front();
      this->idleConnections.pop_front();
      const auto dueAt = this->dueTimes.front();
      this->dueTimes.pop_front();
      this->StartCall(*connection, this->random() % this->calls.size(), dueAt);
    }
  }

  void StartCall(LoadConnection& aConnection,
                 std::size_t aCall,
                 Clock::time_point aDueAt)
  {
    if (!this->calls[aCall].needsTicket || !aConnection.tickets.empty()) {
      this->Send(aConnection, aCall, aDueAt);
      return;
    }
    LoadConnection::Request request(http::verb::post, "/tickets?count=64", 11);
    request.set(http::field::host, "load");
    aConnection.Run(
      std::move(request),
      [this, &aConnection, aCall, aDueAt](
        const std::optional<LoadConnection::Response>& aResponse) {
        if (aResponse && aResponse->result() == http::status::ok) {
          aConnection.tickets = Split(aResponse->body(), '\n');
        }
        // Real callers obtain tickets in advance, so the latency excludes the
        // time that this takes.
        this->Send(aConnection, aCall, std::max(aDueAt, Clock::now()));
      });
  }

  void Send(LoadConnection& aConnection,
            std::size_t aCall,
            Clock::time_point aDueAt)
  {
    const Call& call = this->calls[aCall];
    LoadConnection::Request request(call.method, call.path, 11);
    std::string id = fmt::format("{}-{}", FLAGS_id_prefix, this->sent++);
    request.set(http::field::host, "load");
    request.set("Request-Id", id);
    request.set("Deadline-Ms", std::to_string(FLAGS_deadline_ms));
    if (call.needsTicket && !aConnection.tickets.empty()) {
      request.set("Ticket", aConnection.tickets.back());
      aConnection.tickets.pop_back();
    }
    if (call.method != http::verb::get) {
      request.body() = this->body;
    }
    aConnection.Run(
      std::move(request),
      [this, &aConnection, aDueAt, id = std::move(id)](
        const std::optional<LoadConnection::Response>& aResponse) {
        this->RecordAnswer(aResponse, id, aDueAt);
        this->idleConnections.push_back(&aConnection);
        this->Dispatch();
      });
  }

  void RecordAnswer(const std::optional<LoadConnection::Response>& aResponse,
                    const std::string& aId,
                    Clock::time_point aDueAt)
  {
    if (std::chrono::duration<double>(aDueAt - this->startTime).count() <
        FLAGS_warmup_seconds) {
      return;
    }
    if (!aResponse) {
      ++this->notAnswered;
      return;
    }
    this->latencies.push_back(Clock::now() - aDueAt);
    ++this->statuses[std::to_string(aResponse->result_int())];
    const std::string outcome((*aResponse)["Call-Outcome"]);
    ++this->outcomes[outcome.empty() ? "none" : outcome];
    if (const std::string kind((*aResponse)["Error-Kind"]); !kind.empty()) {
      ++this->errorKinds[kind];
    }
    const auto answeredId = (*aResponse)["Request-Id"];
    if (aResponse->result() == http::status::ok && answeredId != aId) {
      ++this->mismatched;
    }
  }

  boost::asio::steady_timer timer;
  std::vector<Call> calls;
  std::mt19937_64 random;
  std::string body;
  std::vector<std::shared_ptr<LoadConnection>> connections;
  std::deque<LoadConnection*> idleConnections;
  std::deque<Clock::time_point> dueTimes;
  Clock::time_point startTime;
  std::uint64_t scheduledCalls = 0;
  std::uint64_t sent = 0;
  std::vector<Clock::duration> latencies;
  std::map<std::string, unsigned> statuses;
  std::map<std::string, unsigned> outcomes;
  std::map<std::string, unsigned> errorKinds;
  unsigned notAnswered = 0;
  unsigned mismatched = 0;
};

int
Fail(std::string_view aMessage)
{
  fmt::print(stderr, "bench_load: {}\n", aMessage);
  return 2;
}

} // namespace

int
main(int aCount, char** aValues)
{
  gflags::SetUsageMessage("sends calls at a fixed rate to loopback addresses");
  gflags::ParseCommandLineFlags(&aCount, &aValues, true);
  if (FLAGS_rate <= 0 || FLAGS_rate > kMaxRate || FLAGS_connections == 0 ||
      FLAGS_connections > kMaxConnections || FLAGS_seconds <= 0 ||
      FLAGS_seconds > kMaxSeconds || FLAGS_body_bytes > kMaxBodyBytes ||
      FLAGS_warmup_seconds < 0 || FLAGS_warmup_seconds >= FLAGS_seconds) {
    return Fail("the value of a flag is out of range; see --help");
  }
  std::vector<boost::asio::ip::tcp::endpoint> targets;
  for (const std::string& text : Split(FLAGS_targets, ',')) {
    const auto target = configuration::Endpoint::Parse(text);
    if (!target) {
      return Fail("invalid target, expected IP:PORT: " + text);
    }
    const auto address = boost::asio::ip::make_address(target->address);
    if (!address.is_loopback()) {
      return Fail("target is not a loopback address: " + text);
    }
    targets.emplace_back(address, target->port);
  }
  std::vector<Call> calls;
  for (const std::string& text : Split(FLAGS_calls, ',')) {
    const auto parts = Split(text, ':');
    const auto method =
      parts.size() < 2 ? http::verb::unknown : http::string_to_verb(parts[0]);
    const bool needsTicket = parts.size() == 3 && parts[2] == "ticket";
    if (method == http::verb::unknown || parts.size() > 3 ||
        (parts.size() == 3 && !needsTicket)) {
      return Fail("invalid call, expected METHOD:PATH[:ticket]: " + text);
    }
    calls.push_back({ method, parts[1], needsTicket });
  }
  if (targets.empty() || calls.empty()) {
    return Fail("--targets and --calls must not be empty");
  }
  boost::asio::io_context context(1);
  LoadGenerator loadGenerator(context, targets, std::move(calls));
  loadGenerator.Start();
  context.run();
  fmt::print("{}\n", json::serialize(loadGenerator.Report()));
  return 0;
}
