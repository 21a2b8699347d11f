#pragma once

#include "configuration/RouteConfiguration.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace fireflytrail::routing {

/**
 * Finds the organisation that holds a key. The time that this takes depends on
 * the length of the presented key and not on the keys in the table. Immutable
 * after construction and then thread-safe.
 */
class KeyTable
{
public:
  /**
   * `aConfiguration` is not null. `aSeed` must not be known to callers, so that
   * they cannot choose keys by their hash. If several organisations hold a key,
   * it is the first one's.
   */
  KeyTable(
    std::shared_ptr<const configuration::RouteConfiguration> aConfiguration,
    std::uint64_t aSeed);

  /** Returns the organisation that holds a key; null if none does. It lives as
   * long as the configuration. */
  const configuration::Organisation* Find(std::string_view aKey) const;

  /** Returns whether the configuration has organisations, so that requests need
   * a key. */
  bool HasOrganisations() const
  {
    return !this->configuration->organisations.empty();
  }

  /** Returns the number of keys. */
  std::size_t KeyCount() const { return this->byHash.size(); }

  /** Returns eight hexadecimal digits by which operators can recognise a key in
   * logs; the same on every host. Thread-safe. */
  static std::string ShortHash(std::string_view aKey);

private:
  struct Entry
  {
    std::string_view key;
    const configuration::Organisation* organisation = nullptr;
  };

  std::shared_ptr<const configuration::RouteConfiguration> configuration;
  std::uint64_t seed;
  std::unordered_multimap<std::uint64_t, Entry> byHash;
};

} // namespace fireflytrail::routing
