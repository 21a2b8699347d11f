#include "routing/TransferSizes.h"

#include <algorithm>
#include <limits>

namespace fireflytrail::routing {

namespace {

// EWMA weight of one size in a route's average.
constexpr double kSizeWeight = 0.1;

} // namespace

void
TransferSizes::Record(const std::string& aRoute, std::size_t aBytes)
{
  const auto bytes = static_cast<double>(aBytes);
  const auto [average, isNew] = this->averages.try_emplace(aRoute, bytes);
  if (!isNew) {
    average->second += kSizeWeight * (bytes - average->second);
  }
}

std::uint32_t
TransferSizes::Expected(std::string_view aRoute) const
{
  const auto average = this->averages.find(aRoute);
  if (average == this->averages.end()) {
    return 0;
  }
  constexpr double kMaxBytes = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::min(average->second, kMaxBytes));
}

} // namespace fireflytrail::routing
