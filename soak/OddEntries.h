#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace fireflytrail::soak {

class ObjectStore;

/**
 * Writes entries to the store as another writer might leave them, and removes
 * them again: under names with characters that mean something in a target or a
 * header field, without a name, or with content that describes nothing. Its
 * random numbers are its own, so that the faults of a seed do not depend on it.
 * Use it only on the store's thread.
 */
class OddEntries
{
public:
  /** `aStore` must outlive this object. */
  OddEntries(ObjectStore& aStore, std::uint64_t aSeed);

  /** Makes the pages of the store's lists short, selects what it does with
   * unknown cursors, and writes the first entries. */
  void Begin();

  /** Writes an entry, or removes one. `aServers` are the names of the servers:
   * an entry often sorts directly after one of them, and so ends a page. */
  void Step(const std::vector<std::string>& aServers);

private:
  struct Entry
  {
    std::string kind;
    /** The name by which the store sorts the entry. */
    std::string name;
    /** Whether the next page cannot start after it: a list does not show its
     * name, or the name is too long. */
    bool isUseless = false;
  };

  std::uint64_t RandomBelow(std::uint64_t aLimit)
  {
    return this->random() % aLimit;
  }
  void WriteOne(const std::vector<std::string>& aServers);

  ObjectStore& store;
  std::mt19937_64 random;
  std::size_t pageSize = 1;
  /** The entries that are in the store. */
  std::vector<Entry> entries;
  std::map<std::string, std::size_t> uselessByKind;
};

} // namespace fireflytrail::soak
