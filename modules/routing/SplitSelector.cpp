#include "routing/SplitSelector.h"

#include <cassert>
#include <limits>

namespace fireflytrail::routing {

namespace {

// The fractional part of the golden ratio. Multiples of it are spread evenly
// for every number of them.
constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15ULL;

} // namespace

const std::string&
SplitSelector::Select(const configuration::HttpRoute& aRoute,
                      std::uint64_t aRandom)
{
  assert(!aRoute.services.empty());
  if (aRoute.services.size() == 1) {
    return aRoute.services.front().service;
  }
  const auto [position, isNew] =
    this->positions.try_emplace(aRoute.name, aRandom);
  if (!isNew) {
    position->second += kGoldenRatio;
  }
  double sum = 0;
  for (const auto& part : aRoute.services) {
    sum += part.weight;
  }
  double left = sum * static_cast<double>(position->second) /
                static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  for (const auto& part : aRoute.services) {
    left -= part.weight;
    if (left < 0) {
      return part.service;
    }
  }
  return aRoute.services.back().service;
}

} // namespace fireflytrail::routing
