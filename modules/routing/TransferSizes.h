#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fireflytrail::routing {

/**
 * Learns how many bytes the requests of a route and their answers have, since
 * bytes between failure domains are paid for. Not thread-safe.
 */
class TransferSizes
{
public:
  /** Takes the size of a request and its answer. */
  void Record(const std::string& aRoute, std::size_t aBytes);

  /** Returns the size to expect in bytes; 0 before the first was recorded. */
  std::uint32_t Expected(std::string_view aRoute) const;

  /** Forgets all routes but those for which the function returns true. */
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
