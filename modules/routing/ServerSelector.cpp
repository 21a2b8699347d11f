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

/** Number of random draws before a linear search through all servers. */
constexpr int kMaximumDraws = 8;

/** Time after which the weight of a load report has decayed to 1/e. Calls last
 * some 10 ms, so an older report says little about the calls now in flight. */
constexpr std::chrono::nanoseconds kReportDecayTime =
  std::chrono::milliseconds(100);

/** Maximum number of servers that are compared to find a slot that is assigned
 * to another host. This covers all servers of the current services and keeps a
 * decision fast with 470 servers. */
constexpr std::size_t kMaximumServersCompared = 24;

/** Maximum number of home servers that are compared. With 470 servers a host
 * has about 100 home servers, and comparing all of them took 4.6 us per
 * decision. */
constexpr std::size_t kMaximumHomeServersCompared = 8;

/** Utilization (reported calls in flight of all daemons per slot) above which a
 * second call for each home slot is preferred to borrowing slots of other
 * hosts. */
constexpr double kBorrowUtilizationLimit = 1.2;

/** Used until the typical service time is known. */
constexpr std::chrono::milliseconds kDefaultServiceTime{ 10 };

/** Returns a random number in [0, 1). */
double
UniformDraw(const core::RandomFunction& aRandom)
{
  return static_cast<double>(aRandom() >> 11U) * 0x1.0p-53;
}

/** Returns the index of the usable server with the lowest score. Compares up to
 * `aCompared` usable servers from a random position and returns the first one
 * among equal scores, so that daemons that compute equal scores do not all
 * select the same server. */
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

/** Estimates the cost of sending a call to a server: this daemon's calls in
 * flight plus the reported calls in flight. As the report ages, the mean over
 * the servers of the service replaces it. */
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
      std::exp(-age / std::chrono::duration<double>(kReportDecayTime));
    others = weight * aServer.ReportedInFlight() + (1 - weight) * mean;
  }
  return own + others;
}

/** Draws two usable servers at random and returns the one with the lower cost.
 */
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

/** Returns 1 for an event that has just happened, 1/2 at the age `aHalfAge` and
 * less for older ones; 0 for old events and if there was none. */
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
  // An old event must not decide between idle servers: at low load the same
  // servers were then chosen for every call, and the others stayed cold.
  constexpr double kMinimumRecency = 0.1;
  return recency < kMinimumRecency ? 0 : recency;
}

/** Estimates how occupied a server is, from this daemon's own calls only.
 * Higher values mean that a free slot is less likely. Load reports are not
 * used: when they were 50 to 500 ms old, all daemons chose the same servers,
 * and the result was worse than without reports at every load (see
 * docs/routing.md). */
double
OccupancyCost(const Context& aContext, const ServerLoad& aServer)
{
  std::chrono::duration<double> typical =
    aContext.service.load->TypicalServiceTime();
  if (typical.count() <= 0) {
    typical = kDefaultServiceTime;
  }
  // A refusal shows that the queue was full, and it takes several service times
  // until slots are free again. An answer shows that a slot has just become
  // free.
  constexpr double kRefusalWeight = 2;
  constexpr double kRefusalServiceTimes = 6;
  constexpr double kAnswerWeight = 0.5;
  constexpr double kAnswerServiceTimes = 4;
  return aServer.InFlight() +
         aServer.OldestInFlight(aContext.now) / (2 * typical) +
         kRefusalWeight * Recency(aContext,
                                  aServer.RefusedAt(),
                                  typical * kRefusalServiceTimes) -
         kAnswerWeight * Recency(aContext,
                                 aServer.AnsweredAt(),
                                 typical * kAnswerServiceTimes);
}

/** Returns the home server that is the least likely to be occupied by calls of
 * other hosts. Considers only servers on which this host has fewer than
 * `aCallsPerSlot` calls in flight per home slot. */
std::optional<std::size_t>
LeastOccupiedHome(const Context& aContext, std::uint32_t aCallsPerSlot)
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
       step < homes.size() && compared < kMaximumHomeServersCompared;
       ++step) {
    const std::uint32_t index = homes[(offset + step) % homes.size()];
    const ServerRoute& server = aContext.version.servers[index];
    if (server.load->InFlight() >= server.homeSlots * aCallsPerSlot ||
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

/** Returns a server that is being ramped up and on which this host has a free
 * share of the limit. Such servers are preferred: the ramp needs their answers
 * to continue, and only few hosts may send to them. */
std::optional<std::size_t>
FreeRampingServer(const Context& aContext)
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

/** The default policy. Returns a server that is being ramped up, else one with
 * a free home slot, else the least occupied one of those compared. */
std::optional<std::size_t>
HomeSlots(const Context& aContext)
{
  if (aContext.service.load->Ramping()) {
    if (const auto ramping = FreeRampingServer(aContext)) {
      return ramping;
    }
  }
  if (const auto home = LeastOccupiedHome(aContext, 1)) {
    return home;
  }
  if (aContext.service.load->Utilization() > kBorrowUtilizationLimit) {
    // There is no free slot to borrow. A second call for each home slot gives
    // all servers equal queues, so that a slow server does not get more calls.
    if (const auto home = LeastOccupiedHome(aContext, 2)) {
      return home;
    }
  }
  return LowestScore(
    aContext,
    [&](const ServerLoad& aServer) { return OccupancyCost(aContext, aServer); },
    kMaximumServersCompared);
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

/** Returns the index of a random version, weighted by share. */
std::size_t
DrawVersion(const ServiceRoute& aService, const core::RandomFunction& aRandom)
{
  const auto& versions = aService.versions;
  if (versions.size() == 1) {
    return 0;
  }
  double remaining = UniformDraw(aRandom);
  for (std::size_t index = 0; index < versions.size(); ++index) {
    remaining -= versions[index].share;
    if (remaining < 0) {
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
  if (std::find(this->triedServers.begin(),
                this->triedServers.end(),
                server.load.get()) != this->triedServers.end()) {
    return false;
  }
  return server.weight >= 1 || UniformDraw(this->random) < server.weight;
}

std::optional<std::size_t>
ServerSelector::Context::RandomUsable() const
{
  const std::size_t count = this->version.servers.size();
  for (int draw = 0; draw < kMaximumDraws; ++draw) {
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
  std::string detail = "unknown policy; available policies:";
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
                       std::span<const ServerLoad* const> aTriedServers)
{
  aService.load->CountDemand();
  if (aService.versions.empty()) {
    return std::nullopt;
  }
  const core::TimePoint time = this->now();
  ++this->sequence;
  const std::size_t drawn = DrawVersion(aService, this->random);
  const VersionRoute& version = aService.versions[drawn];
  if (auto selection =
        this->SelectFromVersion(aService, version, time, aTriedServers)) {
    return selection;
  }
  for (const VersionRoute& other : aService.versions) {
    if (other.share > version.share) {
      if (auto selection =
            this->SelectFromVersion(aService, other, time, aTriedServers)) {
        return selection;
      }
    }
  }
  return std::nullopt;
}

std::optional<Selection>
ServerSelector::SelectFromVersion(
  const ServiceRoute& aService,
  const VersionRoute& aVersion,
  core::TimePoint aNow,
  std::span<const ServerLoad* const> aTriedServers)
{
  if (aVersion.servers.empty()) {
    return std::nullopt;
  }
  // Between the choice and the acquisition, another thread may acquire the last
  // call that the limit allows. The choice is then repeated.
  constexpr int kMaximumAttempts = 3;
  const Context context{ aService, aVersion,     aTriedServers,
                         aNow,     this->random, this->sequence };
  for (int attempt = 0; attempt < kMaximumAttempts; ++attempt) {
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
