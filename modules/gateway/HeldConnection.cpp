#include "gateway/HeldConnection.h"

#include <algorithm>
#include <tuple>

namespace fireflytrail::gateway {

std::optional<std::size_t>
HeldConnection::SelectOldest(std::span<const HeldConnection> aConnections)
{
  const auto oldest = std::ranges::min_element(
    aConnections, {}, [](const HeldConnection& aConnection) {
      return std::tuple(-static_cast<std::ptrdiff_t>(aConnection.ofAddress),
                        aConnection.hasServed,
                        aConnection.lastBegin);
    });
  if (oldest == aConnections.end()) {
    return std::nullopt;
  }
  return oldest - aConnections.begin();
}

std::optional<std::size_t>
HeldConnection::SelectStalled(std::span<const HeldConnection> aConnections,
                              std::chrono::steady_clock::time_point aNow,
                              std::chrono::milliseconds aMinStall)
{
  std::optional<std::size_t> selected;
  double most = 0;
  for (std::size_t index = 0; index < aConnections.size(); ++index) {
    const HeldConnection& connection = aConnections[index];
    const std::chrono::duration<double> stall = aNow - connection.lastPart;
    const double cost = static_cast<double>(connection.bytes) * stall.count();
    if (stall >= aMinStall && cost > most) {
      most = cost;
      selected = index;
    }
  }
  return selected;
}

} // namespace fireflytrail::gateway
