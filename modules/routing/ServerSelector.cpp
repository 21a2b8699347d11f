#include "routing/ServerSelector.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <limits>
#include <string>
#include <utility>

namespace fireflytrail::routing {

namespace {

using Context = ServerSelector::Context;

/** Random draws before a search through all servers. */
constexpr int kDraws = 8;

/** Time after which a report counts for 1/e of a fresh one. Calls last some
 * 10 ms, so an older report says little about the calls in flight now. */
constexpr std::chrono::nanoseconds kReportLifetime =
  std::chrono::milliseconds(100);

/** Servers that are compared before a slot of another host is used: enough to
 * see all servers of the services of today, few enough for 470 servers. */
constexpr std::size_t kMaximumCompared = 24;

/** Home servers that are compared. With 470 servers a host has about 100; all
 * of them took 4.6 us a decision. */
constexpr std::size_t kMaximumHomesCompared = 8;

/** Calls in flight per slot of the fleet, by the reports, from which no slots
 * are borrowed. */
constexpr double kFullUtilization = 1.2;

/** Stands in for the typical service time until one is known. */
constexpr std::chrono::milliseconds kUnknownServiceTime{ 10 };

double
UnitOf(const core::RandomFunction& aRandom)
{
  return static_cast<double>(aRandom() >> 11U) * 0x1.0p-53;
}

/** Returns the index of the usable server with the lowest score among the first
 * `aCompared` usable ones from a random position; the first one among equals,
 * so that daemons with equal views do not all select the same one. */
template<typename Score>
std::optional<std::size_t>
LowestScore(const Context& aContext,
            Score aScore,
            std::size_t aCompared = std::numeric_limits<std::size_t>::max())
{
  std::optional<std::size_t> best;
  double bestScore = 0;
  const auto& servers = aContext.version.servers;
  const std::size_t offset = aContext.random() % servers.size();
  for (std::size_t step = 0; step < servers.size(); ++step) {
    const std::size_t index = (offset + step) % servers.size();
    if (!aContext.Usable(index)) {
      continue;
    }
    const double score = aScore(*servers[index].load);
    if (!best || score < bestScore) {
      best = index;
      bestScore = score;
    }
    if (--aCompared == 0) {
      break;
    }
  }
  return best;
}

/** Estimates the time that a call waits for and uses a server: the calls in
 * flight that are known or likely, times the relative service time. */
double
EstimatedCost(const Context& aContext, const ServerLoad& aServer)
{
  const double own = aServer.InFlight();
  const double mean =
    aContext.service.load->Utilization() * aContext.service.slots;
  double others = mean;
  if (const auto reportedAt = aServer.ReportedAt()) {
    const auto age = std::chrono::duration<double>(aContext.now - *reportedAt);
    const double weight =
      std::exp(-age / std::chrono::duration<double>(kReportLifetime));
    others = weight * aServer.ReportedInFlight() + (1 - weight) * mean;
  }
  return own + others;
}

std::optional<std::size_t>
TwoChoices(const Context& aContext)
{
  const auto first = aContext.RandomUsable();
  if (!first) {
    return std::nullopt;
  }
  const auto second = aContext.RandomUsable();
  if (!second || *second == *first) {
    return first;
  }
  const auto& servers = aContext.version.servers;
  const double firstCost = EstimatedCost(aContext, *servers[*first].load);
  const double secondCost = EstimatedCost(aContext, *servers[*second].load);
  return secondCost < firstCost ? second : first;
}

/** Returns 1 for an event that has just happened, 1/2 at an age and so on. */
double
Recency(const Context& aContext,
        std::optional<core::TimePoint> aEvent,
        std::chrono::duration<double> aHalfAge)
{
  if (!aEvent) {
    return 0;
  }
  const std::chrono::duration<double> age = aContext.now - *aEvent;
  const double recency = aHalfAge / (aHalfAge + age);
  // An old event must not decide between idle servers: at a low load the same
  // ones were chosen for every call, and the others stayed cold.
  constexpr double kForgotten = 0.1;
  return recency < kForgotten ? 0 : recency;
}

/** Estimates how unlikely it is that a server has a free slot, from this
 * daemon's own calls only. Load reports are not used: with an age of 50 to
 * 500 ms they sent all daemons to the same servers, and were worse than no
 * report at every load (see docs/routing.md). */
double
OccupancyCost(const Context& aContext, const ServerLoad& aServer)
{
  std::chrono::duration<double> typical =
    aContext.service.load->TypicalServiceTime();
  if (typical.count() <= 0) {
    typical = kUnknownServiceTime;
  }
  // A refusal tells that the queue was full; it takes some service times until
  // slots are free again. An answer tells that a slot became free just now.
  constexpr double kRefusalWeight = 2;
  constexpr double kRefusalTimes = 6;
  constexpr double kAnswerWeight = 0.5;
  constexpr double kAnswerTimes = 4;
  return aServer.InFlight() +
         aServer.OldestInFlight(aContext.now) / (2 * typical) +
         kRefusalWeight *
           Recency(aContext, aServer.RefusedAt(), typical * kRefusalTimes) -
         kAnswerWeight *
           Recency(aContext, aServer.AnsweredAt(), typical * kAnswerTimes);
}

/** Returns the home server that is most likely free of other hosts' calls too,
 * among those with fewer than `aCalls` own calls for each home slot. */
std::optional<std::size_t>
FreeHome(const Context& aContext, std::uint32_t aCalls)
{
  std::optional<std::size_t> best;
  double bestCost = 0;
  const auto& homes = aContext.version.homeServers;
  if (homes.empty()) {
    return best;
  }
  const std::size_t offset = aContext.random() % homes.size();
  std::size_t compared = 0;
  for (std::size_t step = 0;
       step < homes.size() && compared < kMaximumHomesCompared;
       ++step) {
    const std::uint32_t index = homes[(offset + step) % homes.size()];
    const ServerRoute& server = aContext.version.servers[index];
    if (server.load->InFlight() >= server.homeSlots * aCalls ||
        !aContext.Usable(index)) {
      continue;
    }
    ++compared;
    const double cost = OccupancyCost(aContext, *server.load);
    if (!best || cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  return best;
}

/** Returns a server that is being ramped up and of which this host has a share
 * that is free. Such servers come first: the ramp goes on with their answers,
 * and only few hosts may send to them. */
std::optional<std::size_t>
FreeRamping(const Context& aContext)
{
  const auto& servers = aContext.version.servers;
  const std::size_t offset = aContext.random() % servers.size();
  for (std::size_t step = 0; step < servers.size(); ++step) {
    const std::size_t index = (offset + step) % servers.size();
    const std::uint32_t limit = servers[index].load->Limit();
    if (limit != 0 && limit != ServerLoad::kUnlimited &&
        aContext.Usable(index)) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t>
HomeSlots(const Context& aContext)
{
  if (aContext.service.load->Ramping()) {
    if (const auto ramping = FreeRamping(aContext)) {
      return ramping;
    }
  }
  if (const auto home = FreeHome(aContext, 1)) {
    return home;
  }
  if (aContext.service.load->Utilization() > kFullUtilization) {
    // There is no free slot to borrow. With a second call for each home slot
    // every server has the same queue, and none gets more while it is slow.
    if (const auto home = FreeHome(aContext, 2)) {
      return home;
    }
  }
  return LowestScore(
    aContext,
    [&](const ServerLoad& aServer) { return OccupancyCost(aContext, aServer); },
    kMaximumCompared);
}

std::optional<std::size_t>
Random(const Context& aContext)
{
  return aContext.RandomUsable();
}

std::optional<std::size_t>
RoundRobin(const Context& aContext)
{
  const std::size_t count = aContext.version.servers.size();
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t index = (aContext.sequence + step) % count;
    if (aContext.Usable(index)) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t>
LeastInFlight(const Context& aContext)
{
  return LowestScore(aContext, [](const ServerLoad& aServer) {
    return static_cast<double>(aServer.InFlight());
  });
}

std::optional<std::size_t>
LeastReported(const Context& aContext)
{
  return LowestScore(aContext, [](const ServerLoad& aServer) {
    return static_cast<double>(aServer.ReportedInFlight());
  });
}

struct NamedPolicy
{
  std::string_view name;
  std::optional<std::size_t> (*select)(const Context&);
};

constexpr std::array kPolicies{
  NamedPolicy{ "home_slots", HomeSlots },
  NamedPolicy{ "two_choices", TwoChoices },
  NamedPolicy{ "random", Random },
  NamedPolicy{ "round_robin", RoundRobin },
  NamedPolicy{ "least_in_flight", LeastInFlight },
  NamedPolicy{ "least_reported", LeastReported },
};

constexpr auto kPolicyNames = [] {
  std::array<std::string_view, kPolicies.size()> names;
  std::transform(kPolicies.begin(),
                 kPolicies.end(),
                 names.begin(),
                 [](const NamedPolicy& aPolicy) { return aPolicy.name; });
  return names;
}();

static_assert(kPolicyNames.front() == ServerSelector::kDefaultPolicy);

/** Returns the index of the version that a uniform draw falls on. */
std::size_t
DrawVersion(const ServiceRoute& aService, const core::RandomFunction& aRandom)
{
  const auto& versions = aService.versions;
  if (versions.size() == 1) {
    return 0;
  }
  double left = UnitOf(aRandom);
  for (std::size_t index = 0; index < versions.size(); ++index) {
    left -= versions[index].share;
    if (left < 0) {
      return index;
    }
  }
  return versions.size() - 1;
}

} // namespace

bool
ServerSelector::Context::Usable(std::size_t aIndex) const
{
  const ServerRoute& server = this->version.servers[aIndex];
  if (!server.load->Usable()) {
    return false;
  }
  if (std::find(this->tried.begin(), this->tried.end(), server.load.get()) !=
      this->tried.end()) {
    return false;
  }
  return server.weight >= 1 || UnitOf(this->random) < server.weight;
}

std::optional<std::size_t>
ServerSelector::Context::RandomUsable() const
{
  const std::size_t count = this->version.servers.size();
  for (int draw = 0; draw < kDraws; ++draw) {
    const std::size_t index = this->random() % count;
    if (this->Usable(index)) {
      return index;
    }
  }
  const std::size_t offset = this->random() % count;
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t index = (offset + step) % count;
    if (this->Usable(index)) {
      return index;
    }
  }
  return std::nullopt;
}

core::Result<ServerSelector>
ServerSelector::Make(std::string_view aPolicy,
                     core::NowFunction aNow,
                     core::RandomFunction aRandom)
{
  assert(aNow && aRandom);
  for (const NamedPolicy& policy : kPolicies) {
    if (policy.name == aPolicy) {
      return ServerSelector(policy.select, std::move(aNow), std::move(aRandom));
    }
  }
  std::string detail = "unknown policy, the policies are";
  for (const std::string_view name : kPolicyNames) {
    detail += ' ';
    detail += name;
  }
  return core::Error{ core::ErrorKind::Internal, std::move(detail) };
}

std::span<const std::string_view>
ServerSelector::PolicyNames()
{
  return kPolicyNames;
}

ServerSelector::ServerSelector(Policy aPolicy,
                               core::NowFunction aNow,
                               core::RandomFunction aRandom)
  : policy(std::move(aPolicy))
  , now(std::move(aNow))
  , random(std::move(aRandom))
{
}

std::optional<Selection>
ServerSelector::Select(const ServiceRoute& aService,
                       std::span<const ServerLoad* const> aTried)
{
  aService.load->CountDemand();
  if (aService.versions.empty()) {
    return std::nullopt;
  }
  const core::TimePoint time = this->now();
  ++this->sequence;
  const std::size_t drawn = DrawVersion(aService, this->random);
  const VersionRoute& version = aService.versions[drawn];
  if (auto selection = this->SelectWithin(aService, version, time, aTried)) {
    return selection;
  }
  for (const VersionRoute& other : aService.versions) {
    if (other.share > version.share) {
      if (auto selection = this->SelectWithin(aService, other, time, aTried)) {
        return selection;
      }
    }
  }
  return std::nullopt;
}

std::optional<Selection>
ServerSelector::SelectWithin(const ServiceRoute& aService,
                             const VersionRoute& aVersion,
                             core::TimePoint aNow,
                             std::span<const ServerLoad* const> aTried)
{
  if (aVersion.servers.empty()) {
    return std::nullopt;
  }
  // Another thread may take the last call that the limit allows between the
  // choice and the acquisition; then the choice is repeated.
  constexpr int kAttempts = 3;
  const Context context{ aService, aVersion,     aTried,
                         aNow,     this->random, this->sequence };
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const auto index = this->policy(context);
    if (!index) {
      return std::nullopt;
    }
    const auto& server = aVersion.servers[*index].load;
    if (const auto token = server->TryAcquire(aNow)) {
      return Selection(server, aService.load, *token);
    }
  }
  return std::nullopt;
}

} // namespace fireflytrail::routing
