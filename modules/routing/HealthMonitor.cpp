#include "routing/HealthMonitor.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::routing {

namespace {

/** Load reports older than this are ignored: they say nothing about the current
 * load. */
constexpr std::chrono::seconds kMaximumReportAge{ 2 };

/** A service counts as in demand for this time after its last call. */
constexpr std::chrono::seconds kDemandTimeout{ 2 };

/** Number of attempts over which the share of refusals is smoothed. */
constexpr double kRefusalSamples = 100;

template<typename Number>
Number
MedianOf(std::vector<Number>& aValues)
{
  if (aValues.empty()) {
    return Number{};
  }
  const auto middle =
    aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

HealthMonitor::HealthMonitor(std::string aSelf,
                             core::NowFunction aNow,
                             ServerHealth::PublishFunction aPublish)
  : self(std::move(aSelf))
  , now(std::move(aNow))
  , sequence(static_cast<std::uint64_t>(this->now().time_since_epoch().count()))
{
  assert(this->now && aPublish);
  // Sequence numbers start at the clock, so that a restarted daemon does not
  // reuse those of its previous process.
  this->publish = [this, publish = std::move(aPublish)](
                    const HealthObservation& aObservation) {
    HealthObservation numbered = aObservation;
    numbered.sequence = ++this->sequence;
    publish(numbered);
  };
}

void
HealthMonitor::SetServers(const RoutingTableBuilder& aBuilder,
                          const RoutingTable& aTable)
{
  std::map<std::string, Entry, std::less<>> kept;
  for (const auto& [id, load] : aBuilder.Loads()) {
    const auto old = this->entries.find(id);
    if (old != this->entries.end() && old->second.load == load) {
      kept.emplace(id, std::move(old->second));
      continue;
    }
    Entry entry{ load,
                 std::make_unique<ServerHealth>(
                   load, this->self, this->now, this->publish) };
    entry.health->SetHosts(this->hosts[load->Identity().service]);
    kept.emplace(id, std::move(entry));
  }
  this->entries = std::move(kept);
  std::map<std::string, Service, std::less<>> keptServices;
  for (const ServiceRoute& route : aTable.Services()) {
    const auto old = this->services.find(route.name);
    Service service =
      old == this->services.end() || old->second.load != route.load
        ? Service{}
        : std::move(old->second);
    service.load = route.load;
    service.servers.clear();
    for (const VersionRoute& version : route.versions) {
      for (const ServerRoute& server : version.servers) {
        service.servers.push_back(server.load->Identity().id);
      }
    }
    keptServices.emplace(route.name, std::move(service));
  }
  this->services = std::move(keptServices);
}

void
HealthMonitor::SetHosts(const std::string& aService,
                        const std::vector<std::string>& aHosts)
{
  std::vector<std::string>& current = this->hosts[aService];
  if (current == aHosts) {
    return;
  }
  current = aHosts;
  for (auto& [id, entry] : this->entries) {
    if (entry.load->Identity().service == aService) {
      entry.health->SetHosts(aHosts);
    }
  }
}

void
HealthMonitor::OnPeerObservation(std::string_view aPeer,
                                 const HealthObservation& aObservation)
{
  if (ServerHealth* health = this->Find(aObservation.serverId)) {
    health->OnPeerObservation(aPeer, aObservation);
  }
}

void
HealthMonitor::Tick()
{
  const core::TimePoint time = this->now();
  std::vector<std::chrono::nanoseconds> serviceTimes;
  std::vector<double> failureRatios;
  ++this->tickCount;
  for (auto& [name, service] : this->services) {
    const std::uint64_t demand = service.load->Demand();
    if (demand != service.demand) {
      service.demand = demand;
      service.lastDemandAt = time;
    }
    const bool hasDemand =
      demand != 0 && time - service.lastDemandAt < kDemandTimeout;
    if (!hasDemand && service.load->InFlight() == 0 &&
        this->tickCount % kIdleEvaluationTicks != 0) {
      continue;
    }
    serviceTimes.clear();
    failureRatios.clear();
    double reportedInFlight = 0;
    double reportingSlots = 0;
    double allSlots = 0;
    std::uint64_t attempts = 0;
    std::uint64_t refused = 0;
    bool canServe = false;
    for (const std::string& id : service.servers) {
      const Entry& entry = this->entries.at(id);
      const ServerLoad& load = *entry.load;
      if (load.ServiceTime().count() > 0) {
        serviceTimes.push_back(load.ServiceTime());
      }
      failureRatios.push_back(load.FailureRatio());
      const ServerLoad::Totals totals = load.Counts();
      attempts += totals.acquired;
      refused += totals.refused;
      allSlots += load.Slots();
      const auto reportedAt = load.ReportedAt();
      if (reportedAt && time - *reportedAt < kMaximumReportAge &&
          entry.health->State() == ServerState::Ready) {
        reportedInFlight += load.ReportedInFlight();
        reportingSlots += load.Slots();
      }
      canServe = canServe || (entry.health->State() != ServerState::Gone &&
                              entry.health->State() != ServerState::Draining);
    }
    const ServerHealth::ServiceStatistics statistics{ MedianOf(serviceTimes),
                                                      MedianOf(failureRatios),
                                                      hasDemand };
    service.load->SetTypicalServiceTime(statistics.serviceTime);
    service.load->SetUtilization(
      reportingSlots > 0 ? reportedInFlight / reportingSlots : 0);
    service.load->SetCanServe(canServe);
    // The totals decrease when a server leaves the table.
    if (attempts > service.attempts && refused >= service.refused) {
      const double ratio =
        std::min(1.0,
                 static_cast<double>(refused - service.refused) /
                   static_cast<double>(attempts - service.attempts));
      const double weight = std::min(
        1.0,
        static_cast<double>(attempts - service.attempts) / kRefusalSamples);
      service.refusedRatio += weight * (ratio - service.refusedRatio);
    }
    service.attempts = attempts;
    service.refused = refused;
    const double share =
      allSlots /
      static_cast<double>(std::max<std::size_t>(1, this->hosts[name].size()));
    const ShedController::Decision decision = service.shedding.Update(
      { .ownOccupancy = share > 0 ? service.load->InFlight() / share : 0,
        .reportedOccupancy = service.load->Utilization(),
        .refusedRatio = service.refusedRatio,
        .boundHitRatio = service.load->ReadAndResetBoundHitRatio() },
      time);
    service.load->SetShedLevel(decision.level);
    service.load->SetBound(std::max(1.0, decision.bound * share));
    bool ramping = false;
    for (const std::string& id : service.servers) {
      const Entry& entry = this->entries.at(id);
      entry.health->Tick(statistics);
      const std::uint32_t limit = entry.load->Limit();
      ramping = ramping || (limit != 0 && limit != ServerLoad::kUnlimited);
    }
    service.load->SetRamping(ramping);
  }
}

ServerHealth*
HealthMonitor::Find(std::string_view aServerId)
{
  const auto found = this->entries.find(aServerId);
  return found == this->entries.end() ? nullptr : found->second.health.get();
}

} // namespace fireflytrail::routing
