#include "gossip/WatcherElection.h"

#include "core/Hash.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::gossip {

std::vector<std::string>
WatcherElection::Watchers(std::vector<std::string> aAlive)
{
  // Ties are broken by name, so that the order is the same on every host.
  std::sort(aAlive.begin(),
            aAlive.end(),
            [](const std::string& aLeft, const std::string& aRight) {
              return std::pair(core::RendezvousWeight("watch", aLeft), aLeft) >
                     std::pair(core::RendezvousWeight("watch", aRight), aRight);
            });
  aAlive.resize(std::min(aAlive.size(), kWatcherCount));
  return aAlive;
}

bool
WatcherElection::IsWatcher(std::string_view aName,
                           const std::vector<std::string>& aAlive)
{
  const std::vector<std::string> watchers = Watchers(aAlive);
  return std::find(watchers.begin(), watchers.end(), aName) != watchers.end();
}

std::chrono::milliseconds
WatcherElection::NextReadDelay(const core::RandomFunction& aRandom)
{
  assert(aRandom);
  return std::chrono::milliseconds(45000 + aRandom() % 30001);
}

} // namespace fireflytrail::gossip
