#include "standins/ServerInstance.h"

#include "standins/ServerFleet.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cmath>
#include <random>
#include <utility>
#include <vector>

namespace fireflytrail::standins {

namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

enum class JobKind : std::uint8_t
{
  Call,
  Probe,
  Connect,
};

// Multiplier of the service time while the instance is cold.
constexpr double kColdServiceTimeFactor = 3;

std::optional<std::int64_t>
ParseHeaderNumber(const HttpRequest& aRequest, std::string_view aName)
{
  const std::string_view text = aRequest[aName];
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

struct ServerInstance::Job
{
  JobKind kind = JobKind::Call;
  std::shared_ptr<HttpExchange> exchange;
  microseconds duration{ 0 };
  std::optional<Clock::time_point> deadline;
  bool fails = false;
  bool truncates = false;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

ServerInstance::ServerInstance(boost::asio::io_context& aContext,
                               const boost::asio::ip::address& aAddress,
                               InstanceSettings aSettings,
                               ServerFleet& aFleet)
  : context(aContext)
  , settings(std::move(aSettings))
  , fleet(aFleet)
  , fallOverTimer(aContext)
  , server(
      aContext,
      { aAddress, 0 },
      [this](const std::shared_ptr<HttpExchange>& aExchange) {
        this->Handle(aExchange);
      },
      [this]() {
        if (this->server.ConnectionCount() >= this->settings.connections) {
          return false;
        }
        ++this->connectCount;
        auto job = std::make_shared<Job>();
        job->kind = JobKind::Connect;
        job->duration = this->settings.connectCost;
        this->Enqueue(job);
        return true;
      })
{
  assert(this->settings.slots > 0);
  this->Restart(this->settings.startsCold);
}

ServerInstance::~ServerInstance()
{
  this->TakeDown();
}

const InstanceSettings&
ServerInstance::Settings() const
{
  return this->settings;
}

void
ServerInstance::ChangeSettings(InstanceSettings aSettings)
{
  assert(aSettings.slots > 0);
  this->settings = std::move(aSettings);
  this->StartQueuedJobs();
}

json::object
ServerInstance::HostEntry() const
{
  return { { "id", this->settings.id },
           { "kind", "server" },
           { "service", this->settings.service },
           { "version", this->settings.version },
           { "address", this->server.Address() },
           { "domain", this->settings.domain },
           { "region", this->settings.region },
           { "state", "live" } };
}

json::object
ServerInstance::Status() const
{
  return { { "id", this->settings.id },
           { "service", this->settings.service },
           { "version", this->settings.version },
           { "address", this->server.Address() },
           { "state", this->isDown ? "down" : this->StateName() },
           { "in_flight", this->inFlightCalls },
           { "connections", this->server.ConnectionCount() },
           { "runs", this->runCount },
           { "refused", this->refusedCount },
           { "cancelled", this->cancelledCount },
           { "probes", this->probeCount },
           { "probe_time_us", this->probeTime.count() },
           { "connects", this->connectCount },
           { "connect_time_us", this->connectTime.count() },
           { "crashes", this->crashCount },
           { "fall_overs", this->fallOverCount } };
}

void
ServerInstance::Drain()
{
  this->draining = true;
}

void
ServerInstance::Shed(bool aEnabled)
{
  this->shedding = aEnabled;
}

void
ServerInstance::Misreport(std::optional<unsigned> aInFlight)
{
  this->reportedInFlight = aInFlight;
}

void
ServerInstance::Crash()
{
  if (!this->isDown) {
    ++this->crashCount;
    this->TakeDown();
  }
}

void
ServerInstance::TakeDown()
{
  this->isDown = true;
  this->fallOverTimer.cancel();
  for (const JobPointer& job : std::exchange(this->running, {})) {
    job->timer->cancel();
  }
  this->queue.clear();
  this->inFlightCalls = 0;
  this->server.Close();
}

void
ServerInstance::Restart(bool aCold)
{
  this->TakeDown();
  this->isDown = false;
  this->draining = false;
  // The seeded generator is not used: two processes with the same seed must not
  // share start identifiers.
  this->startId = std::random_device{}();
  this->startedAt = Clock::now();
  this->startedCold = aCold;
  this->server.Open();
}

void
ServerInstance::Handle(const std::shared_ptr<HttpExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.target() == "/health") {
    // Reports healthy even if calls fail, as some real servers do.
    aExchange->Respond(JsonResponse(200, "{\"healthy\":true}\n"));
    return;
  }
  if (request.target() == "/load") {
    ++this->probeCount;
    auto job = std::make_shared<Job>();
    job->kind = JobKind::Probe;
    job->exchange = aExchange;
    job->duration = this->settings.probeCost;
    this->Enqueue(job);
    return;
  }
  this->HandleCall(aExchange);
}

void
ServerInstance::HandleCall(const std::shared_ptr<HttpExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (this->draining || this->shedding) {
    this->Refuse(aExchange, this->draining ? "draining" : "shedding");
    return;
  }
  if (this->inFlightCalls >= this->settings.slots + this->settings.queueLimit) {
    this->Refuse(aExchange, "queue full");
    return;
  }
  const auto deadline = ParseHeaderNumber(request, "Deadline-Ms");
  if (deadline && *deadline <= 0) {
    this->Refuse(aExchange, "deadline passed");
    return;
  }
  const ServerFleet::FaultEffect effect =
    this->fleet.SampleEffect(this->settings, request, this->inFlightCalls);
  auto job = std::make_shared<Job>();
  job->exchange = aExchange;
  job->fails = effect.fails;
  job->truncates = effect.truncates;
  double factor = effect.slowFactor;
  if (this->IsCold()) {
    factor *= kColdServiceTimeFactor;
  }
  if (!effect.failsFast) {
    job->duration = microseconds(std::llround(
      static_cast<double>(this->settings.serviceTime.count()) * factor));
  }
  if (deadline) {
    job->deadline = Clock::now() + milliseconds(*deadline);
  }
  ++this->inFlightCalls;
  if (this->inFlightCalls > this->Capacity() && this->IsCold()) {
    this->FallOver();
    return;
  }
  aExchange->OnClosed([this, weak = std::weak_ptr<Job>(job)]() {
    if (const JobPointer liveJob = weak.lock()) {
      this->Cancel(liveJob);
    }
  });
  this->Enqueue(job);
}

void
ServerInstance::Enqueue(const JobPointer& aJob)
{
  this->queue.push_back(aJob);
  this->StartQueuedJobs();
}

void
ServerInstance::StartQueuedJobs()
{
  while (!this->queue.empty() && this->running.size() < this->settings.slots) {
    const JobPointer job = this->queue.front();
    this->queue.pop_front();
    this->Start(job);
  }
}

void
ServerInstance::Start(const JobPointer& aJob)
{
  const auto now = Clock::now();
  if (aJob->kind == JobKind::Call) {
    if (aJob->deadline && *aJob->deadline <= now) {
      --this->inFlightCalls;
      this->Refuse(aJob->exchange, "deadline passed before the start");
      return;
    }
    ++this->runCount;
    const HttpRequest& request = aJob->exchange->Request();
    this->fleet.RecordRun(request["Request-Id"]);
    if (this->fleet.HasCrashMarker(request)) {
      this->Crash();
      return;
    }
  }
  this->running.insert(aJob);
  bool deadlinePassed = false;
  auto end = now + aJob->duration;
  if (aJob->deadline && *aJob->deadline < end) {
    end = *aJob->deadline;
    deadlinePassed = true;
  }
  aJob->timer = std::make_unique<boost::asio::steady_timer>(this->context, end);
  aJob->timer->async_wait(
    [this, aJob, deadlinePassed](boost::system::error_code aError) {
      // A cancelled timer may run this handler after the instance is destroyed.
      if (aError || this->running.erase(aJob) == 0) {
        return;
      }
      if (aJob->kind == JobKind::Call) {
        --this->inFlightCalls;
        this->AnswerCall(aJob, deadlinePassed);
      } else {
        this->FinishProbeOrConnect(aJob);
      }
      this->StartQueuedJobs();
    });
}

void
ServerInstance::FinishProbeOrConnect(const JobPointer& aJob)
{
  if (aJob->kind == JobKind::Connect) {
    this->connectTime += aJob->duration;
    return;
  }
  this->probeTime += aJob->duration;
  HttpResponse response = JsonResponse(
    200,
    fmt::format(R"({{"in_flight":{},"slots":{},"state":"{}"}})"
                "\n",
                this->reportedInFlight.value_or(this->inFlightCalls),
                this->settings.slots,
                this->StateName()));
  response.set("Server-Load", this->LoadHeader());
  aJob->exchange->Respond(std::move(response));
}

void
ServerInstance::Cancel(const JobPointer& aJob)
{
  const auto queued = std::ranges::find(this->queue, aJob);
  if (queued != this->queue.end()) {
    this->queue.erase(queued);
  } else if (this->running.erase(aJob) > 0) {
    aJob->timer->cancel();
  } else {
    return;
  }
  --this->inFlightCalls;
  ++this->cancelledCount;
  this->StartQueuedJobs();
}

void
ServerInstance::AnswerCall(const JobPointer& aJob, bool aDeadlinePassed)
{
  const HttpRequest& request = aJob->exchange->Request();
  unsigned status = 200;
  if (aDeadlinePassed) {
    status = 504;
  } else if (aJob->fails) {
    status = 500;
  }
  const std::string_view requestId = request["Request-Id"];
  HttpResponse response = JsonResponse(
    status,
    json::serialize(json::object{ { "service", this->settings.service },
                                  { "instance", this->settings.id },
                                  { "version", this->settings.version },
                                  { "path", request.target() },
                                  { "request_id", requestId },
                                  { "echo", request.body() } }));
  response.set("Server-Load", this->LoadHeader());
  if (!requestId.empty()) {
    response.set("Request-Id", requestId);
  }
  if (aJob->truncates) {
    aJob->exchange->RespondTruncated(std::move(response));
  } else {
    aJob->exchange->Respond(std::move(response));
  }
}

void
ServerInstance::Refuse(const std::shared_ptr<HttpExchange>& aExchange,
                       std::string_view aReason)
{
  ++this->refusedCount;
  HttpResponse response = JsonResponse(
    503, json::serialize(json::object{ { "error", aReason } }) + "\n");
  response.set("Call-Outcome", "not-run");
  response.set("Server-Load", this->LoadHeader());
  aExchange->Respond(std::move(response));
}

void
ServerInstance::FallOver()
{
  ++this->fallOverCount;
  this->TakeDown();
  this->fallOverTimer.expires_after(this->settings.fallOverTime);
  this->fallOverTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError && this->isDown) {
      this->Restart(true);
    }
  });
}

bool
ServerInstance::IsCold() const
{
  return this->startedCold &&
         Clock::now() - this->startedAt < this->settings.warmTime;
}

unsigned
ServerInstance::Capacity() const
{
  if (!this->IsCold()) {
    return this->settings.slots + this->settings.queueLimit;
  }
  const double warmUpProgress =
    std::chrono::duration<double>(Clock::now() - this->startedAt) /
    std::chrono::duration<double>(this->settings.warmTime);
  return 1 + static_cast<unsigned>(warmUpProgress * (this->settings.slots - 1));
}

std::string_view
ServerInstance::StateName() const
{
  if (this->draining) {
    return "draining";
  }
  return this->IsCold() ? "cold" : "ready";
}

std::string
ServerInstance::LoadHeader() const
{
  return fmt::format("in_flight={}, slots={}, start={:x}, state={}",
                     this->reportedInFlight.value_or(this->inFlightCalls),
                     this->settings.slots,
                     this->startId,
                     this->StateName());
}

} // namespace fireflytrail::standins
