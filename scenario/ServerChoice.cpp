#include "scenario/ServerChoice.h"

#include <algorithm>
#include <memory>
#include <stdexcept>

namespace fireflytrail::scenario {

namespace {

/** Servers that refuse connections are left out for this time. */
constexpr std::chrono::milliseconds kAvoidAfterFailure{ 500 };
/** A retry must not be the probe of a server that failed lately. */
constexpr std::chrono::milliseconds kAvoidInRetry{ 10'000 };

std::vector<SimulatedServer*>
Candidates(World& aWorld,
           const DaemonProcess& aProcess,
           const std::string& aService,
           std::span<const std::uint64_t> aAvoid)
{
  std::vector<SimulatedServer*> all;
  std::vector<SimulatedServer*> ofVersion;

  const auto avoidFor = aAvoid.empty() ? kAvoidAfterFailure : kAvoidInRetry;
  const auto hasFailed = [&](const SimulatedServer& aServer) {
    const auto failed = aProcess.connectFailed.find(aServer.key);
    return failed != aProcess.connectFailed.end() &&
           aWorld.clock.Now() - failed->second < avoidFor;
  };
  const auto share = aProcess.desire.newVersionShare.find(aService);
  const bool wantsNew = share != aProcess.desire.newVersionShare.end() &&
                        aWorld.random.UniformUnit() < share->second;
  for (const auto& server : aWorld.servers) {
    if (server->service.name != aService ||
        aProcess.desire.domainsOut.contains(server->domain) ||
        std::ranges::find(aAvoid, server->key) != aAvoid.end()) {
      continue;
    }
    all.push_back(server.get());
    if (hasFailed(*server)) {
      continue;
    }
    if (server->isNewVersion == wantsNew) {
      ofVersion.push_back(server.get());
    }
  }
  return ofVersion.empty() ? all : ofVersion;
}

} // namespace

ChooseServerFunction
ServerChoice(World& aWorld, const std::string& aPolicy)
{
  if (aPolicy != "random" && aPolicy != "round_robin" &&
      aPolicy != "least_in_flight") {
    throw std::runtime_error("no such policy: " + aPolicy);
  }
  return [&aWorld, aPolicy, turn = std::size_t{ 0 }](
           DaemonProcess& aProcess,
           const std::string& aService,
           std::span<const std::uint64_t> aAvoid) mutable
         -> core::Result<calls::ServerHandle> {
    const auto candidates = Candidates(aWorld, aProcess, aService, aAvoid);
    if (candidates.empty()) {
      return core::Error{ core::ErrorKind::NoServer, aService };
    }
    const auto any = [&] {
      return candidates[aWorld.random.Below(candidates.size())]->key;
    };
    std::uint64_t key = any();
    if (aPolicy == "round_robin") {
      key = candidates[turn++ % candidates.size()]->key;
    } else if (aPolicy == "least_in_flight") {
      const std::uint64_t other = any();
      key = aProcess.inFlight[other] < aProcess.inFlight[key] ? other : key;
    }
    ++aProcess.inFlight[key];
    // The count belongs to the process, which outlives its sessions.
    return calls::ServerHandle{ key,
                                std::shared_ptr<void>(
                                  nullptr, [&aProcess, key](void*) {
                                    --aProcess.inFlight[key];
                                  }) };
  };
}

} // namespace fireflytrail::scenario
