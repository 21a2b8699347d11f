#include "scenario/World.h"

#include "core/Hash.h"
#include "scenario/ServerChooser.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace fireflytrail::scenario {

namespace {

constexpr std::chrono::seconds kWarmUp{ 10 };

const boost::json::object&
ObjectOrEmpty(Fields& aFields, const std::string& aKey)
{
  static const boost::json::object kEmpty;
  const boost::json::value& value = aFields.Value(aKey);
  return value.is_object() ? value.as_object() : kEmpty;
}

} // namespace

World::World(const boost::json::object& aScript, std::uint64_t aSeed)
  : random(aSeed)
{
  Fields script(aScript, "script");
  Fields topology(ObjectOrEmpty(script, "topology"), "topology");
  this->domains = topology.Strings("domains");
  if (this->domains.empty()) {
    throw std::runtime_error("topology: \"domains\" must not be empty");
  }
  this->domainLatency = topology.Microseconds("domain_latency_us", 500);
  this->clientLatency = topology.Microseconds("client_latency_us", 3000);
  this->ticketLimits.lifetime =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      topology.Milliseconds("ticket_lifetime_ms", 300'000));
  this->ticketLimits.tickets =
    static_cast<std::size_t>(topology.Number("tickets", 65536));
  this->ticketLimits.answerBytes =
    static_cast<std::size_t>(topology.Number("answer_bytes", 8 << 20));
  this->chooseServer =
    MakeServerChooser(*this, script.String("policy", "least_in_flight"));
  this->ReadServices(ObjectOrEmpty(topology, "services"));
  this->ReadCalls(ObjectOrEmpty(script, "calls"));
  const auto daemonCount = static_cast<unsigned>(topology.Number("daemons"));

  for (unsigned index = 0; index < daemonCount; ++index) {
    this->daemonNames.push_back(fmt::format("entry-{}", index));
  }
  for (unsigned index = 0; index < daemonCount; ++index) {
    this->daemons.push_back(std::make_unique<SimulatedDaemon>(
      *this,
      this->daemonNames[index],
      this->domains[index % this->domains.size()]));
  }
  topology.CheckAllRead();
  // Lets the daemons discover each other and receive the desired state.
  this->clock.RunUntil(kWarmUp);
  this->clock.SetStart();
}

SimulatedServer*
World::ServerByKey(std::uint64_t aKey)
{
  return this->servers.at(aKey - 1).get();
}

SimulatedDaemon*
World::FindDaemon(const std::string& aName)
{
  const auto found = std::ranges::find(
    this->daemons, aName, [](const auto& aDaemon) { return aDaemon->name; });
  return found == this->daemons.end() ? nullptr : found->get();
}

SimulatedDaemon&
World::RandomDaemon()
{
  return *this->daemons[this->random.Below(this->daemons.size())];
}

microseconds
World::Latency(const std::string& aFrom, const std::string& aTo) const
{
  return aFrom == aTo ? this->domainLatency / 5 : this->domainLatency;
}

microseconds
World::MessageDelay(const std::string& aFrom, const std::string& aTo)
{
  return this->Latency(aFrom, aTo) + this->random.Time(this->peerJitter);
}

bool
World::IsPartitioned(const SimulatedDaemon& aFrom,
                     const SimulatedDaemon& aTo) const
{
  return this->partitionedPairs.contains({ aFrom.name, aTo.name });
}

void
World::SendMessage(const SimulatedDaemon& aFrom,
                   const SimulatedDaemon& aTo,
                   std::function<void()> aEvent)
{
  if (this->IsPartitioned(aFrom, aTo) ||
      this->random.UniformUnit() < this->messageLoss) {
    return;
  }
  this->clock.After(this->MessageDelay(aFrom.domain, aTo.domain),
                    std::move(aEvent));
}

std::optional<unsigned>
World::DrawConnectionFailure(const CallModel& aCall)
{
  const unsigned bytes = aCall.requestBytes + aCall.answerBytes;
  if (this->nextFailAtByte) {
    return (*this->nextFailAtByte)++ % bytes;
  }
  if (this->connectionFailureShare > 0.0 &&
      this->random.UniformUnit() < this->connectionFailureShare) {
    return static_cast<unsigned>(this->random.Below(bytes));
  }
  return std::nullopt;
}

void
World::CallFromServer(const SimulatedRequest& aParent,
                      microseconds aParentTimeLeft,
                      const std::string& aCall,
                      std::function<void(bool)> aDone)
{
  SimulatedRequest request;
  request.call = &this->calls.at(aCall);
  request.logicalCall = this->NextId();
  request.runKey = fmt::format("send-{}", request.logicalCall);
  request.digest =
    core::HashOf(aCall + std::to_string(aParent.digest), request.logicalCall);
  request.deadline = aParent.deadline;
  request.attempt = aParent.attempt;
  request.parentTimeLeft = aParentTimeLeft;
  // Of the answer and the deadline, only the first counts.
  auto done = std::make_shared<std::function<void(bool)>>(std::move(aDone));
  const auto finish = [done](bool aIsSuccess) {
    if (auto function = std::exchange(*done, {})) {
      function(aIsSuccess);
    }
  };
  const auto timeLeft = std::chrono::duration_cast<microseconds>(
    aParent.deadline - this->clock.Now());
  this->clock.After(std::max(timeLeft, microseconds(0)),
                    [finish] { finish(false); });
  if (timeLeft <= this->domainLatency) {
    return;
  }
  this->clock.After(this->domainLatency, [this, request, finish] {
    this->RandomDaemon().Handle(
      request, [this, finish](const SimulatedReply& aReply) {
        const bool isSuccess = !aReply.isLost &&
                               aReply.kind == core::ErrorKind::None &&
                               aReply.status < 500;
        this->clock.After(this->domainLatency,
                          [finish, isSuccess] { finish(isSuccess); });
      });
  });
}

void
World::ReadServices(const boost::json::object& aServices)
{
  for (const auto& entry : aServices) {
    const std::string name(entry.key());
    Fields fields(entry.value().as_object(), "service " + name);
    ServiceModel& model = this->services[name];
    model.name = name;
    model.slots = static_cast<unsigned>(fields.Number("slots", 4));
    model.serviceTime = fields.Microseconds("service_us");
    model.connectTime = fields.Microseconds("connect_us", 1000);
    model.restartTime = fields.Milliseconds("restart_ms", 2000);
    model.nestedCalls = fields.Strings("calls_below");
    model.nestedFailureMode = fields.String("when_below_fails", "answer");
    if (model.nestedFailureMode != "answer" &&
        model.nestedFailureMode != "reset") {
      throw std::runtime_error("\"when_below_fails\" must be answer or reset");
    }
    const auto count = static_cast<unsigned>(fields.Number("servers"));
    for (unsigned index = 0; index < count; ++index) {
      this->servers.push_back(std::make_unique<SimulatedServer>(
        *this,
        model,
        fmt::format("{}/{}", name, index),
        this->domains[index % this->domains.size()],
        this->servers.size() + 1));
    }
    fields.CheckAllRead();
  }
}

void
World::ReadCalls(const boost::json::object& aCalls)
{
  for (const auto& entry : aCalls) {
    const std::string name(entry.key());
    Fields fields(entry.value().as_object(), "call " + name);
    CallModel& model = this->calls[name];
    model.name = name;
    model.service = fields.String("service");
    model.atMostOnce = fields.Flag("at_most_once");
    model.repeatable = fields.Flag("repeatable");
    model.crashes = fields.Flag("crashes");
    model.deadline = fields.Milliseconds("deadline_ms", 2000);
    model.requestBytes =
      static_cast<unsigned>(fields.Number("request_bytes", 300));
    model.answerBytes =
      static_cast<unsigned>(fields.Number("answer_bytes", 200));
    if (!this->services.contains(model.service)) {
      throw std::runtime_error(fmt::format("call {}: unknown service", name));
    }
    fields.CheckAllRead();
  }
  for (auto& [name, service] : this->services) {
    this->AddReachableServices(name, service.reachableServices);
    if (service.reachableServices.contains(name)) {
      throw std::runtime_error(fmt::format("service {} calls itself", name));
    }
  }
}

void
World::AddReachableServices(const std::string& aService,
                            std::set<std::string>& aInto)
{
  for (const std::string& call : this->services.at(aService).nestedCalls) {
    const CallModel& model = this->calls.at(call);
    if (model.atMostOnce) {
      throw std::runtime_error(
        fmt::format("call {}: servers cannot make at-most-once calls", call));
    }
    if (aInto.insert(model.service).second) {
      this->AddReachableServices(model.service, aInto);
    }
  }
}

} // namespace fireflytrail::scenario
