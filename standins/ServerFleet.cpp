#include "standins/ServerFleet.h"

#include "standins/ServerInstance.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <stdexcept>
#include <utility>

namespace fireflytrail::standins {

namespace json = boost::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

std::string
ReadString(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  return value == nullptr ? std::string() : json::value_to<std::string>(*value);
}

template<typename T>
void
ReadNumber(const json::object& aObject, std::string_view aKey, T& aNumber)
{
  if (const json::value* value = aObject.if_contains(aKey)) {
    aNumber = json::value_to<T>(*value);
  }
}

template<typename Duration>
void
ReadDuration(const json::object& aObject,
             std::string_view aKey,
             Duration& aDuration)
{
  if (const json::value* value = aObject.if_contains(aKey)) {
    aDuration = Duration(json::value_to<std::uint32_t>(*value));
  }
}

void
ReadSettings(const json::object& aObject, InstanceSettings& aSettings)
{
  ReadNumber(aObject, "slots", aSettings.slots);
  ReadNumber(aObject, "connections", aSettings.connections);
  ReadNumber(aObject, "queue_limit", aSettings.queueLimit);
  ReadDuration(aObject, "service_time_us", aSettings.serviceTime);
  ReadDuration(aObject, "connect_cost_us", aSettings.connectCost);
  ReadDuration(aObject, "probe_cost_us", aSettings.probeCost);
  ReadDuration(aObject, "warm_time_ms", aSettings.warmTime);
  ReadDuration(aObject, "fall_over_ms", aSettings.fallOverTime);
  ReadNumber(aObject, "cold", aSettings.startsCold);
  if (aSettings.slots == 0) {
    throw std::invalid_argument("slots must be above 0");
  }
}

ServerFault
ReadFault(const json::object& aObject)
{
  ServerFault fault;
  fault.service = ReadString(aObject, "service");
  fault.version = ReadString(aObject, "version");
  fault.instance = ReadString(aObject, "instance");
  fault.route = ReadString(aObject, "route");
  ReadNumber(aObject, "fail_ratio", fault.failRatio);
  ReadNumber(aObject, "truncate_ratio", fault.truncateRatio);
  ReadNumber(aObject, "slow_factor", fault.slowFactor);
  ReadDuration(aObject, "after_ms", fault.after);
  ReadNumber(aObject, "above_in_flight", fault.aboveInFlight);
  ReadNumber(aObject, "fails_fast", fault.failsFast);
  fault.activatedAt = std::chrono::steady_clock::now();
  return fault;
}

bool
Matches(std::string_view aSelector, std::string_view aValue)
{
  return aSelector.empty() || aSelector == aValue;
}

} // namespace

ServerFleet::ServerFleet(boost::asio::io_context& aContext,
                         boost::asio::ip::tcp::endpoint aControl,
                         std::uint64_t aSeed)
  : context(aContext)
  , generator(aSeed)
  , server(aContext,
           std::move(aControl),
           [this](const std::shared_ptr<HttpExchange>& aExchange) {
             this->Handle(aExchange);
           })
{
}

ServerFleet::~ServerFleet()
{
  // Ending calls may start queued ones, which use the other members.
  this->instances.clear();
}

std::string
ServerFleet::ControlAddress() const
{
  return this->server.Address();
}

json::object
ServerFleet::Add(InstanceSettings aSettings)
{
  this->instances.push_back(
    std::make_unique<ServerInstance>(this->context,
                                     this->server.Endpoint().address(),
                                     std::move(aSettings),
                                     *this));
  return this->instances.back()->HostEntry();
}

json::object
ServerFleet::Control(const json::object& aControl)
{
  const std::string action = ReadString(aControl, "action");
  if (action == "add") {
    return this->AddFromControl(aControl);
  }
  if (action == "faults") {
    std::vector<ServerFault> replacement;
    for (const json::value& fault : aControl.at("faults").as_array()) {
      replacement.push_back(ReadFault(fault.as_object()));
    }
    this->faults = std::move(replacement);
    return {};
  }
  if (action == "crash_marker") {
    this->crashMarker = ReadString(aControl, "marker");
    return {};
  }
  if (action == "clear_record") {
    this->runCounts.clear();
    return {};
  }
  std::function<void(ServerInstance&)> change;
  if (action == "set") {
    InstanceSettings validated;
    ReadSettings(aControl, validated);
    change = [&](ServerInstance& aInstance) {
      InstanceSettings settings = aInstance.Settings();
      ReadSettings(aControl, settings);
      aInstance.ChangeSettings(std::move(settings));
    };
  } else if (action == "crash") {
    change = [](ServerInstance& aInstance) { aInstance.Crash(); };
  } else if (action == "restart") {
    bool cold = false;
    ReadNumber(aControl, "cold", cold);
    change = [cold](ServerInstance& aInstance) { aInstance.Restart(cold); };
  } else if (action == "drain") {
    change = [](ServerInstance& aInstance) { aInstance.Drain(); };
  } else if (action == "shed") {
    const bool enabled = aControl.at("enabled").as_bool();
    change = [enabled](ServerInstance& aInstance) { aInstance.Shed(enabled); };
  } else if (action == "misreport") {
    std::optional<unsigned> inFlight;
    if (const json::value* value = aControl.if_contains("in_flight")) {
      inFlight = json::value_to<unsigned>(*value);
    }
    change = [inFlight](ServerInstance& aInstance) {
      aInstance.Misreport(inFlight);
    };
  } else {
    throw std::invalid_argument("unknown action: " + action);
  }
  const std::vector<ServerInstance*> selected = this->SelectInstances(aControl);
  for (ServerInstance* instance : selected) {
    change(*instance);
  }
  return { { "instances", selected.size() } };
}

ServerFleet::FaultEffect
ServerFleet::SampleEffect(const InstanceSettings& aInstance,
                          const HttpRequest& aRequest,
                          unsigned aInFlight)
{
  FaultEffect effect;
  const auto now = std::chrono::steady_clock::now();
  std::uniform_real_distribution<double> uniform(0, 1);
  for (const ServerFault& fault : this->faults) {
    const std::string_view target = aRequest.target();
    if (!Matches(fault.service, aInstance.service) ||
        !Matches(fault.version, aInstance.version) ||
        !Matches(fault.instance, aInstance.id) ||
        !target.starts_with(fault.route) ||
        now - fault.activatedAt < fault.after ||
        aInFlight < fault.aboveInFlight) {
      continue;
    }
    effect.slowFactor *= fault.slowFactor;
    if (uniform(this->generator) < fault.failRatio) {
      effect.fails = true;
      effect.failsFast = effect.failsFast || fault.failsFast;
    }
    if (uniform(this->generator) < fault.truncateRatio) {
      effect.truncates = true;
    }
  }
  return effect;
}

bool
ServerFleet::HasCrashMarker(const HttpRequest& aRequest) const
{
  return !this->crashMarker.empty() &&
         (aRequest.body().find(this->crashMarker) != std::string::npos ||
          aRequest.target().find(this->crashMarker) != std::string::npos);
}

void
ServerFleet::RecordRun(std::string_view aRequestId)
{
  if (aRequestId.empty()) {
    return;
  }
  const auto found = this->runCounts.find(aRequestId);
  if (found != this->runCounts.end()) {
    ++found->second;
  } else {
    this->runCounts.emplace(aRequestId, 1);
  }
}

unsigned
ServerFleet::RunCountOf(const std::string& aRequestId) const
{
  const auto found = this->runCounts.find(aRequestId);
  return found == this->runCounts.end() ? 0 : found->second;
}

void
ServerFleet::Handle(const std::shared_ptr<HttpExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.target() == "/control/record") {
    json::object runs;
    for (const auto& [id, count] : this->runCounts) {
      runs[id] = count;
    }
    aExchange->Respond(JsonResponse(200, json::serialize(runs) + "\n"));
    return;
  }
  if (request.target() == "/control/instances") {
    json::array list;
    for (const auto& instance : this->instances) {
      list.push_back(instance->Status());
    }
    aExchange->Respond(JsonResponse(200, json::serialize(list) + "\n"));
    return;
  }
  if (request.target() != "/control") {
    aExchange->Respond(JsonResponse(404, "{\"error\":\"no such resource\"}\n"));
    return;
  }
  try {
    const json::object answer =
      this->Control(json::parse(request.body()).as_object());
    aExchange->Respond(JsonResponse(200, json::serialize(answer) + "\n"));
  } catch (const std::exception& error) {
    aExchange->Respond(JsonResponse(
      400, json::serialize(json::object{ { "error", error.what() } }) + "\n"));
  }
}

json::object
ServerFleet::AddFromControl(const json::object& aControl)
{
  InstanceSettings settings;
  settings.service = ReadString(aControl, "service");
  settings.version = ReadString(aControl, "version");
  settings.domain = ReadString(aControl, "domain");
  settings.region = ReadString(aControl, "region");
  ReadSettings(aControl, settings);
  unsigned count = 1;
  ReadNumber(aControl, "count", count);
  std::string prefix = ReadString(aControl, "id");
  if (prefix.empty()) {
    prefix = fmt::format("{}-{}", settings.service, settings.version);
  }
  json::array hosts;
  for (unsigned index = 0; index < count; ++index) {
    settings.id = fmt::format("{}-{}", prefix, this->instances.size());
    hosts.push_back(this->Add(settings));
  }
  return { { "hosts", std::move(hosts) } };
}

std::vector<ServerInstance*>
ServerFleet::SelectInstances(const json::object& aControl)
{
  const std::string id = ReadString(aControl, "id");
  const std::string service = ReadString(aControl, "service");
  const std::string version = ReadString(aControl, "version");
  const std::string domain = ReadString(aControl, "domain");
  std::vector<ServerInstance*> selected;
  for (const auto& instance : this->instances) {
    const InstanceSettings& settings = instance->Settings();
    if (Matches(id, settings.id) && Matches(service, settings.service) &&
        Matches(version, settings.version) &&
        Matches(domain, settings.domain)) {
      selected.push_back(instance.get());
    }
  }
  return selected;
}

} // namespace fireflytrail::standins
