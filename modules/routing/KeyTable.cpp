#include "routing/KeyTable.h"

#include "core/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::routing {

namespace {

/** Compares a presented key with a stored one, which is not empty, without
 * stopping at the first difference. */
bool
AreEqual(std::string_view aPresented, std::string_view aStored)
{
  std::size_t difference = aPresented.size() ^ aStored.size();
  for (std::size_t index = 0; index < aPresented.size(); ++index) {
    difference |= static_cast<unsigned char>(aPresented[index] ^
                                             aStored[index % aStored.size()]);
  }
  return difference == 0;
}

} // namespace

KeyTable::KeyTable(
  std::shared_ptr<const configuration::RouteConfiguration> aConfiguration,
  std::uint64_t aSeed)
  : configuration(std::move(aConfiguration))
  , seed(aSeed)
{
  assert(this->configuration);
  for (const auto& organisation : this->configuration->organisations) {
    for (const std::string& key : organisation.keys) {
      if (!key.empty() && this->Find(key) == nullptr) {
        this->byHash.emplace(core::HashOf(key, this->seed),
                             Entry{ key, &organisation });
      }
    }
  }
}

const configuration::Organisation*
KeyTable::Find(std::string_view aKey) const
{
  constexpr std::string_view kNoKey = "-";
  const auto [begin, end] =
    this->byHash.equal_range(core::HashOf(aKey, this->seed));
  if (begin == end) {
    // Takes as long as the comparison with a stored key.
    const bool isEqual = AreEqual(aKey, kNoKey);
    const volatile bool ignored = isEqual;
    static_cast<void>(ignored);
    return nullptr;
  }
  const configuration::Organisation* found = nullptr;
  for (auto entry = begin; entry != end; ++entry) {
    if (AreEqual(aKey, entry->second.key)) {
      found = entry->second.organisation;
    }
  }
  return found;
}

std::string
KeyTable::ShortHash(std::string_view aKey)
{
  constexpr std::uint64_t kMask = 0xffffffffU;
  return fmt::format("{:08x}", core::HashOf(aKey) & kMask);
}

} // namespace fireflytrail::routing
