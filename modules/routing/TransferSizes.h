#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fireflytrail::routing {

/**
 * Tracks the average number of bytes in a request of each route and its answer,
 * since traffic between failure domains is billed. Not thread-safe.
 */
class TransferSizes
{
public:
  /** Records the size in bytes of a request and its answer. */
  void Record(const std::string& aRoute, std::size_t aBytes);

  /** Returns the expected size in bytes; 0 before the first was recorded. */
  std::uint32_t Expected(std::string_view aRoute) const;

  /** Removes all routes except those for which the function returns true. */
  template<typename Predicate>
  void Keep(Predicate aIsKept)
  {
    std::erase_if(this->averages,
                  [&](const auto& aEntry) { return !aIsKept(aEntry.first); });
  }

private:
  std::map<std::string, double, std::less<>> averages;
};

} // namespace fireflytrail::routing
