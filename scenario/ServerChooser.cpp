#include "scenario/ServerChooser.h"

#include <algorithm>
#include <memory>
#include <stdexcept>

namespace fireflytrail::scenario {

namespace {

/** A first attempt avoids a server for this time after a failed connection. */
constexpr std::chrono::milliseconds kAvoidAfterFailure{ 500 };
/**
 * A retry avoids it longer, because a retry must not be the attempt that finds
 * out whether a failed server is back.
 */
constexpr std::chrono::milliseconds kAvoidInRetry{ 10'000 };

std::vector<SimulatedServer*>
Candidates(World& aWorld,
           const DaemonProcess& aProcess,
           const std::string& aService,
           std::span<const std::uint64_t> aAvoid)
{
  std::vector<SimulatedServer*> eligible;
  std::vector<SimulatedServer*> preferred;

  const auto avoidFor = aAvoid.empty() ? kAvoidAfterFailure : kAvoidInRetry;
  const auto hasFailed = [&](const SimulatedServer& aServer) {
    const auto failed = aProcess.lastConnectFailure.find(aServer.key);
    return failed != aProcess.lastConnectFailure.end() &&
           aWorld.clock.Now() - failed->second < avoidFor;
  };
  const auto share = aProcess.desiredState.newVersionShare.find(aService);
  const bool useNewVersion =
    share != aProcess.desiredState.newVersionShare.end() &&
    aWorld.random.UniformUnit() < share->second;
  for (const auto& server : aWorld.servers) {
    if (server->service.name != aService ||
        aProcess.desiredState.domainsOut.contains(server->domain) ||
        std::ranges::find(aAvoid, server->key) != aAvoid.end()) {
      continue;
    }
    eligible.push_back(server.get());
    if (hasFailed(*server)) {
      continue;
    }
    if (server->isNewVersion == useNewVersion) {
      preferred.push_back(server.get());
    }
  }
  return preferred.empty() ? eligible : preferred;
}

} // namespace

ChooseServerFunction
MakeServerChooser(World& aWorld, const std::string& aPolicy)
{
  if (aPolicy != "random" && aPolicy != "round_robin" &&
      aPolicy != "least_in_flight") {
    throw std::runtime_error("unknown policy: " + aPolicy);
  }
  return [&aWorld, aPolicy, roundRobinIndex = std::size_t{ 0 }](
           DaemonProcess& aProcess,
           const std::string& aService,
           std::span<const std::uint64_t> aAvoid) mutable
         -> core::Result<calls::ServerHandle> {
    const auto candidates = Candidates(aWorld, aProcess, aService, aAvoid);
    if (candidates.empty()) {
      return core::Error{ core::ErrorKind::NoServer, aService };
    }
    const auto randomKey = [&] {
      return candidates[aWorld.random.Below(candidates.size())]->key;
    };
    std::uint64_t key = randomKey();
    if (aPolicy == "round_robin") {
      key = candidates[roundRobinIndex++ % candidates.size()]->key;
    } else if (aPolicy == "least_in_flight") {
      const std::uint64_t other = randomKey();
      key = aProcess.inFlight[other] < aProcess.inFlight[key] ? other : key;
    }
    ++aProcess.inFlight[key];
    // The reference stays valid: the process outlives the sessions that hold
    // the lease.
    return calls::ServerHandle{ key,
                                std::shared_ptr<void>(
                                  nullptr, [&aProcess, key](void*) {
                                    --aProcess.inFlight[key];
                                  }) };
  };
}

} // namespace fireflytrail::scenario
