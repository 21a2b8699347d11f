#include "configuration/OperatorText.h"

#include "configuration/DependencyCycles.h"
#include "configuration/ObjectReader.h"
#include "configuration/TextChecks.h"

#include <fmt/format.h>

#include <algorithm>

namespace fireflytrail::configuration {

namespace {

constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxConnections = 100'000;
constexpr std::int64_t kMaxCostMicroseconds = 10'000'000;
constexpr std::int64_t kMaxDeadlineMilliseconds = 600'000;
constexpr std::size_t kMaxServices = 1000;
constexpr std::size_t kMaxFailureDomains = 64;

/** Reads and checks an operators' text and collects all errors. */
class OperatorTextReader
{
public:
  explicit OperatorTextReader(std::vector<TextError>& aErrors)
    : errors(aErrors)
  {
  }

  OperatorText Read(const LocatedValue& aRoot)
  {
    OperatorText text;
    ObjectReader reader(aRoot, "", this->errors);
    text.name = reader.String("name", {}, CheckName);
    text.primaryCriterion = reader.Choice<PrimaryCriterion>(
      "weighs_most",
      { { "latency", PrimaryCriterion::Latency },
        { "bad_versions", PrimaryCriterion::BadVersions } });
    if (const auto* regions =
          reader.Container("regions", LocatedValue::Kind::Object, true)) {
      text.regions = ReadRegions(*regions);
    }
    if (const auto* services =
          reader.Container("services", LocatedValue::Kind::Object, true)) {
      text.services = ReadServices(*services);
    }
    if (const auto* moves =
          reader.Container("moves", LocatedValue::Kind::Object, false)) {
      text.moves = ReadMoves(*moves);
    }
    reader.Finish();
    return text;
  }

private:
  void AddError(const LocatedValue& aValue,
                std::string aPath,
                std::string aMessage)
  {
    this->errors.push_back(
      { aValue.line, std::move(aPath), std::move(aMessage) });
  }

  std::map<std::string, std::vector<std::string>> ReadRegions(
    const LocatedValue& aValue)
  {
    std::map<std::string, std::vector<std::string>> regions;
    std::map<std::string, std::string> regionOfDomain;
    ObjectReader reader(aValue, "regions", this->errors);
    for (const std::string& region : aValue.keys) {
      if (regions.contains(region)) {
        continue; // Reported by Finish().
      }
      if (std::string message = CheckName(region); !message.empty()) {
        reader.AddError(region, std::move(message));
      }
      auto domains = reader.StringList(region, true, CheckName);
      if (domains.empty()) {
        reader.AddError(region, "must list at least one failure domain");
      }
      for (const std::string& domain : domains) {
        const auto [other, isNew] = regionOfDomain.emplace(domain, region);
        if (!isNew) {
          reader.AddError(region,
                          fmt::format("failure domain \"{}\" is also in {}",
                                      domain,
                                      other->second));
        }
      }
      regions.emplace(region, std::move(domains));
    }
    if (regions.empty() || regionOfDomain.size() > kMaxFailureDomains) {
      AddError(aValue,
               "regions",
               fmt::format("must have from 1 to {} failure domains",
                           kMaxFailureDomains));
    }
    reader.Finish();
    return regions;
  }

  std::map<std::string, ServiceSettings> ReadServices(
    const LocatedValue& aValue)
  {
    std::map<std::string, ServiceSettings> services;
    ObjectReader reader(aValue, "services", this->errors);
    for (const std::string& name : aValue.keys) {
      const LocatedValue& service = *reader.Find(name);
      if (services.contains(name)) {
        continue; // Reported by Finish().
      }
      if (std::string message = CheckName(name); !message.empty()) {
        reader.AddError(name, std::move(message));
      }
      if (name == "tickets" || name == "healthz") {
        reader.AddError(name, "is reserved for a path of the daemon itself");
      }
      services.emplace(name, ReadService(service, name));
    }
    if (services.empty() || services.size() > kMaxServices) {
      AddError(aValue,
               "services",
               fmt::format("must have from 1 to {} services", kMaxServices));
    }
    reader.Finish();
    CheckDependencies(aValue, services);
    return services;
  }

  ServiceSettings ReadService(const LocatedValue& aValue,
                              const std::string& aName)
  {
    ServiceSettings service;
    ObjectReader reader(aValue, "services." + aName, this->errors);
    service.name = aName;
    service.dependsOn = reader.StringList("depends_on", false);
    service.slots =
      static_cast<unsigned>(reader.Integer("slots", 1, kMaxSlots));
    service.connections = static_cast<unsigned>(
      reader.Integer("connections", 1, kMaxConnections, 260));
    service.connectCost = std::chrono::microseconds(
      reader.Integer("connect_cost_us", 0, kMaxCostMicroseconds, 1000));
    if (reader.Find("probe_cost_us") != nullptr) {
      service.probeCost = std::chrono::microseconds(
        reader.Integer("probe_cost_us", 1, kMaxCostMicroseconds));
    }
    service.measuringBudget = reader.Number("measuring_budget", 0, 0.1, 0.01);
    service.version = reader.String("version", {}, CheckVersion);
    if (const auto* calls =
          reader.Container("calls", LocatedValue::Kind::Object, true)) {
      service.calls = ReadCalls(*calls, reader.PathOf("calls"));
    }
    reader.Finish();
    return service;
  }

  std::vector<CallSettings> ReadCalls(const LocatedValue& aValue,
                                      const std::string& aPath)
  {
    std::vector<CallSettings> calls;
    ObjectReader reader(aValue, aPath, this->errors);
    std::map<std::string, std::string> callOfRoute;
    for (const std::string& name : aValue.keys) {
      const LocatedValue& value = *reader.Find(name);
      if (std::ranges::find(calls, name, &CallSettings::name) != calls.end()) {
        continue; // Reported by Finish().
      }
      if (std::string message = CheckName(name); !message.empty()) {
        reader.AddError(name, std::move(message));
      }
      CallSettings call = ReadCall(value, name, reader.PathOf(name));
      const std::string route = call.method + " " + call.path;
      const auto [other, isNew] = callOfRoute.emplace(route, name);
      if (!isNew && !call.path.empty()) {
        reader.AddError(name,
                        fmt::format("duplicate route: {} is also the route "
                                    "of call {}",
                                    route,
                                    other->second));
      }
      calls.push_back(std::move(call));
    }
    if (calls.empty()) {
      AddError(aValue, aPath, "must have at least one call");
    }
    reader.Finish();
    return calls;
  }

  CallSettings ReadCall(const LocatedValue& aValue,
                        const std::string& aName,
                        const std::string& aPath)
  {
    CallSettings call;
    ObjectReader reader(aValue, aPath, this->errors);
    call.name = aName;
    call.method = reader.String("method", {}, CheckMethod);
    call.path = reader.String("path", {}, CheckPath);
    call.atMostOnce = reader.Boolean("at_most_once", false);
    call.repeatable =
      reader.Boolean("repeatable", call.method == "GET" && !call.atMostOnce);
    if (call.atMostOnce && call.repeatable) {
      reader.AddError("repeatable",
                      "must not be true for a call that is at_most_once");
    }
    call.priority = reader.Choice<Priority>("priority",
                                            { { "urgent", Priority::Urgent },
                                              { "normal", Priority::Normal },
                                              { "low", Priority::Low } },
                                            Priority::Normal);
    call.deadline = std::chrono::milliseconds(
      reader.Integer("deadline_ms", 1, kMaxDeadlineMilliseconds));
    reader.Finish();
    return call;
  }

  MovesSettings ReadMoves(const LocatedValue& aValue)
  {
    MovesSettings moves;
    ObjectReader reader(aValue, "moves", this->errors);
    moves.firstShare = reader.Number("first_share", 0.001, 0.05, 0.05);
    moves.confidence = reader.Number("confidence", 0.9, 0.9999, 0.99);
    moves.thinEvidence = reader.Choice<ThinEvidenceAction>(
      "thin_evidence",
      { { "take_back", ThinEvidenceAction::TakeBack },
        { "finish", ThinEvidenceAction::Finish } },
      ThinEvidenceAction::TakeBack);
    reader.Finish();
    return moves;
  }

  void CheckDependencies(
    const LocatedValue& aValue,
    const std::map<std::string, ServiceSettings>& aServices)
  {
    DependencyCycles::Graph graph;
    for (std::size_t index = 0; index < aValue.keys.size(); ++index) {
      const std::string& name = aValue.keys[index];
      const ServiceSettings& service = aServices.at(name);
      ObjectReader reader(
        aValue.items[index], "services." + name, this->errors);
      for (const std::string& dependency : service.dependsOn) {
        if (!aServices.contains(dependency)) {
          reader.AddError("depends_on",
                          fmt::format("unknown service \"{}\"", dependency));
        }
      }
      graph.emplace(name, service.dependsOn);
    }
    for (const auto& cycle : DependencyCycles::Find(graph)) {
      const auto position = std::ranges::find(aValue.keys, cycle.front());
      ObjectReader reader(aValue.items[position - aValue.keys.begin()],
                          "services." + cycle.front(),
                          this->errors);
      reader.AddError("depends_on",
                      fmt::format("dependency cycle: {} -> {}",
                                  fmt::join(cycle, " -> "),
                                  cycle.front()));
    }
  }

  std::vector<TextError>& errors;
};

} // namespace

Checked<OperatorText>
OperatorText::Parse(std::string_view aText)
{
  if (aText.size() > kMaxBytes) {
    return std::vector<TextError>{
      { 1, "", fmt::format("the text must be at most {} bytes", kMaxBytes) }
    };
  }
  auto root = LocatedValue::Parse(aText);
  if (!root) {
    return root.error();
  }
  std::vector<TextError> errors;
  OperatorText text = OperatorTextReader(errors).Read(root.value());
  if (!errors.empty()) {
    std::ranges::stable_sort(errors, {}, &TextError::line);
    return errors;
  }
  return text;
}

const ServiceSettings*
OperatorText::FindService(std::string_view aName) const
{
  const auto found = this->services.find(std::string(aName));
  return found == this->services.end() ? nullptr : &found->second;
}

std::vector<std::string>
OperatorText::FailureDomains() const
{
  std::vector<std::string> all;
  for (const auto& [region, domains] : this->regions) {
    all.insert(all.end(), domains.begin(), domains.end());
  }
  return all;
}

std::string
OperatorText::RegionOf(std::string_view aFailureDomain) const
{
  for (const auto& [region, domains] : this->regions) {
    if (std::ranges::find(domains, aFailureDomain) != domains.end()) {
      return region;
    }
  }
  return {};
}

std::chrono::milliseconds
OperatorText::LargestDeadline() const
{
  std::chrono::milliseconds largest{ 0 };
  for (const auto& [name, service] : this->services) {
    for (const CallSettings& call : service.calls) {
      largest = std::max(largest, call.deadline);
    }
  }
  return largest;
}

} // namespace fireflytrail::configuration
