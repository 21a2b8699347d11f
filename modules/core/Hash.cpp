#include "core/Hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace fireflytrail::core {

std::uint64_t
HashOf(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate)
{
  return HashOf(aCandidate, HashOf(aKey));
}

} // namespace fireflytrail::core
